#include "carobtide/cli/load_arrivals.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace carobtide {

namespace {

/** Cumulative Zipf weights. */
std::vector<double> CumulativeWeights(std::size_t aCount, double aSkew)
{
  std::vector<double> weights(aCount);
  double sum = 0;
  for (std::size_t i = 0; i < aCount; ++i) {
    sum += 1.0 / std::pow(static_cast<double>(i + 1), aSkew);
    weights[i] = sum;
  }
  return weights;
}

std::size_t DrawIndex(std::size_t aCount, RandomEngine& aRandom)
{
  return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(aRandom);
}

} // namespace

ArrivalGenerator::ArrivalGenerator(const LoadScenario& aScenario,
                                   std::uint64_t aSeed)
  : mScenario(aScenario)
  , mRandom(aSeed)
  , mOrganisationRandom(aSeed + 1)
{
  for (const LoadClass& loadClass : aScenario.mClasses) {
    mModelWeights.push_back(
      CumulativeWeights(loadClass.mModels.size(), loadClass.mModelSkew));
  }
  EnterPhase(0);
}

std::optional<Arrival> ArrivalGenerator::Next()
{
  while (mPhase < mScenario.mPhases.size()) {
    const LoadPhase& phase = mScenario.mPhases[mPhase];
    const bool isBurst = mNextBurst <= mNextPoisson;
    const Duration at = std::min(mNextBurst, mNextPoisson);
    if (at >= mPhaseEnd) {
      EnterPhase(mPhase + 1);
      continue;
    }
    if (!isBurst) {
      mNextPoisson += DrawGap();
      if (IsThinnedOut(at)) {
        continue;
      }
      return Make(at, DrawClass());
    }
    if (--mBurstLeft == 0) {
      mBurstLeft = phase.mBurstSize;
      mNextBurst += phase.mBurstEvery;
    }
    return Make(at, phase.mBurstClass);
  }
  return std::nullopt;
}

void ArrivalGenerator::EnterPhase(std::size_t aPhase)
{
  mPhase = aPhase;
  if (mPhase >= mScenario.mPhases.size()) {
    return;
  }
  const LoadPhase& phase = mScenario.mPhases[mPhase];
  const Duration start = mPhaseEnd;
  mPhaseEnd = start + phase.mDuration;
  mTotalRate = std::accumulate(phase.mRates.begin(), phase.mRates.end(), 0.0,
                               [](double aSum, const ClassRate& aRate) {
                                 return aSum + aRate.mPerSecond;
                               });
  mNextPoisson = mTotalRate > 0 ? start + DrawGap() : Duration::max();
  mBurstLeft = phase.mBurstSize;
  mNextBurst =
    phase.mBurstSize > 0 ? start + phase.mBurstEvery : Duration::max();
}

Duration ArrivalGenerator::DrawGap()
{
  constexpr double kMicrosPerSecond = 1e6;
  std::exponential_distribution<double> gap(
    mTotalRate * mScenario.mOrganisations.HighestFactor());
  return Duration(static_cast<std::int64_t>(gap(mRandom) * kMicrosPerSecond));
}

bool ArrivalGenerator::IsThinnedOut(Duration aAt)
{
  const LoadOrganisations& organisations = mScenario.mOrganisations;
  const double share =
    organisations.FactorAt(aAt) / organisations.HighestFactor();
  return share < 1 && std::uniform_real_distribution<double>(0, 1)(
                        mOrganisationRandom) >= share;
}

std::size_t ArrivalGenerator::DrawClass()
{
  const auto& rates = mScenario.mPhases[mPhase].mRates;
  double left = std::uniform_real_distribution<double>(0, mTotalRate)(mRandom);
  const auto it = std::ranges::find_if(rates, [&](const ClassRate& aRate) {
    left -= aRate.mPerSecond;
    return left < 0;
  });
  return it == rates.end() ? rates.back().mClass : it->mClass;
}

std::uint32_t ArrivalGenerator::DrawLength(const LengthSpec& aSpec)
{
  std::uniform_real_distribution<double> unit(0, 1);
  double length = 0;
  if (aSpec.mTailShare > 0 && unit(mRandom) < aSpec.mTailShare) {
    length =
      aSpec.mTailFrom * std::pow(1.0 - unit(mRandom), -1.0 / aSpec.mTailAlpha);
  } else {
    std::lognormal_distribution<double> body(std::log(aSpec.mMedian),
                                             aSpec.mSigma);
    length = body(mRandom);
  }
  return static_cast<std::uint32_t>(
    std::clamp<double>(std::round(length), 1, aSpec.mMax));
}

Arrival ArrivalGenerator::Make(Duration aAt, std::size_t aClass)
{
  const LoadClass& loadClass = mScenario.mClasses[aClass];
  Arrival arrival;
  arrival.mAt = aAt;
  arrival.mNumber = mNumber++;
  arrival.mPhase = mPhase;
  arrival.mClass = aClass;
  const auto& weights = mModelWeights[aClass];
  if (!weights.empty()) {
    const double point =
      std::uniform_real_distribution<double>(0, weights.back())(mRandom);
    const auto at = std::ranges::upper_bound(weights, point) - weights.begin();
    arrival.mModel = std::min(static_cast<std::size_t>(at), weights.size() - 1);
  }
  if (!loadClass.mTokens.empty()) {
    arrival.mToken = DrawIndex(loadClass.mTokens.size(), mRandom);
  }
  if (!mScenario.mOrganisations.mMembers.empty()) {
    arrival.mOrganisation = mScenario.mOrganisations.Draw(
      aAt, std::uniform_real_distribution<double>(0, 1)(mOrganisationRandom));
  }
  arrival.mPromptTokens = DrawLength(loadClass.mPrompt);
  arrival.mAnswerTokens = DrawLength(loadClass.mAnswer);
  arrival.mDuplicate =
    std::bernoulli_distribution(loadClass.mDuplicateShare)(mRandom);
  return arrival;
}

} // namespace carobtide
