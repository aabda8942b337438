#pragma once

/**
 * @file
 * Estimates how long a request would wait in the queue.
 */

#include <cstddef>
#include <cstdint>

namespace carobtide {

/** Inputs of the estimate. */
struct WaitInputs
{
  /** Queued requests of the route that are at least as urgent. */
  std::size_t mAhead = 0;
  /** Those of them that belong to the same caller. */
  std::size_t mOwnAhead = 0;
  /** The caller's share of the shares of all waiting callers, 0 to 1. */
  double mShare = 1.0;
  /** This daemon's attempts of the route in flight. */
  std::uint32_t mInFlight = 0;
  /** Mean time of one attempt. */
  double mMeanSeconds = 1.0;
  /** Share of the freed slots that the request's class receives. */
  double mSlotShare = 1.0;
};

/**
 * Applies Little's law to this daemon's own attempts: n attempts in flight that
 * take S seconds each free n/S slots a second. A caller within its fair share
 * is delayed only by its own requests. Precondition: mMeanSeconds > 0.
 */
double EstimateWaitSeconds(const WaitInputs& aInputs);

} // namespace carobtide
