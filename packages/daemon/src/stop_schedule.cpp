#include "stop_schedule.hpp"

#include <algorithm>
#include <cassert>

namespace carobtide {

namespace {

/** The balancer asks every second and goes by two answers. */
constexpr Duration kBalancerDelay = std::chrono::milliseconds(2600);
/** The balancer gets this share of a short grace period. */
constexpr int kBalancerDivisor = 3;
/** Left of the grace period for the end of the process. */
constexpr Duration kExitMargin = std::chrono::milliseconds(300);
/** The least time in which a target may answer. */
constexpr Duration kSendMargin = std::chrono::milliseconds(1000);

} // namespace

bool StopSchedule::Begin(Instant aNow)
{
  if (mStartedAt) {
    return false;
  }
  mStartedAt = aNow;
  return true;
}

Instant StopSchedule::IdleUntil() const
{
  assert(mStartedAt);
  return *mStartedAt +
         std::min(kBalancerDelay, mGracePeriod / kBalancerDivisor);
}

Instant StopSchedule::WaitLimit() const
{
  return mStartedAt ? IdleUntil() : Instant::max();
}

Instant StopSchedule::SendLimit() const
{
  return mStartedAt ? std::max(IdleUntil(), Latest() - kSendMargin)
                    : Instant::max();
}

Instant StopSchedule::Latest() const
{
  assert(mStartedAt);
  return *mStartedAt + mGracePeriod - kExitMargin;
}

bool StopSchedule::IsTooLateFor(Instant aNow, const Route& aRoute) const
{
  if (mHasEnded) {
    return true;
  }
  if (!mStartedAt || aNow < IdleUntil()) {
    return false;
  }
  return IsStream(aRoute.mKind) || aNow + aRoute.mTimeout > Latest();
}

} // namespace carobtide
