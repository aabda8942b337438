#pragma once

/**
 * @file
 * Counts the crashes of targets under the same content.
 */

#include "carobtide/fleet/crash_messages.hpp"
#include "carobtide/fleet/target.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace carobtide {

/** What crash reports changed. */
struct TallyResult
{
  /** Content to be blocked from now on. */
  std::vector<Digest> mBlocked;
  /** Content whose crashes other content explains. */
  std::vector<Digest> mLifted;
};

/**
 * Decides from crash reports which content crashes targets: that which was in
 * flight at kCrashesToBlock crashes of different processes. The crashes of
 * blocked content do not count against what else was in flight at them.
 *
 * Answers: a request that crashes every target that runs it and comes again,
 * under other ids and at any daemon, beside requests that were merely there.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class CrashTally
{
public:
  static constexpr std::size_t kCrashesToBlock = 3;
  /** Maximum number of fingerprints; the one that crashed first is evicted. */
  static constexpr std::size_t kCapacity = 4096;
  /** Crashes are remembered for this long after the last one. */
  static constexpr Duration kRetention = 1200s;

  /** Counts crashes; repeated reports of one crash count once. */
  TallyResult Add(Instant aNow, std::span<const CrashReport> aReports);

  /** Forgets content that was answered in full. False if it was not known. */
  bool Clear(const Digest& aFingerprint);

  /** The block of this content has ended: its next crash blocks it again. */
  void OnBlockEnded(const Digest& aFingerprint);

  /** Drops old entries. */
  void Expire(Instant aNow);

  bool Knows(const Digest& aFingerprint) const
  {
    return mEntries.contains(aFingerprint);
  }

private:
  /** Hash of a target and its incarnation. */
  using CrashId = std::uint64_t;

  struct Entry
  {
    std::set<CrashId> mCrashes;
    Instant mLastAt;
    bool mIsBlocked = false;
  };

  using Entries = std::map<Digest, Entry>;

  static CrashId IdOf(const CrashReport& aReport);
  void Insert(Instant aNow, const CrashReport& aReport);
  /** Takes the crashes of a blocked entry off all others. */
  void Explain(const Entries::value_type& aBlocked, TallyResult& aResult);

  Entries mEntries;
};

} // namespace carobtide
