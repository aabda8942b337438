#include "carobtide/routing/prefix_cache_index.hpp"

#include <algorithm>

namespace carobtide {

namespace {

void AddMatch(PrefixMatches& aMatches, TargetIndex aTarget, double aShare)
{
  const bool isFull = aMatches.mCount == PrefixMatches::kMaxMatches;
  if (isFull || aMatches.ShareOf(aTarget) > 0.0) {
    return;
  }
  aMatches.mRows[aMatches.mCount++] = { aTarget, aShare };
}

} // namespace

double PrefixMatches::ShareOf(TargetIndex aTarget) const
{
  for (std::size_t it = 0; it < mCount; ++it) {
    if (mRows[it].mTarget == aTarget) {
      return mRows[it].mShare;
    }
  }
  return 0.0;
}

PrefixCacheIndex::PrefixCacheIndex()
  : mSets(kCapacity / kWays)
{
}

void PrefixCacheIndex::Insert(Instant aNow, TargetIndex aTarget,
                              std::uint64_t aHash)
{
  Set& set = mSets[aHash % mSets.size()];
  auto it = std::ranges::find_if(set, [&](const Entry& aEntry) {
    return aEntry.mTarget == aTarget && aEntry.mHash == aHash;
  });
  if (it == set.end()) {
    it = std::ranges::min_element(set, {}, &Entry::mSeenAt);
  }
  *it = Entry{ aHash, aNow, aTarget };
}

void PrefixCacheIndex::Erase(TargetIndex aTarget, std::uint64_t aHash)
{
  Set& set = mSets[aHash % mSets.size()];
  const auto it = std::ranges::find_if(set, [&](const Entry& aEntry) {
    return aEntry.mTarget == aTarget && aEntry.mHash == aHash;
  });
  if (it != set.end()) {
    *it = Entry();
  }
}

PrefixMatches PrefixCacheIndex::Find(
  Instant aNow, std::span<const std::uint64_t> aHashes) const
{
  PrefixMatches matches;
  const std::size_t count = aHashes.size();
  const std::size_t first = count - std::min(count, kMaxHashes);
  for (std::size_t it = count; it > first; --it) {
    const std::uint64_t hash = aHashes[it - 1];
    const double share = static_cast<double>(it) / static_cast<double>(count);
    for (const Entry& entry : mSets[hash % mSets.size()]) {
      if (entry.mHash == hash && entry.mTarget != kNoTarget &&
          entry.mSeenAt + kLifetime > aNow) {
        AddMatch(matches, entry.mTarget, share);
      }
    }
  }
  return matches;
}

} // namespace carobtide
