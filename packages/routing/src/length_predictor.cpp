#include "carobtide/routing/length_predictor.hpp"

#include <algorithm>
#include <cmath>

namespace carobtide {

namespace {

constexpr double kInitialTypicalTokens = 128.0;
constexpr double kLearningWeight = 0.1;
constexpr double kTypicalWeight = 0.02;
/** Weight of the prior of a new entry, in samples. */
constexpr double kPriorSamples = 3.0;
constexpr std::uint32_t kMaxSamples = 1000;
/**
 * Without samples, a request is long if its token limit is at least this many
 * times the typical length.
 */
constexpr double kUnknownLongFactor = 16.0;

} // namespace

LengthKey LengthKey::Of(const CallerName& aCaller, const ModelName& aModel)
{
  const std::uint64_t caller = ComputeChecksum(aCaller.Text());
  // A hash of zero marks an empty entry.
  return { ComputeChecksum(aModel.Text(), caller) | 1U, caller | 1U };
}

LengthPredictor::LengthPredictor()
  : mSets(kCapacity / kWays)
  , mLogTypical(std::log(kInitialTypicalTokens))
{
}

LengthEstimate LengthPredictor::Estimate(LengthKey aKey,
                                         std::uint32_t aMaxTokens) const
{
  const double typical = std::exp(mLogTypical);
  const double bound = aMaxTokens > 0 ? aMaxTokens : 1e9;
  const Entry* entry = Find(aKey.mHash);
  entry = entry == nullptr ? Find(aKey.mCallerHash) : entry;
  if (entry != nullptr) {
    const double tokens = std::min(std::exp(entry->mLogMean), bound);
    return { tokens, tokens >= LongThreshold() };
  }
  const bool isLong =
    aMaxTokens > 0 && aMaxTokens >= kUnknownLongFactor * typical;
  return { std::min(typical, bound), isLong };
}

void LengthPredictor::Learn(LengthKey aKey, PriorityClass aPriority,
                            double aTokens)
{
  const double tokens = std::max(1.0, aTokens);
  if (aPriority == PriorityClass::Interactive) {
    mLogTypical += kTypicalWeight * (std::log(tokens) - mLogTypical);
  }
  const double logTokens = std::log(tokens);
  const Entry* caller = Find(aKey.mCallerHash);
  const double prior = caller == nullptr ? mLogTypical : caller->mLogMean;
  LearnEntry(aKey.mHash, prior, logTokens);
  LearnEntry(aKey.mCallerHash, mLogTypical, logTokens);
}

void LengthPredictor::LearnEntry(std::uint64_t aHash, double aPrior,
                                 double aLogTokens)
{
  Set& set = mSets[SetOf(aHash)];
  auto it = std::ranges::find(set, aHash, &Entry::mHash);
  if (it == set.end()) {
    it = std::ranges::min_element(set, {}, &Entry::mLastUpdate);
    *it = Entry{ aHash, 0, aPrior, 0 };
  }
  it->mLastUpdate = ++mUpdates;
  const double weight =
    std::max(kLearningWeight, 1.0 / (it->mSamples + kPriorSamples));
  it->mLogMean += weight * (aLogTokens - it->mLogMean);
  it->mSamples = std::min(it->mSamples + 1, kMaxSamples);
}

double LengthPredictor::LongThreshold() const
{
  return kLongFactor * std::exp(mLogTypical);
}

const LengthPredictor::Entry* LengthPredictor::Find(std::uint64_t aHash) const
{
  const Set& set = mSets[SetOf(aHash)];
  const auto it = std::ranges::find(set, aHash, &Entry::mHash);
  return it == set.end() ? nullptr : &*it;
}

std::size_t LengthPredictor::SetOf(std::uint64_t aHash) const
{
  return (aHash >> 1U) % mSets.size();
}

} // namespace carobtide
