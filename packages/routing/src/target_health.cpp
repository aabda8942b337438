#include "carobtide/routing/target_health.hpp"

#include <algorithm>
#include <cmath>

namespace carobtide {

namespace {

/** Weight of the newest outcome: averages about the last ten. */
constexpr double kOutcomeWeight = 0.1;
/** Inverse weight of the newest time: averages about the last five. */
constexpr int kSmoothingDivisor = 5;
/** Half-life of the failure share without new outcomes. */
constexpr Duration kFailureHalfLife = std::chrono::seconds(3);
/** Lifetime of a time to the first byte. */
constexpr Duration kFirstByteLifetime = std::chrono::seconds(3);

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
  const Duration before = FirstByteTime(aNow);
  mFirstByte = before == Duration::zero()
                 ? aTook
                 : before + (aTook - before) / kSmoothingDivisor;
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
  return aNow - mFirstByteAt < kFirstByteLifetime ? mFirstByte
                                                  : Duration::zero();
}

void TargetHealth::OnEnd(Instant aNow, SendId aSend, SendEnd aEnd)
{
  mWaiting.erase(aSend);
  if (aEnd == SendEnd::CallerGone || aEnd == SendEnd::Full ||
      aEnd == SendEnd::NotRun || aEnd == SendEnd::Withheld) {
    return;
  }
  const double outcome = IsFailure(aEnd) ? 1.0 : 0.0;
  const double before = FailureShare(aNow);
  mFailures = before + (outcome - before) * kOutcomeWeight;
  mFailuresAt = aNow;
}

Duration TargetHealth::OldestWait(Instant aNow) const
{
  // SendIds increase, so the first is the oldest.
  return mWaiting.empty() ? Duration::zero() : aNow - mWaiting.begin()->second;
}

} // namespace carobtide
