#include "carobtide/routing/target_limit.hpp"

#include "carobtide/fleet/load_messages.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace carobtide {

namespace {

/** Time in which the weight of a request falls by a factor of e, in seconds. */
constexpr double kDecaySeconds = 2.0;
/**
 * Requests that are sent before the first of them is known everywhere: the
 * rate is met with as many at once.
 */
constexpr double kSimultaneous = 2;
/** Weights below this are taken for nothing. */
constexpr double kNegligible = 1.0 / PackedSends::kTicksPerSend;
/** Time in which the rate doubles after the end of a limit, in seconds. */
constexpr double kDoublingSeconds = 0.5;
/** Rate from which it rises at least, in requests a second. */
constexpr double kMinRisingRate = 1.0;
/** Time after the end of a limit for which the rate is bounded. */
constexpr Duration kRise = std::chrono::seconds(4);
/** A target that wants nothing is asked now and then whether that holds. */
constexpr double kMinRate = 0.1;
/** Rates that differ by a smaller share of the known one are the same. */
constexpr double kTolerance = 0.05;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/** The weight that is left of a sum after some time. */
double Decay(double aSum, Duration aAge)
{
  return aSum *
         std::exp(-Seconds(std::max(aAge, Duration::zero())) / kDecaySeconds);
}

/**
 * The logarithm of the sum of weights just before the next of evenly spaced
 * groups of requests: of the geometric series of their decay over one period.
 */
double LogSteadySum(double aPerSecond, double aGroup)
{
  const double period = aGroup / (aPerSecond * kDecaySeconds);
  // Beyond this the exponential is taken without the one that is subtracted.
  constexpr double kLongPeriod = 30;
  const double series =
    period > kLongPeriod ? period : std::log(std::expm1(period));
  return std::log(aGroup) - series;
}

bool IsSameRate(double aKnown, double aStated)
{
  return aKnown == aStated ||
         (std::isfinite(aKnown) &&
          std::abs(aKnown - aStated) <= kTolerance * aKnown);
}

} // namespace

void TargetLimit::Change(Instant aNow, const RateLimit& aLimit)
{
  mRateBefore =
    aLimit.IsNone() ? std::max(Rate(aNow), kMinRisingRate) : RateLimit::kNone;
  mLimit = aLimit;
  mChangedAt = aNow;
}

void TargetLimit::OnTold(Instant aNow, const RateLimit& aLimit)
{
  if (aLimit.Replaces(mLimit)) {
    Change(aNow, aLimit);
  }
}

std::optional<RateLimit> TargetLimit::OnStated(Instant aNow, double aPerSecond,
                                               Instant aSentAt)
{
  const double rate = std::max(aPerSecond, kMinRate);
  const bool isOutdated = mLimit.mVersion > 0 && aSentAt <= mChangedAt;
  if (isOutdated || IsSameRate(mLimit.mPerSecond, rate)) {
    return std::nullopt;
  }
  Change(aNow, { rate, mLimit.mVersion + 1 });
  return mLimit;
}

void TargetLimit::OnSent(Instant aNow)
{
  mRecent = RecentSends(aNow) + 1;
  mRecentAt = aNow;
}

double TargetLimit::RecentSends(Instant aNow) const
{
  return Decay(mRecent, aNow - mRecentAt);
}

double TargetLimit::Rate(Instant aNow) const
{
  if (!mLimit.IsNone()) {
    return mLimit.mPerSecond;
  }
  const Duration age = aNow - mChangedAt;
  return mRateBefore == RateLimit::kNone || age >= kRise
           ? RateLimit::kNone
           : mRateBefore * std::exp2(Seconds(age) / kDoublingSeconds);
}

bool TargetLimit::IsShared(Instant aNow) const
{
  return Rate(aNow) != RateLimit::kNone && RecentSends(aNow) >= kNegligible;
}

Instant TargetLimit::SendableAt(Instant aNow, const Others& aOthers) const
{
  double rate = Rate(aNow);
  if (rate == RateLimit::kNone) {
    return aNow;
  }
  double recent = RecentSends(aNow);
  double group = 1;
  if (aOthers.mRecentSends) {
    group = kSimultaneous;
    recent += Decay(*aOthers.mRecentSends, aNow - aOthers.mAt);
    if (recent < kNegligible) {
      return aNow;
    }
  } else {
    rate /= std::max(aOthers.mDaemons, 1U);
  }
  if (recent <= 0) {
    const Instant since = std::max(aOthers.mUnknownSince, mChangedAt);
    return std::max(
      aNow, since + std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(aOthers.mPhase / rate)));
  }
  const double wait =
    kDecaySeconds * (std::log(recent) - LogSteadySum(rate, group));
  constexpr double kMaxWaitSeconds = 3600;
  return wait <= 0 ? aNow
                   : aNow + std::chrono::duration_cast<Duration>(
                              std::chrono::duration<double>(
                                std::min(wait, kMaxWaitSeconds)));
}

} // namespace carobtide
