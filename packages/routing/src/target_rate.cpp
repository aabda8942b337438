#include "carobtide/routing/target_rate.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace carobtide {

namespace {

/** Weight of samples from which a speed counts as known. */
constexpr double kMinWeight = 2;
/**
 * Half of the targets must have this weight before speeds are used: with fewer
 * samples, chance makes equal targets look uneven.
 */
constexpr double kFirmWeight = 8;
/** Weight of recent samples from which a change can be seen. */
constexpr double kMinRecentWeight = 4;
/** Assumed deviation of one sample, in binary logarithms. */
constexpr double kSampleDeviation = 0.5;
/** Deviations of the recent mean that chance does not explain. */
constexpr double kChangeDeviations = 3;
/**
 * Weight of the assumption that a target is of mean speed. Times to the first
 * byte vary more: chance must not make equal targets look uneven.
 */
constexpr double kTokensPrior = 0.1;
constexpr double kPrefillPrior = 4;

/** Fewer failures never stand out: one cause may end several requests. */
constexpr double kMinFailures = 3;
/** Share of failures that a target may have beyond the mean share. */
constexpr double kMeanFactor = 1.25;
constexpr double kToleratedShare = 0.05;
/** Deviations beyond that which stand out. */
constexpr double kFailureDeviations = 0.8;
/** Prior for the share of failures, in requests without one. */
constexpr double kPriorRequests = 1;
/** If more of the targets would be avoided, none is. */
constexpr double kMostAvoided = 0.5;

/** Over all daemons, mean time between requests let through. */
constexpr double kProbeSeconds = 5.0;
/** The same once the last ones were answered. */
constexpr double kRecoverySeconds = 0.25;
/** Requests answered without a failure that end the avoidance. */
constexpr double kRecoveryAnswers = 6;
/** A request that cannot be retried is let through only after this time. */
constexpr Duration kProbePatience = std::chrono::milliseconds(1000);

double ShareOf(const TargetSample& aSample)
{
  return aSample.mFailed / (aSample.mEnded + kPriorRequests);
}

} // namespace

std::optional<double> EstimateSpeedLog(const SpeedSum& aRecent,
                                       const SpeedSum& aLong,
                                       double aPriorWeight)
{
  if (aLong.mWeight < kMinWeight) {
    return std::nullopt;
  }
  const double change = std::abs(aRecent.Mean() - aLong.Mean());
  const bool isChanged =
    aRecent.mWeight >= kMinRecentWeight &&
    change > kChangeDeviations * kSampleDeviation / std::sqrt(aRecent.mWeight);
  const SpeedSum& used = isChanged ? aRecent : aLong;
  return used.mSum / (used.mWeight + aPriorWeight);
}

bool StandsOut(const TargetSample& aSample, double aMeanShare)
{
  const double tolerated =
    aSample.mEnded * (kMeanFactor * aMeanShare + kToleratedShare);
  return aSample.mFailed >= kMinFailures &&
         aSample.mFailed >
           tolerated + kFailureDeviations * std::sqrt(tolerated);
}

bool TargetRates::Normalise(Logs& aLogs, std::size_t aTargets)
{
  // The mean of a few says little: the first ones known would attract or lose
  // all requests.
  if (aLogs.size() < kMinTargets || 2 * aLogs.size() < aTargets) {
    return false;
  }
  std::vector<double> sorted;
  for (const auto& [key, log] : aLogs) {
    sorted.push_back(log);
  }
  std::ranges::sort(sorted);
  const double mean = std::accumulate(sorted.begin(), sorted.end(), 0.0) /
                      static_cast<double>(sorted.size());
  for (auto& [key, log] : aLogs) {
    log -= mean;
  }
  constexpr std::size_t kDeciles = 10;
  const std::size_t tenth = sorted.size() / kDeciles;
  return sorted[sorted.size() - 1 - tenth] - sorted[tenth] >
         std::log2(kMinSpread);
}

void TargetRates::SetSpeeds(const TargetRatesFacts& aFacts, Logs aPrefill,
                            Logs aTokens,
                            const std::array<std::size_t, 2>& aFirm)
{
  // Where the pace of tokens is known it says more: the time to the first byte
  // contains waits for prompts of other daemons that were not known of.
  mKnown = std::max(aPrefill.size(), aTokens.size());
  const bool hasTokens = aTokens.size() >= kMinTargets;
  Logs& logs = hasTokens ? aTokens : aPrefill;
  mIsUneven = Normalise(logs, aFacts.mTargets) && aFacts.mUsesSpeeds &&
              aFirm[hasTokens ? 1 : 0] * 2 >= aFacts.mTargets;
  if (mIsUneven) {
    for (const auto& [key, log] : logs) {
      mRates[key].mSpeed = std::exp2(log);
    }
  }
}

