#include "carobtide/routing/wait_estimate.hpp"

#include <algorithm>

namespace carobtide {

namespace {

constexpr double kMinShare = 0.01;

} // namespace

double EstimateWaitSeconds(const WaitInputs& aInputs)
{
  const double share = std::max(kMinShare, aInputs.mShare);
  const double slotShare = std::max(kMinShare, aInputs.mSlotShare);
  const double fair = static_cast<double>(aInputs.mOwnAhead + 1) / share;
  const double all = static_cast<double>(aInputs.mAhead + 1);
  const double inFlight = std::max(1U, aInputs.mInFlight);
  const double rate = inFlight / aInputs.mMeanSeconds * slotShare;
  return std::min(fair, all) / rate;
}

} // namespace carobtide
