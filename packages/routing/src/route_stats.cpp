#include "carobtide/routing/route_stats.hpp"

#include <algorithm>
#include <cmath>

namespace carobtide {

namespace {

constexpr double kLearningWeight = 0.05;
/** Deviations above the mean that count as late. */
constexpr double kLateDeviations = 4.0;
/** Time constants of the two demand rates, in seconds. */
constexpr double kShortTermDecay = 10.0;
constexpr double kLongTermDecay = 300.0;
constexpr double kMinSeconds = 1e-6;

/** The first samples weigh more, so that the initial value is soon replaced. */
double WeightOf(std::uint32_t aSamples)
{
  return std::max(kLearningWeight, 1.0 / (aSamples + 1.0));
}

double Decayed(double aRate, Instant aUpdatedAt, Instant aNow,
               double aTimeConstant)
{
  const double seconds =
    std::chrono::duration<double>(aNow - aUpdatedAt).count();
  return aRate * std::exp(-std::max(0.0, seconds) / aTimeConstant);
}

} // namespace

void RouteStats::LearnFirstByte(double aSeconds)
{
  const double weight = WeightOf(mFirstBytes++);
  const double error = aSeconds - mFirstByte;
  mFirstByte = std::max(kMinSeconds, mFirstByte + weight * error);
  mFirstByteDeviation += weight * (std::abs(error) - mFirstByteDeviation);
}

void RouteStats::Learn(const AttemptTiming& aTiming)
{
  const double weight = WeightOf(mSamples++);
  mMean += weight * (aTiming.mWholeSeconds - mMean);
  mMean = std::max(kMinSeconds, mMean);
  if (aTiming.mTokens > 0.0) {
    const double generating =
      std::max(0.0, aTiming.mWholeSeconds - aTiming.mFirstByteSeconds);
    const double perToken = generating / aTiming.mTokens;
    mToken = std::max(kMinSeconds, mToken + weight * (perToken - mToken));
  }
}

double RouteStats::LateFirstByteSeconds() const
{
  return mFirstByte + kLateDeviations * mFirstByteDeviation;
}

double RouteStats::ExpectedSeconds(double aTokens) const
{
  return mFirstByte + aTokens * mToken;
}

void DemandMeter::Add(Instant aNow, double aAcceleratorSeconds)
{
  mFast = Fast(aNow) + aAcceleratorSeconds / kShortTermDecay;
  mSlow = Slow(aNow) + aAcceleratorSeconds / kLongTermDecay;
  mUpdatedAt = std::max(mUpdatedAt, aNow);
}

double DemandMeter::Fast(Instant aNow) const
{
  return Decayed(mFast, mUpdatedAt, aNow, kShortTermDecay);
}

double DemandMeter::Slow(Instant aNow) const
{
  return Decayed(mSlow, mUpdatedAt, aNow, kLongTermDecay);
}

} // namespace carobtide
