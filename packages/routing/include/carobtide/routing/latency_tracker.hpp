#pragma once

/**
 * @file
 * Current slowness of a target as observed by this daemon.
 */

#include "carobtide/base.hpp"

#include <cstdint>

namespace carobtide {

/**
 * Short-term and long-term moving averages of the ratio of observed to expected
 * latency: 1 is normal, 10 is ten times slower. Without new samples the
 * short-term average decays to the long-term one and that to 1, so that an
 * avoided target is tried again.
 *
 * Thread safety: none; the owner synchronizes access. Allocates nothing.
 */
class LatencyTracker
{
public:
  /** Records an attempt that took aRatio times the expected latency. */
  void Observe(Instant aNow, double aRatio);

  /**
   * Records an attempt that has already run for aRatio times the expected
   * latency and is still running. Ignored unless aRatio exceeds the current
   * short-term average.
   */
  void ObservePending(Instant aNow, double aRatio);

  /** Slowness at aNow; at least kMinRatio. */
  double Slowness(Instant aNow) const;

  /** Time of the last sample that changed the averages. */
  Instant UpdatedAt() const { return mUpdated; }

  /** Number of finished attempts recorded; saturates. */
  std::uint32_t Samples() const { return mSamples; }

  /** Bounds of one sample, so that a single outlier does not dominate. */
  static constexpr double kMinRatio = 0.25;
  static constexpr double kMaxRatio = 20.0;

private:
  double ShortTermAt(Instant aNow) const;
  double LongTermAt(Instant aNow) const;

  double mShortTerm = 1.0;
  double mLongTerm = 1.0;
  Instant mUpdated;
  std::uint32_t mSamples = 0;
};

} // namespace carobtide
