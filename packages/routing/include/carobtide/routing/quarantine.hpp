#pragma once

/**
 * @file
 * Fingerprints of requests that were in flight when targets crashed.
 */

#include "carobtide/base.hpp"
#include "carobtide/routing/types.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace carobtide {

/** Evidence that requests with a fingerprint crash their targets. */
enum class Suspicion : std::uint8_t
{
  None,
  /** In flight at one crash; runs normally. */
  CrashedOnce,
  /** In flight at two crashes; must run alone on its target. */
  Suspect,
  /** The only one in flight at both of two crashes; must not run. */
  Quarantined,
};

inline constexpr EnumTable<Suspicion, 4> kSuspicions{ { {
  { Suspicion::None, "none" },
  { Suspicion::CrashedOnce, "struck" },
  { Suspicion::Suspect, "suspect" },
  { Suspicion::Quarantined, "quarantined" },
} } };

/**
 * Bounded table of fingerprints with expiry. A full table evicts the entry with
 * the least evidence, the earliest expiry first, but never the new entry.
 *
 * Thread safety: not thread-safe; the owner synchronizes access.
 */
class Quarantine
{
public:
  /** Maximum number of fingerprints. */
  static constexpr std::size_t kCapacity = 4096;
  static constexpr Duration kSuspectLifetime = 600s;
  static constexpr Duration kQuarantineLifetime = 3600s;

  /** Crashes with a fingerprint in flight that make it a suspect. */
  static constexpr std::size_t kCrashesForSuspect = 2;

  /**
   * Counts a crash, once for each crashed process. Does not change suspects and
   * quarantined fingerprints. Returns true if the crash was counted.
   */
  bool AddCrash(Instant aNow, const CrashReport& aReport);

  /** Quarantines a fingerprint for kQuarantineLifetime. */
  void MarkQuarantined(Instant aNow, const Digest& aFingerprint);

  /** True if the fingerprint was in flight at a crash of another process. */
  bool HasOtherCrash(Instant aNow, const CrashReport& aReport) const;

  /** Removes a fingerprint that was answered in full, unless quarantined. */
  void Clear(const Digest& aFingerprint);

  /** State of a fingerprint; None if it is unknown or expired. */
  Suspicion Find(Instant aNow, const Digest& aFingerprint) const;

  /** Removes expired entries. */
  void Expire(Instant aNow);

  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    Suspicion mSuspicion = Suspicion::None;
    Instant mExpiry;
    /** Distinct crashes, at most kCrashesForSuspect. */
    std::vector<CrashReport> mCrashes;
  };

  void Put(const Digest& aFingerprint, Entry aEntry);

  std::map<Digest, Entry> mEntries;
};

} // namespace carobtide
