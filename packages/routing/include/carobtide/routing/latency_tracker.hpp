#pragma once

/**
 * @file
 * How slow a target is now, from this daemon's own observations.
 */

#include "carobtide/base.hpp"

#include <cstdint>

namespace carobtide {

/**
 * Fast and slow moving averages of observed over expected latency; 1 is
 * normal, 10 is slowed tenfold. Without fresh samples the fast average drifts
 * back to the slow one and that to 1, so that a shunned target is tried again.
 *
 * Thread safety: none; the owner guards it. Allocates nothing.
 */
class LatencyTracker
{
public:
  /** An attempt took aRatio times what was expected. */
  void Observe(Instant aNow, double aRatio);

  /**
   * An attempt that is still running already takes aRatio times what was
   * expected; counts only if that is worse than what is known.
   */
  void ObservePending(Instant aNow, double aRatio);

  /** Slowness at aNow; at least kFastest. */
  double Slowness(Instant aNow) const;

  /** Time of the last sample that changed the averages. */
  Instant UpdatedAt() const { return mUpdated; }

  /** Samples seen so far, saturating. */
  std::uint32_t Samples() const { return mSamples; }

  /** Bounds of one sample, so that a single outlier cannot dominate. */
  static constexpr double kFastest = 0.25;
  static constexpr double kSlowest = 20.0;

private:
  double FastAt(Instant aNow) const;
  double SlowAt(Instant aNow) const;

  double mFast = 1.0;
  double mSlow = 1.0;
  Instant mUpdated;
  std::uint32_t mSamples = 0;
};

} // namespace carobtide
