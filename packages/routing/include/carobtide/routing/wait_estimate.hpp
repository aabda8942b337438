#pragma once

/**
 * @file
 * Predicts how long a request would wait in the queue.
 */

#include <cstddef>
#include <cstdint>

namespace carobtide {

/** What the prediction is made from. */
struct WaitInputs
{
  /** Requests of the route that are at least as urgent. */
  std::size_t mAhead = 0;
  /** Those of them that are the caller's own. */
  std::size_t mOwnAhead = 0;
  /** The caller's share over the shares of all callers that wait, 0 to 1. */
  double mShare = 1.0;
  /** This daemon's attempts of the route in flight. */
  std::uint32_t mInFlight = 0;
  /** Mean time of one attempt. */
  double mMeanSeconds = 1.0;
  /** Share of the freed slots that the class gets. */
  double mSlotShare = 1.0;
};

/**
 * Little's law over this daemon's own attempts: n in flight that take S
 * seconds each free n/S slots a second. A caller that waits within its fair
 * share is only held up by its own work.
 */
double EstimateWaitSeconds(const WaitInputs& aInputs);

} // namespace carobtide
