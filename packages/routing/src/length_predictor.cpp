#include "carobtide/routing/length_predictor.hpp"

#include <algorithm>
#include <cmath>

namespace carobtide {

namespace {

constexpr double kInitialTypicalTokens = 128.0;
constexpr double kLearningWeight = 0.1;
constexpr double kTypicalWeight = 0.02;
/** A bound this many times the typical length marks unknown work as long. */
constexpr double kUnknownLongFactor = 16.0;

} // namespace

LengthKey LengthKey::Of(const CallerName& aCaller, const ModelName& aModel)
{
  const std::uint64_t seed = ComputeChecksum(aCaller.Text());
  // Zero marks an empty entry.
  return { ComputeChecksum(aModel.Text(), seed) | 1U };
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
  if (const Entry* entry = Find(aKey)) {
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
  Set& set = SetOf(aKey);
  auto it = std::ranges::find(set, aKey.mHash, &Entry::mHash);
  if (it == set.end()) {
    it = std::ranges::min_element(set, {}, &Entry::mUsed);
    *it = Entry{ aKey.mHash, 0, std::log(tokens) };
  }
  it->mUsed = ++mUse;
  it->mLogMean += kLearningWeight * (std::log(tokens) - it->mLogMean);
}

double LengthPredictor::LongThreshold() const
{
  return kLongFactor * std::exp(mLogTypical);
}

const LengthPredictor::Entry* LengthPredictor::Find(LengthKey aKey) const
{
  const Set& set = SetOf(aKey);
  const auto it = std::ranges::find(set, aKey.mHash, &Entry::mHash);
  return it == set.end() ? nullptr : &*it;
}

LengthPredictor::Set& LengthPredictor::SetOf(LengthKey aKey)
{
  return mSets[(aKey.mHash >> 1U) % mSets.size()];
}

const LengthPredictor::Set& LengthPredictor::SetOf(LengthKey aKey) const
{
  return mSets[(aKey.mHash >> 1U) % mSets.size()];
}

} // namespace carobtide
