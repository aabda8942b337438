#include "carobtide/routing/latency_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace carobtide {

namespace {

constexpr double kFastWeight = 0.3;
/** Weight of a sample that is far better than the average: a recovery. */
constexpr double kRecoveryWeight = 0.6;
constexpr double kRecoveryFactor = 0.5;
constexpr double kSlowWeight = 0.03;
/** Time constants, in seconds, of the drift without samples. */
constexpr double kFastDrift = 5.0;
constexpr double kSlowDrift = 60.0;

double DriftTowards(double aValue, double aGoal, double aSeconds,
                    double aConstant)
{
  return aGoal + (aValue - aGoal) * std::exp(-aSeconds / aConstant);
}

double SecondsSince(Instant aThen, Instant aNow)
{
  return std::max(0.0, std::chrono::duration<double>(aNow - aThen).count());
}

} // namespace

double LatencyTracker::SlowAt(Instant aNow) const
{
  return DriftTowards(mSlow, 1.0, SecondsSince(mUpdated, aNow), kSlowDrift);
}

double LatencyTracker::FastAt(Instant aNow) const
{
  const double seconds = SecondsSince(mUpdated, aNow);
  return DriftTowards(mFast, SlowAt(aNow), seconds, kFastDrift);
}

void LatencyTracker::Observe(Instant aNow, double aRatio)
{
  const double ratio = std::clamp(aRatio, kFastest, kSlowest);
  const double fast = FastAt(aNow);
  const double slow = SlowAt(aNow);
  const bool isRecovery = ratio < kRecoveryFactor * fast;
  const double weight = isRecovery ? kRecoveryWeight : kFastWeight;
  mFast = fast + weight * (ratio - fast);
  mSlow = slow + kSlowWeight * (ratio - slow);
  mUpdated = std::max(mUpdated, aNow);
  mSamples = std::min<std::uint32_t>(mSamples + 1, 1'000'000);
}

void LatencyTracker::ObservePending(Instant aNow, double aRatio)
{
  const double ratio = std::clamp(aRatio, kFastest, kSlowest);
  const double fast = FastAt(aNow);
  if (ratio <= fast) {
    return;
  }
  mSlow = SlowAt(aNow);
  mFast = ratio;
  mUpdated = std::max(mUpdated, aNow);
}

double LatencyTracker::Slowness(Instant aNow) const
{
  return std::max(kFastest, FastAt(aNow));
}

} // namespace carobtide
