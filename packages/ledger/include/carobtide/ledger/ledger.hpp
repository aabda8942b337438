#pragma once

/**
 * @file
 * The aggregate Ledger: a replicated state machine over idempotency keys.
 * Commands arrive in log order, so that all replicas decide alike.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace carobtide {

/** A caller's key; two callers may use the same text. */
struct LedgerKey
{
  CallerName mCaller;
  IdempotencyKey mKey;

  auto operator<=>(const LedgerKey&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mCaller, mKey);
  }
};

/** The answer that a resend is given. */
struct StoredAnswer
{
  std::uint16_t mStatus = 0;
  std::string mContentType;
  std::string mBody;

  bool operator==(const StoredAnswer&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mStatus, mContentType, mBody);
  }
};

/** Identifies the daemon process that claims; a restart changes it. */
struct ClaimantId
{
  DaemonName mDaemon;
  std::uint64_t mIncarnation = 0;

  auto operator<=>(const ClaimantId&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mDaemon, mIncarnation);
  }
};

/** Claims a key before the first byte of the request is sent. */
struct ClaimKey
{
  LedgerKey mKey;
  Digest mContent;
  ClaimantId mClaimant;
  /** Distinguishes the attempts of one claimant. */
  std::uint64_t mAttempt = 0;
  /** Wall time in microseconds, for retention only. */
  std::int64_t mWallMicros = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey, mContent, mClaimant, mAttempt, mWallMicros);
  }
};

/** Stores the answer of a claimed key. */
struct CompleteKey
{
  LedgerKey mKey;
  ClaimantId mClaimant;
  std::uint64_t mAttempt = 0;
  StoredAnswer mAnswer;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey, mClaimant, mAttempt, mAnswer);
  }
};

/** Frees a key: no byte of the request can have reached a target. */
struct ReleaseKey
{
  LedgerKey mKey;
  ClaimantId mClaimant;
  std::uint64_t mAttempt = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey, mClaimant, mAttempt);
  }
};

/** Settles a claim as unknown: it may have run and is never run again. */
struct AbandonKey
{
  LedgerKey mKey;
  ClaimantId mClaimant;
  std::uint64_t mAttempt = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey, mClaimant, mAttempt);
  }
};

/** Drops keys claimed before a wall time (retention). */
struct ExpireKeys
{
  std::int64_t mBeforeWallMicros = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBeforeWallMicros);
  }
};

using LedgerCommand =
  std::variant<ClaimKey, CompleteKey, ReleaseKey, AbandonKey, ExpireKeys>;

/** What a command came to. */
enum class LedgerVerdict : std::uint8_t
{
  /** The claim is this claimant's: it may dispatch, once. */
  Granted,
  /** Completed before: replay the stored answer. */
  Replay,
  /** Another attempt holds the key, or its outcome is unknown. */
  Unknown,
  /** The key was used with other content. */
  Conflict,
  /** The store is full; nothing was claimed. */
  Full,
  /** Complete, release or abandon took effect. */
  Settled,
  /** The attempt no longer holds the key; nothing changed. */
  Stale,
};

inline constexpr EnumTable<LedgerVerdict, 7> kLedgerVerdicts{ { {
  { LedgerVerdict::Granted, "granted" },
  { LedgerVerdict::Replay, "replay" },
  { LedgerVerdict::Unknown, "unknown" },
  { LedgerVerdict::Conflict, "conflict" },
  { LedgerVerdict::Full, "full" },
  { LedgerVerdict::Settled, "settled" },
  { LedgerVerdict::Stale, "stale" },
} } };

/** The result of a command. */
struct LedgerOutcome
{
  LedgerVerdict mVerdict = LedgerVerdict::Unknown;
  /** Set for Replay. */
  std::optional<StoredAnswer> mAnswer;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVerdict, mAnswer);
  }
};

/** Bounds of the store. All replicas must use the same. */
struct LedgerLimits
{
  std::size_t mMaxKeys = 1'000'000;
  Bytes mMaxAnswerBytes = 256 * kKiB;
  Bytes mMaxTotalBytes = 512 * kMiB;
};

/**
 * The record of idempotency keys.
 *
 * Invariants: at most one Granted verdict between a key's first claim and its
 * release or expiry; a released key was never dispatched; a completed key
 * never changes until it expires.
 *
 * Thread safety: none; the owner guards it.
 */
class Ledger
{
public:
  explicit Ledger(LedgerLimits aLimits = {});

  /** Applies a committed command. Deterministic. */
  LedgerOutcome Apply(const LedgerCommand& aCommand);

  /** Number of keys held. */
  std::size_t Size() const;

  /** Serializes the whole state for a snapshot, and restores it. */
  std::string Save() const;
  Result<Unit> Load(const std::string& aSnapshot);

private:
  enum class KeyState : std::uint8_t
  {
    Claimed,
    Completed,
    Unknown,
  };
  struct Entry
  {
    KeyState mState = KeyState::Claimed;
    Digest mContent;
    ClaimantId mClaimant;
    std::uint64_t mAttempt = 0;
    std::int64_t mWallMicros = 0;
    StoredAnswer mAnswer;
  };

  LedgerLimits mLimits;
  std::map<LedgerKey, Entry> mEntries;
  Bytes mTotalBytes = 0;
};

} // namespace carobtide
