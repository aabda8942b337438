#pragma once

/**
 * @file
 * Fingerprints of requests that may crash, or do crash, their targets.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <map>

namespace carobtide {

/** What is known against a fingerprint. */
enum class Suspicion : std::uint8_t
{
  None,
  /** Was in flight on a target that crashed; must run alone. */
  Suspect,
  /** Crashed a target while it ran alone; must not run. */
  Quarantined,
};

inline constexpr EnumTable<Suspicion, 3> kSuspicions{ { {
  { Suspicion::None, "none" },
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

  /** Never lowers a quarantine to a suspicion. */
  void MarkSuspect(Instant aNow, const Digest& aFingerprint);

  void MarkQuarantined(Instant aNow, const Digest& aFingerprint);

  /** A suspect ran alone and its target survived. */
  void Clear(const Digest& aFingerprint);

  Suspicion Find(Instant aNow, const Digest& aFingerprint) const;

  /** Drops what has expired. */
  void Expire(Instant aNow);

  std::size_t Size() const { return mRows.size(); }

private:
  struct Row
  {
    Suspicion mSuspicion = Suspicion::Suspect;
    Instant mExpiry;
  };

  void Put(const Digest& aFingerprint, const Row& aRow);

  std::map<Digest, Row> mRows;
};

} // namespace carobtide
