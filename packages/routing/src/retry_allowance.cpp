#include "carobtide/routing/retry_allowance.hpp"

#include <algorithm>

namespace carobtide {

namespace {

/** Fraction of the share in use, as windows and clocks are not aligned. */
constexpr double kShareFraction = 0.7;
/** Fraction of the fixed retries available in one burst. */
constexpr double kBurstFraction = 0.35;
/** Fraction of the fixed retries refilled in each window. */
constexpr double kRefillFraction = 0.15;

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
  const double fixedRetries = mBudget.mFixedRetries / mDaemons;
  const double capacity = std::max(1.0, fixedRetries * kBurstFraction);
  if (!mStarted) {
    mStarted = true;
    mLeft = capacity;
    mRefilledAt = aNow;
    return;
  }
  const double windows =
    std::chrono::duration<double>(aNow - mRefilledAt).count() /
    std::chrono::duration<double>(mBudget.mWindow).count();
  mRefilledAt = aNow;
  mLeft = std::min(capacity, mLeft + fixedRetries * kRefillFraction * windows);
}

void RetryAllowance::OnFirstAttempt(Instant aNow)
{
  Refill(aNow);
  const double capacity =
    std::max(1.0, mBudget.mFixedRetries / mDaemons * kBurstFraction);
  mLeft = std::min(capacity, mLeft + mBudget.mShare * kShareFraction);
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
