#pragma once

/**
 * @file
 * Estimates which targets have which prompt prefixes in their caches.
 */

#include "carobtide/base.hpp"
#include "carobtide/routing/target_table.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace carobtide {

/** A target and the share of a prompt that its cache probably holds. */
struct PrefixMatch
{
  TargetIndex mTarget = kNoTarget;
  double mShare = 0.0;
};

/** The best matches of one prompt, stored inline to avoid allocation. */
struct PrefixMatches
{
  static constexpr std::size_t kMaxMatches = 8;

  std::array<PrefixMatch, kMaxMatches> mRows{};
  std::size_t mCount = 0;

  /** The share that a target holds; 0 if none is known. */
  double ShareOf(TargetIndex aTarget) const;
};

/**
 * Bounded set-associative table filled from this daemon's own dispatches and
 * the engines' cache events. Events arrive late and may be lost, so entries can
 * be wrong: they expire after kLifetime and only add a bonus to a target's
 * score.
 *
 * Thread safety: none; the owner synchronizes access. Allocates only in the
 * constructor.
 */
class PrefixCacheIndex
{
public:
  PrefixCacheIndex();

  /** Records that the target's cache holds a prefix. */
  void Insert(Instant aNow, TargetIndex aTarget, std::uint64_t aHash);

  /** Records that the target evicted a prefix. */
  void Erase(TargetIndex aTarget, std::uint64_t aHash);

  /**
   * Targets that hold the longest prefixes. aHashes: shortest prefix first, as
   * in RequestFacts; only the longest kMaxHashes are looked up.
   */
  PrefixMatches Find(Instant aNow,
                     std::span<const std::uint64_t> aHashes) const;

  /** Size of the table in bytes. */
  std::size_t MemoryBytes() const { return mSets.size() * sizeof(Set); }

  static constexpr std::size_t kCapacity = 65536;
  static constexpr std::size_t kMaxHashes = 16;
  static constexpr Duration kLifetime = 120s;

private:
  static constexpr std::size_t kWays = 8;

  struct Entry
  {
    std::uint64_t mHash = 0;
    Instant mSeenAt;
    TargetIndex mTarget = kNoTarget;
  };

  using Set = std::array<Entry, kWays>;

  std::vector<Set> mSets;
};

} // namespace carobtide
