#include "carobtide/fleet/block_list.hpp"

#include <algorithm>
#include <chrono>

namespace carobtide {

bool BlockList::Block(Instant aNow, const Digest& aFingerprint, Instant aUntil)
{
  const auto lifted = mLifted.find(aFingerprint);
  if (aUntil <= aNow ||
      (lifted != mLifted.end() && aNow - lifted->second.mAt < kLiftGuardTime)) {
    return false;
  }
  const auto [it, isNew] =
    mBlocks.try_emplace(aFingerprint, Entry{ aUntil, mVersion + 1 });
  if (!isNew) {
    return false;
  }
  ++mVersion;
  if (mBlocks.size() > kCapacity) {
    mBlocks.erase(std::ranges::min_element(
      mBlocks, {}, [](const auto& aIt) { return aIt.second.mUntil; }));
  }
  return mBlocks.contains(aFingerprint);
}

bool BlockList::Block(Instant aNow, const ContentBlock& aBlock)
{
  const Duration remaining = std::chrono::milliseconds(aBlock.mRemainingMs);
  return Block(aNow, aBlock.mFingerprint,
               aNow + std::min(remaining, kBlockTime));
}

bool BlockList::Lift(Instant aNow, const Digest& aFingerprint)
{
  if (mBlocks.erase(aFingerprint) == 0) {
    return false;
  }
  mLifted[aFingerprint] = { aNow, ++mVersion };
  return true;
}

std::vector<Digest> BlockList::Expire(Instant aNow)
{
  std::erase_if(mLifted, [&](const auto& aIt) {
    return aNow - aIt.second.mAt >= kLiftedRetention;
  });
  std::vector<Digest> ended;
  std::erase_if(mBlocks, [&](const auto& aIt) {
    const bool isOver = aIt.second.mUntil <= aNow;
    if (isOver) {
      ended.push_back(aIt.first);
    }
    return isOver;
  });
  return ended;
}

std::optional<Instant> BlockList::Until(Instant aNow,
                                        const Digest& aFingerprint) const
{
  const auto it = mBlocks.find(aFingerprint);
  if (it == mBlocks.end() || it->second.mUntil <= aNow) {
    return std::nullopt;
  }
  return it->second.mUntil;
}

BlockChanges BlockList::Since(Instant aNow, std::uint64_t aVersion) const
{
  BlockChanges changes;
  changes.mVersion = mVersion;
  for (const auto& [fingerprint, entry] : mBlocks) {
    if (entry.mVersion > aVersion && entry.mUntil > aNow) {
      const auto remaining =
        std::chrono::ceil<std::chrono::milliseconds>(entry.mUntil - aNow);
      changes.mBlocks.push_back(
        { fingerprint, static_cast<std::uint32_t>(remaining.count()) });
    }
  }
  for (const auto& [fingerprint, lifted] : mLifted) {
    if (lifted.mVersion > aVersion) {
      changes.mLifted.push_back(fingerprint);
    }
  }
  return changes;
}

} // namespace carobtide
