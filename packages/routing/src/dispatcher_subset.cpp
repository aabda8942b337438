// Targets that a daemon prefers so that it can use connections again, see
// TargetSubset.
#include "carobtide/routing/dispatcher.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace carobtide {

namespace {

/**
 * What a connection costs, in units of load: a round trip and 1 ms at the
 * target, about 5 ms of an objective of 250 ms.
 */
constexpr double kConnectionCost = 0.02;
/**
 * The random part of scores keeps daemons from all choosing the same target. A
 * preference that differs between daemons does the same, so that it may
 * outweigh this share of the random part, up to a bound: beyond that, loads
 * that are known have to decide. With a bound of 0.5, fewer requests of a fleet
 * with two holders a model were in time (98.3 instead of 98.7 in 100).
 */
constexpr double kRandomShare = 0.5;
constexpr double kMaxRandomBonus = 0.4;
/** Part of the preference for the subset; the rest is for idle connections. */
constexpr double kSubsetPart = 0.3;
constexpr Duration kSubsetInterval = std::chrono::milliseconds(1000);
/** Idle connections kept for each target of the subset, and for others. */
constexpr std::size_t kIdleInSubset = 2;
constexpr std::size_t kIdleElsewhere = 1;
/**
 * With more targets, none are kept for others: a VM has 4,200 descriptors, most
 * of them for callers.
 */
constexpr std::size_t kMaxTargetsElsewhere = 512;

} // namespace

bool Dispatcher::IsPreferable(Instant aNow, const Pool& aPool,
                              const Target& aTarget)
{
  return aTarget.mState.TakesWork() && !aTarget.mState.mSilent &&
         !aTarget.mLeaves && aTarget.mPause.IsOver(aNow) &&
         !aPool.mRates.Of(aTarget.mKey).mIsAvoided;
}

std::vector<std::size_t> Dispatcher::ChooseSubset(
  Instant aNow, const Pool& aPool, const std::vector<Candidate>& aCandidates,
  std::size_t aSize) const
{
  std::vector<SubsetCandidate> candidates;
  std::vector<std::size_t> indexes;
  for (std::size_t n = 0; n < aCandidates.size(); ++n) {
    const Target& target = *aCandidates[n].mTarget;
    if (IsPreferable(aNow, aPool, target)) {
      candidates.push_back(
        { target.mSubsetId,
          target.mState.mLast.mFailureDomain == mOptions.mFailureDomain });
      indexes.push_back(n);
    }
  }
  auto chosen = TargetSubset(*mOptions.mSubsetId).Choose(candidates, aSize);
  std::ranges::transform(chosen, chosen.begin(),
                         [&](std::size_t aIndex) { return indexes[aIndex]; });
  return chosen;
}

void Dispatcher::RefreshSubset(Instant aNow, Pool& aPool)
{
  if (!mOptions.mSubsetId || aNow - aPool.mSubsetAt < kSubsetInterval) {
    return;
  }
  aPool.mSubsetAt = aNow;
  aPool.mIdleToKeep.clear();
  aPool.mSubsetSize =
    aPool.mRates.IsUneven()
      ? TargetSubset::SizeOf(aPool.mSendRate, mOptions.mIdleTime,
                             aPool.mTargets.size())
      : 0;
  if (aPool.mSubsetSize == 0) {
    return;
  }
  const std::size_t elsewhere =
    aPool.mTargets.size() <= kMaxTargetsElsewhere ? kIdleElsewhere : 0;
  std::vector<Candidate> all;
  for (const TargetName& name : aPool.mTargets) {
    Target& target = mTargets.at(name);
    all.push_back({ &target, 0, {} });
    aPool.mIdleToKeep[target.mState.mLast.mAddress] = elsewhere;
  }
  for (const std::size_t n :
       ChooseSubset(aNow, aPool, all, aPool.mSubsetSize)) {
    aPool.mIdleToKeep[all[n].mTarget->mState.mLast.mAddress] = kIdleInSubset;
  }
}

void Dispatcher::PreferSubset(Instant aNow, const Pool& aPool,
                              std::vector<Candidate> aCandidates,
                              Search& aSearch) const
{
  const double worth =
    kConnectionCost +
    std::min(kRandomShare * (aPool.mTieBreak + OrderedSpread()),
             kMaxRandomBonus);
  const std::size_t size = TargetSubset::SizeAmong(
    aPool.mSubsetSize, aSearch.mHolders, aPool.mTargets.size());
  for (const std::size_t n : ChooseSubset(aNow, aPool, aCandidates, size)) {
    aCandidates[n].mScore -= kSubsetPart * worth;
  }
  const double limit = aSearch.mScore + (1 - kSubsetPart) * worth;
  aSearch.mScore = std::numeric_limits<double>::max();
  for (Candidate& candidate : aCandidates) {
    // Others cannot become the best: the pool is asked for few addresses.
    if (candidate.mScore < limit && mOptions.mHasIdleConnection &&
        mOptions.mHasIdleConnection(candidate.mTarget->mState.mLast.mAddress)) {
      candidate.mScore -= (1 - kSubsetPart) * worth;
    }
    if (candidate.mScore < aSearch.mScore) {
      aSearch.mBest = candidate.mTarget;
      aSearch.mScore = candidate.mScore;
      aSearch.mLoad = candidate.mLoad;
    }
  }
}

std::optional<std::size_t> Dispatcher::IdleToKeep(
  const Endpoint& aAddress) const
{
  for (const auto& [name, pool] : mPools) {
    if (const auto it = pool.mIdleToKeep.find(aAddress);
        it != pool.mIdleToKeep.end()) {
      return it->second;
    }
  }
  return std::nullopt;
}

} // namespace carobtide
