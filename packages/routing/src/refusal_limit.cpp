#include "carobtide/routing/refusal_limit.hpp"

#include <algorithm>
#include <chrono>
#include <random>

namespace carobtide {

namespace {

/** A service that answered nothing for so long is not taken for brittle. */
constexpr Duration kStatementLifetime = std::chrono::seconds(10);
/** Part of the limit that the daemons together make use of. */
constexpr double kUsedShare = 0.2;
constexpr double kMinPerSecond = 0.5;
/**
 * Part of the free slots that all daemons take before they see the rest, for
 * each refusal a second that the target bears.
 */
constexpr double kTakenSharePerRefusal = 0.15;
constexpr double kMaxTakenShare = 0.5;
/** Slots left free for each daemon that shares a refusal a second. */
constexpr double kMarginPerDaemon = 0.05;
constexpr double kMaxLeastMargin = 2.0;
/** Slots added to the margin by a refusal, and the largest part of them. */
constexpr double kMarginStep = 1.0;
constexpr double kMaxMarginShare = 0.5;
/**
 * How long a daemon reports a slot as its own after its request has ended. At
 * one refusal a second, a slot that is free to all daemons is in use again only
 * after about a second; the daemon's own next request usually comes earlier.
 * 150 ms kept 80 % of the slots of 300 daemons in use, 250 ms 84 %.
 */
constexpr Duration kClaimTime = std::chrono::milliseconds(250);
/** Bound of the pause after a refusal. */
constexpr Duration kMaxHold = std::chrono::seconds(2);

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/** Between two refusals that one daemon may risk. */
double SecondsPerRefusal(const KnownLoad& aLoad, double aPerSecond)
{
  return aLoad.mDaemons / (std::max(aPerSecond, kMinPerSecond) * kUsedShare);
}

} // namespace

void RefusalLimit::OnStated(Instant aNow, std::optional<double> aPerSecond,
                            Instant aSentAt)
{
  if (aPerSecond) {
    mPerSecond = aPerSecond;
    mStatedAt = aNow;
  } else if (aSentAt > mStatedAt) {
    mPerSecond.reset();
  }
}

std::optional<double> RefusalLimit::Current(Instant aNow) const
{
  return aNow - mStatedAt < kStatementLifetime ? mPerSecond : std::nullopt;
}

void RefusalGuard::Narrow(Instant aNow, const KnownLoad& aLoad,
                          double aPerSecond)
{
  const double seconds = Seconds(aNow - mNarrowedAt);
  mNarrowedAt = aNow;
  mMargin = std::max(mMargin - kMarginStep * seconds /
                                 SecondsPerRefusal(aLoad, aPerSecond),
                     0.0);
}

bool RefusalGuard::MaySend(Instant aNow, const KnownLoad& aLoad,
                           double aPerSecond, RandomEngine& aRandom)
{
  if (aNow < mHoldUntil) {
    return false;
  }
  Narrow(aNow, aLoad, aPerSecond);
  const auto daemons = std::max(aLoad.mDaemons, 1U);
  if (!aLoad.mIsKnown) {
    return aLoad.mOwn < std::max(aLoad.mSlots / daemons, 1U);
  }
  if (aLoad.mReportInTotal > mShareReport) {
    mShareReport = aLoad.mReport;
    const double free = static_cast<double>(aLoad.mSlots) - mMargin -
                        std::max(aLoad.mOwnInTotal, aLoad.mOwn) - aLoad.mOthers;
    const double taken = std::min(
      kTakenSharePerRefusal * std::max(aPerSecond, 1.0), kMaxTakenShare);
    const double share = std::max(free, 0.0) * taken / daemons;
    mShare = static_cast<std::uint32_t>(
      share + std::uniform_real_distribution<>(0, 1)(aRandom));
  }
  return (aLoad.mOwn < aLoad.mOwnReported || mShare > 0) &&
         aLoad.mOwn + aLoad.mOthers < aLoad.mSlots;
}

void RefusalGuard::OnSent(const KnownLoad& aLoad)
{
  if (aLoad.mOwn >= aLoad.mOwnReported && mShare > 0) {
    --mShare;
  }
}

std::uint32_t RefusalGuard::Claim(Instant aNow, std::uint32_t aOwn)
{
  if (aOwn >= mClaimed || aNow >= mClaimedUntil) {
    mClaimed = aOwn;
    mClaimedUntil = aNow + kClaimTime;
  }
  return mClaimed;
}

void RefusalGuard::OnRefused(Instant aNow, const KnownLoad& aLoad,
                             double aPerSecond)
{
  Narrow(aNow, aLoad, aPerSecond);
  mMargin = std::min(mMargin + kMarginStep, kMaxMarginShare * aLoad.mSlots);
  mHoldUntil =
    aNow +
    std::min(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
               SecondsPerRefusal(aLoad, aPerSecond))),
             kMaxHold);
}

} // namespace carobtide
