#include "carobtide/routing/latency_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace carobtide {

namespace {

constexpr double kShortTermWeight = 0.3;
/** Weight of a sample far below the average, to detect recovery quickly. */
constexpr double kRecoveryWeight = 0.6;
constexpr double kRecoveryFactor = 0.5;
constexpr double kLongTermWeight = 0.03;
/** Time constants, in seconds, of the decay without samples. */
constexpr double kShortTermDecay = 5.0;
constexpr double kLongTermDecay = 60.0;

double DecayTowards(double aValue, double aLimit, double aSeconds,
                    double aTimeConstant)
{
  return aLimit + (aValue - aLimit) * std::exp(-aSeconds / aTimeConstant);
}

double SecondsSince(Instant aThen, Instant aNow)
{
  return std::max(0.0, std::chrono::duration<double>(aNow - aThen).count());
}

} // namespace

double LatencyTracker::LongTermAt(Instant aNow) const
{
  return DecayTowards(mLongTerm, 1.0, SecondsSince(mUpdated, aNow),
                      kLongTermDecay);
}

double LatencyTracker::ShortTermAt(Instant aNow) const
{
  const double seconds = SecondsSince(mUpdated, aNow);
  return DecayTowards(mShortTerm, LongTermAt(aNow), seconds, kShortTermDecay);
}

void LatencyTracker::Observe(Instant aNow, double aRatio)
{
  const double ratio = std::clamp(aRatio, kMinRatio, kMaxRatio);
  const double shortTerm = ShortTermAt(aNow);
  const double longTerm = LongTermAt(aNow);
  const bool isRecovery = ratio < kRecoveryFactor * shortTerm;
  const double weight = isRecovery ? kRecoveryWeight : kShortTermWeight;
  mShortTerm = shortTerm + weight * (ratio - shortTerm);
  mLongTerm = longTerm + kLongTermWeight * (ratio - longTerm);
  mUpdated = std::max(mUpdated, aNow);
  mSamples = std::min<std::uint32_t>(mSamples + 1, 1'000'000);
}

void LatencyTracker::ObservePending(Instant aNow, double aRatio)
{
  const double ratio = std::clamp(aRatio, kMinRatio, kMaxRatio);
  const double shortTerm = ShortTermAt(aNow);
  if (ratio <= shortTerm) {
    return;
  }
  mLongTerm = LongTermAt(aNow);
  mShortTerm = ratio;
  mUpdated = std::max(mUpdated, aNow);
}

double LatencyTracker::Slowness(Instant aNow) const
{
  return std::max(kMinRatio, ShortTermAt(aNow));
}

} // namespace carobtide
