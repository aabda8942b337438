#pragma once

/**
 * @file
 * Prompt prefix cache of a stand-in engine, without I/O.
 */

#include "carobtide/cli/announcer.hpp"

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carobtide {

/** Bytes of prompt per block of the prefix cache. */
inline constexpr std::size_t kPrefixBlockBytes = 256;

/** Longer prefixes are not hashed. */
inline constexpr std::size_t kMaxPrefixBlocks = 32;

/**
 * Rolling hashes of a prompt's prefixes, one per whole block, shortest first.
 * Each covers all blocks before it. The daemons compute the same ones, which
 * is how they read cache events.
 */
std::vector<std::uint64_t> ComputePrefixHashes(std::string_view aPrompt);

/**
 * Least-recently-used cache of prefix blocks.
 *
 * Thread safety: none; the owner guards it.
 */
class PrefixCache
{
public:
  explicit PrefixCache(std::size_t aMaxBlocks);

  /**
   * Looks a prompt up and stores its blocks. Returns how many leading blocks
   * were cached; appends what entered or left to aEvents.
   */
  std::size_t Touch(const std::vector<std::uint64_t>& aHashes,
                    std::vector<PrefixEvent>& aEvents);

private:
  std::size_t mMaxBlocks;
  /** Most recently used first. */
  std::list<std::uint64_t> mOrder;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> mIndex;
};

} // namespace carobtide
