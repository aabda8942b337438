#pragma once

/**
 * @file
 * Which targets are believed to hold which prompt prefixes.
 */

#include "carobtide/base.hpp"
#include "carobtide/routing/target_table.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace carobtide {

/** A target and the share of a prompt that its cache may hold. */
struct PrefixMatch
{
  TargetIndex mTarget = kNoTarget;
  double mShare = 0.0;
};

/** The best matches of one prompt, in place so that lookups don't allocate. */
struct PrefixMatches
{
  static constexpr std::size_t kMost = 8;

  std::array<PrefixMatch, kMost> mRows{};
  std::size_t mCount = 0;

  /** The share held by a target; 0 if none is known. */
  double ShareOf(TargetIndex aTarget) const;
};

/**
 * Bounded set-associative table fed by this daemon's own dispatches and by
 * the engines' cache events. Events come late and with gaps, so an entry is a
 * belief: it fades after kLifetime and is only ever worth a bonus.
 *
 * Thread safety: none; the owner guards it. Allocates only in the constructor.
 */
class PrefixCacheIndex
{
public:
  PrefixCacheIndex();

  /** The target's cache is said to hold a prefix. */
  void Insert(Instant aNow, TargetIndex aTarget, std::uint64_t aHash);

  /** The target evicted a prefix. */
  void Erase(TargetIndex aTarget, std::uint64_t aHash);

  /**
   * Targets that hold the longest prefixes. aHashes: shortest first, as in
   * RequestFacts; only the longest kMostHashes are looked up.
   */
  PrefixMatches Find(Instant aNow,
                     std::span<const std::uint64_t> aHashes) const;

  /** Bytes that the table takes. */
  std::size_t MemoryBytes() const { return mSets.size() * sizeof(Set); }

  static constexpr std::size_t kCapacity = 65536;
  static constexpr std::size_t kMostHashes = 16;
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
