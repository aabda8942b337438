#pragma once

/**
 * @file
 * Latency of one route over all its targets, as the baseline for the latency of
 * a single target, and the demand reported to the planner.
 */

#include "carobtide/base.hpp"

#include <cstdint>

namespace carobtide {

/** Timing of one finished attempt. */
struct AttemptTiming
{
  double mFirstByteSeconds = 0.0;
  double mWholeSeconds = 0.0;
  /** Number of generated tokens; 0 if unknown. */
  double mTokens = 0.0;
};

/**
 * Moving averages of the latency of one route, in seconds.
 *
 * Thread safety: none; the owner synchronizes access. Allocates nothing.
 */
class RouteStats
{
public:
  /** Records a time to the first byte. */
  void LearnFirstByte(double aSeconds);
  /** Records a finished attempt. */
  void Learn(const AttemptTiming& aTiming);

  double FirstByteSeconds() const { return mFirstByte; }
  /** Upper bound of nearly all first bytes: mean plus some deviations. */
  double LateFirstByteSeconds() const;
  double TokenSeconds() const { return mToken; }
  /** Mean time of an attempt of any length. */
  double MeanSeconds() const { return mMean; }
  /** Expected time of an attempt that generates aTokens tokens. */
  double ExpectedSeconds(double aTokens) const;

  /** Attempts in flight from this daemon. */
  std::uint32_t mInFlight = 0;

private:
  double mFirstByte = 0.2;
  double mFirstByteDeviation = 0.2;
  double mToken = 0.02;
  double mMean = 1.0;
  std::uint32_t mFirstBytes = 0;
  std::uint32_t mSamples = 0;
};

/**
 * Demand of a model as two exponentially decaying rates, in accelerators: a
 * short-term and a long-term one.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class DemandMeter
{
public:
  /** Records the arrival of work. */
  void Add(Instant aNow, double aAcceleratorSeconds);

  double Fast(Instant aNow) const;
  double Slow(Instant aNow) const;

private:
  double mFast = 0.0;
  double mSlow = 0.0;
  Instant mUpdatedAt;
};

} // namespace carobtide
