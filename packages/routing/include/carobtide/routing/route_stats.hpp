#pragma once

/**
 * @file
 * What one route's work takes, over all its targets: the expectation that a
 * target's own latency is compared with, and the demand for the planner.
 */

#include "carobtide/base.hpp"

#include <cstdint>

namespace carobtide {

/** How long one finished attempt took, in parts. */
struct AttemptTiming
{
  double mFirstByteSeconds = 0.0;
  double mWholeSeconds = 0.0;
  /** Generated tokens; 0 if unknown. */
  double mTokens = 0.0;
};

/**
 * Moving averages of one route.
 *
 * Thread safety: none; the owner guards it. Allocates nothing.
 */
class RouteStats
{
public:
  void LearnFirstByte(double aSeconds);
  void Learn(const AttemptTiming& aTiming);

  double FirstByteSeconds() const { return mFirstByte; }
  /** Time that nearly all first bytes take: mean plus deviations. */
  double LateFirstByteSeconds() const;
  double TokenSeconds() const { return mToken; }
  /** Mean time of an attempt, whatever its length. */
  double MeanSeconds() const { return mMean; }
  /** Expected time of an attempt that generates some tokens. */
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
 * Demand of a model as two exponentially weighted rates.
 *
 * Thread safety: none; the owner guards it.
 */
class DemandMeter
{
public:
  /** Work of some accelerator-seconds arrived. */
  void Add(Instant aNow, double aAcceleratorSeconds);

  double Fast(Instant aNow) const;
  double Slow(Instant aNow) const;

private:
  double mFast = 0.0;
  double mSlow = 0.0;
  Instant mAsOf;
};

} // namespace carobtide