void TargetRates::SetFailures(
  Instant aNow, const TargetRatesFacts& aFacts,
  const std::unordered_map<TargetKey, TargetSums>& aSums,
  std::unordered_map<TargetKey, TargetRate>& aBefore, RandomEngine& aRandom)
{
  TargetSample all;
  std::size_t known = 0;
  for (const auto& [key, sums] : aSums) {
    all.Add(sums.mLong);
    known += sums.mLong.mEnded > 0 ? 1 : 0;
  }
  const double mean = all.mEnded > 0 ? all.mFailed / all.mEnded : 0;
  std::vector<TargetKey> avoided;
  for (const auto& [key, sums] : aSums) {
    const TargetSample& recent = sums.mRecent;
    const bool hasRecovered =
      recent.mFailed <= 0 && recent.mEnded >= kRecoveryAnswers;
    if (!hasRecovered &&
        (StandsOut(recent, mean) || StandsOut(sums.mLong, mean))) {
      avoided.push_back(key);
    }
    // This outlasts the avoidance: an idle target would attract all requests of
    // a moment, and half of them would fail if it has not recovered.
    const double share = std::max(ShareOf(recent), ShareOf(sums.mLong)) - mean;
    if (sums.mLong.mFailed > 1 && share > 0) {
      mRates[key].mFailures = std::min(share, 1.0);
    }
  }
  mAvoided = 0;
  if (static_cast<double>(avoided.size()) >
      kMostAvoided * static_cast<double>(known)) {
    return;
  }
  mAvoided = avoided.size();
  const double step =
    std::min(std::chrono::duration<double>(aNow - mAt).count(), 1.0);
  for (const TargetKey key : avoided) {
    TargetRate& rate = mRates[key];
    rate.mIsAvoided = true;
    rate.mProbeSince = aBefore[key].mProbeSince;
    const TargetSample& recent = aSums.at(key).mRecent;
    const bool isRecovering = recent.mEnded > 0 && recent.mFailed <= 0;
    const double rateOfProbes =
      1 / (aFacts.mDaemons * (isRecovering ? kRecoverySeconds : kProbeSeconds));
    if (!rate.mProbeSince && std::bernoulli_distribution(
                               std::min(step * rateOfProbes, 1.0))(aRandom)) {
      rate.mProbeSince = aNow;
    }
  }
}

void TargetRates::Refresh(Instant aNow, const TargetRatesFacts& aFacts,
                          const std::vector<TargetKey>& aTargets,
                          const std::function<TargetSums(TargetKey)>& aSums,
                          RandomEngine& aRandom)
{
  std::unordered_map<TargetKey, TargetSums> sums;
  std::array<std::size_t, 2> firm{};
  Logs prefill;
  Logs tokens;
  for (const TargetKey key : aTargets) {
    const TargetSums& known = sums[key] = aSums(key);
    firm[0] += known.mLong.mPrefill.mWeight >= kFirmWeight ? 1 : 0;
    firm[1] += known.mLong.mTokens.mWeight >= kFirmWeight ? 1 : 0;
    if (const auto log = EstimateSpeedLog(
          known.mRecent.mPrefill, known.mLong.mPrefill, kPrefillPrior)) {
      prefill[key] = *log;
    }
    if (const auto log = EstimateSpeedLog(known.mRecent.mTokens,
                                          known.mLong.mTokens, kTokensPrior)) {
      tokens[key] = *log;
    }
  }
  auto before = std::exchange(mRates, {});
  SetSpeeds(aFacts, std::move(prefill), std::move(tokens), firm);
  mAvoided = 0;
  if (aFacts.mUsesFailures) {
    SetFailures(aNow, aFacts, sums, before, aRandom);
  }
  mAt = aNow;
}

const TargetRate& TargetRates::Of(TargetKey aTarget) const
{
  static const TargetRate kOrdinary;
  const auto it = mRates.find(aTarget);
  return it == mRates.end() ? kOrdinary : it->second;
}

bool TargetRates::IsBarred(Instant aNow, TargetKey aTarget,
                           bool aIsRepeatable) const
{
  const TargetRate& rate = Of(aTarget);
  if (!rate.mIsAvoided) {
    return false;
  }
  return !rate.mProbeSince ||
         (!aIsRepeatable && aNow - *rate.mProbeSince < kProbePatience);
}

void TargetRates::OnSent(TargetKey aTarget)
{
  if (const auto it = mRates.find(aTarget); it != mRates.end()) {
    it->second.mProbeSince.reset();
  }
}

} // namespace carobtide
