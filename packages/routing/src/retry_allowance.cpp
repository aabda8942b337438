#include "carobtide/routing/retry_allowance.hpp"

#include <algorithm>

namespace carobtide {

namespace {

/** Part of the share that is used: windows and clocks do not line up. */
constexpr double kShareUsed = 0.7;
/** Part of the slack that daemons give out at once. */
constexpr double kBurstUsed = 0.35;
/** Part of the slack that is earned again in a window. */
constexpr double kRefillUsed = 0.15;

} // namespace

RetryAllowance::RetryAllowance(RetryBudget aBudget)
  : mBudget(aBudget)
{
}

void RetryAllowance::SetDaemons(std::uint32_t aDaemons)
{
  mDaemons = std::max<std::uint32_t>(aDaemons, 1);
}

void RetryAllowance::Refill(Instant aNow)
{
  const double slack = mBudget.mSlack / mDaemons;
  const double most = std::max(1.0, slack * kBurstUsed);
  if (!mStarted) {
    mStarted = true;
    mLeft = most;
    mRefilledAt = aNow;
    return;
  }
  const double windows =
    std::chrono::duration<double>(aNow - mRefilledAt).count() /
    std::chrono::duration<double>(mBudget.mWindow).count();
  mRefilledAt = aNow;
  mLeft = std::min(most, mLeft + slack * kRefillUsed * windows);
}

void RetryAllowance::OnFirstAttempt(Instant aNow)
{
  Refill(aNow);
  const double most = std::max(1.0, mBudget.mSlack / mDaemons * kBurstUsed);
  mLeft = std::min(most, mLeft + mBudget.mShare * kShareUsed);
}

bool RetryAllowance::Take(Instant aNow)
{
  Refill(aNow);
  if (mLeft < 1.0) {
    return false;
  }
  mLeft -= 1.0;
  return true;
}

} // namespace carobtide
