#include "carobtide/routing/target_health.hpp"

#include <algorithm>
#include <cmath>

namespace carobtide {

namespace {

/** Weight of the newest outcome: about the last ten count. */
constexpr double kOutcomeWeight = 0.1;
/** Weight of the newest time: about the last five count. */
constexpr int kTimeDivisor = 5;
/** Failures are half forgotten after this time without any outcome. */
constexpr Duration kFailureHalfLife = std::chrono::seconds(3);
/** Times to the first byte older than this say nothing. */
constexpr Duration kTimeMemory = std::chrono::seconds(3);
/** A target that could not be connected to is left alone, doubling. */
constexpr Duration kFirstAvoidance = std::chrono::milliseconds(250);
constexpr std::uint32_t kMostDoublings = 4;

bool IsFailure(SendEnd aEnd)
{
  return aEnd == SendEnd::TargetFailed || aEnd == SendEnd::Broken ||
         aEnd == SendEnd::TimedOut || aEnd == SendEnd::ConnectFailed;
}

} // namespace

void TargetHealth::OnSent(Instant aNow, SendId aSend)
{
  mWaiting.emplace(aSend, aNow);
}

void TargetHealth::OnFirstByte(Instant aNow, SendId aSend, Duration aTook)
{
  mWaiting.erase(aSend);
  mConnectFailures = 0;
  const Duration before = FirstByteTime(aNow);
  mFirstByte = before == Duration::zero()
                 ? aTook
                 : before + (aTook - before) / kTimeDivisor;
  mFirstByteAt = aNow;
}

double TargetHealth::FailureShare(Instant aNow) const
{
  const double age = std::chrono::duration<double>(aNow - mFailuresAt).count() /
                     std::chrono::duration<double>(kFailureHalfLife).count();
  return mFailures * std::exp2(-std::max(age, 0.0));
}

Duration TargetHealth::FirstByteTime(Instant aNow) const
{
  return aNow - mFirstByteAt < kTimeMemory ? mFirstByte : Duration::zero();
}

void TargetHealth::OnEnd(Instant aNow, SendId aSend, SendEnd aEnd)
{
  mWaiting.erase(aSend);
  if (aEnd == SendEnd::CallerGone || aEnd == SendEnd::Full ||
      aEnd == SendEnd::NotRun) {
    return;
  }
  const double outcome = IsFailure(aEnd) ? 1.0 : 0.0;
  const double before = FailureShare(aNow);
  mFailures = before + (outcome - before) * kOutcomeWeight;
  mFailuresAt = aNow;
  if (aEnd == SendEnd::ConnectFailed) {
    const auto doublings = std::min(mConnectFailures++, kMostDoublings);
    mAvoidUntil = aNow + kFirstAvoidance * (1U << doublings);
  }
}

Duration TargetHealth::OldestWait(Instant aNow) const
{
  // Sends are numbered in order, so the first is the oldest.
  return mWaiting.empty() ? Duration::zero() : aNow - mWaiting.begin()->second;
}

} // namespace carobtide
