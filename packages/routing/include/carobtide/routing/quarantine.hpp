#pragma once

/**
 * @file
 * Fingerprints of requests that may crash, or do crash, their targets.
 */

#include "carobtide/base.hpp"
#include "carobtide/routing/types.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace carobtide {

/** What is known against a fingerprint. */
enum class Suspicion : std::uint8_t
{
  None,
  /** Was in flight on a target that crashed; runs as any other. */
  Struck,
  /** Was in flight at two crashes; must run alone. */
  Suspect,
  /** The only one in flight at two crashes; must not run. */
  Quarantined,
};

inline constexpr EnumTable<Suspicion, 4> kSuspicions{ { {
  { Suspicion::None, "none" },
  { Suspicion::Struck, "struck" },
  { Suspicion::Suspect, "suspect" },
  { Suspicion::Quarantined, "quarantined" },
} } };

/**
 * Bounded table of fingerprints with expiry. When it is full, suspects give
 * way before quarantined ones, earliest expiry first.
 *
 * Thread safety: none; the owner guards it.
 */
class Quarantine
{
public:
  /** Most fingerprints remembered. */
  static constexpr std::size_t kCapacity = 4096;
  static constexpr Duration kSuspectLifetime = 600s;
  static constexpr Duration kQuarantineLifetime = 3600s;

  /** Crashes at which a content was in flight that make it a suspect. */
  static constexpr std::size_t kStrikesOfSuspect = 2;

  /**
   * Counts a crash; one already counted for the same process changes nothing.
   * Never lowers a quarantine. True if the crash was not known before.
   */
  bool AddStrike(Instant aNow, const CrashReport& aStrike);

  void MarkQuarantined(Instant aNow, const Digest& aFingerprint);

  /** True if the content was in flight at a crash of another process. */
  bool HasOtherStrike(Instant aNow, const CrashReport& aStrike) const;

  /** The content ran to its end and its target survived. */
  void Clear(const Digest& aFingerprint);

  Suspicion Find(Instant aNow, const Digest& aFingerprint) const;

  /** Drops what has expired. */
  void Expire(Instant aNow);

  std::size_t Size() const { return mRows.size(); }

private:
  struct Row
  {
    Suspicion mSuspicion = Suspicion::None;
    Instant mExpiry;
    /** The crashes, kStrikesOfSuspect at most. */
    std::vector<CrashReport> mStrikes;
  };

  void Put(const Digest& aFingerprint, Row aRow);

  std::map<Digest, Row> mRows;
};

} // namespace carobtide
