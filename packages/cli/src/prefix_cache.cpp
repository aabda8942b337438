#include "carobtide/cli/prefix_cache.hpp"

#include "carobtide/base.hpp"

#include <algorithm>

namespace carobtide {

std::vector<std::uint64_t> ComputePrefixHashes(std::string_view aPrompt)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t hash = 0;
  while (aPrompt.size() >= kPrefixBlockBytes &&
         hashes.size() < kMaxPrefixBlocks) {
    hash = ComputeChecksum(aPrompt.substr(0, kPrefixBlockBytes), hash);
    hashes.push_back(hash);
    aPrompt.remove_prefix(kPrefixBlockBytes);
  }
  return hashes;
}

PrefixCache::PrefixCache(std::size_t aMaxBlocks)
  : mMaxBlocks(aMaxBlocks)
{
}

std::size_t PrefixCache::Touch(const std::vector<std::uint64_t>& aHashes,
                               std::vector<PrefixEvent>& aEvents)
{
  const auto isCached = [&](std::uint64_t aHash) {
    return mIndex.contains(aHash);
  };
  const auto firstMiss = std::ranges::find_if_not(aHashes, isCached);
  const auto hits = static_cast<std::size_t>(firstMiss - aHashes.begin());
  for (const std::uint64_t hash : aHashes) {
    const auto it = mIndex.find(hash);
    if (it != mIndex.end()) {
      mOrder.splice(mOrder.begin(), mOrder, it->second);
      continue;
    }
    mOrder.push_front(hash);
    mIndex.emplace(hash, mOrder.begin());
    aEvents.push_back({ hash, false });
  }
  while (mOrder.size() > mMaxBlocks) {
    aEvents.push_back({ mOrder.back(), true });
    mIndex.erase(mOrder.back());
    mOrder.pop_back();
  }
  return hits;
}

} // namespace carobtide
