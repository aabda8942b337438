#pragma once

/**
 * @file
 * The aggregate Ledger: a replicated state machine over idempotency keys.
 * Commands arrive in log order, so that all replicas decide alike.
 */

#include "carobtide/base.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
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
  /** True if the body was too large to store; then it is empty. */
  bool mBodyOmitted = false;

  bool operator==(const StoredAnswer&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mStatus, mContentType, mBody, mBodyOmitted);
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
  /** Wall time in microseconds, for people who read the log. */
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

/**
 * Frees a key: no byte of the request can have reached a target, now or later.
 * Also keeps a claim of this attempt from being granted if it is committed
 * after the release.
 */
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

/**
 * Lets the ledger's time pass and drops settled keys past their retention.
 *
 * The leader commits one at least every kMaxExpiryStep. Only the growth of the
 * given time since the last such command counts, and at most kMaxExpiryStep of
 * it, so that a leader whose clock is wrong cannot drop keys early.
 */
struct ExpireKeys
{
  /** The leader's wall time in microseconds, with any constant offset. */
  std::int64_t mBeforeWallMicros = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBeforeWallMicros);
  }
};

/** Most keys that one ExpireKeys drops; the next one goes on. */
inline constexpr std::size_t kMaxExpiredAtOnce = 10'000;

/** Most ledger time that one ExpireKeys lets pass. */
inline constexpr Duration kMaxExpiryStep = std::chrono::minutes(10);

/**
 * Settles all open claims of a daemon process that is gone as unknown, and
 * grants it no further claim. A process that was taken for gone claims again
 * under a new incarnation.
 */
struct AbandonClaimant
{
  ClaimantId mClaimant;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mClaimant);
  }
};

/** Bounds of the store. */
struct LedgerLimits
{
  std::size_t mMaxKeys = 1'000'000;
  /** Larger bodies are not stored; see StoredAnswer::mBodyOmitted. */
  Bytes mMaxAnswerBytes = 256 * kKiB;
  /** Most memory of all keys and answers together. */
  Bytes mMaxTotalBytes = 512 * kMiB;
  /** Settled keys are kept for this long in ledger time. */
  Duration mRetention = std::chrono::hours(24);

  bool operator==(const LedgerLimits&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    auto maxKeys = static_cast<std::uint64_t>(mMaxKeys);
    std::int64_t retention = mRetention.count();
    aArchive(maxKeys, mMaxAnswerBytes, mMaxTotalBytes, retention);
    mMaxKeys = static_cast<std::size_t>(maxKeys);
    mRetention = Duration(retention);
  }
};

/**
 * Replaces the bounds on every replica at once. A leader commits it when
 * Ledger::Limits() differ from its settings. Nothing is dropped for it.
 */
struct SetLedgerLimits
{
  LedgerLimits mLimits;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mLimits);
  }
};

using LedgerCommand =
  std::variant<ClaimKey, CompleteKey, ReleaseKey, AbandonKey, ExpireKeys,
               AbandonClaimant, SetLedgerLimits>;

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
  /** The command took effect, now or when it was first applied. */
  Settled,
  /**
   * The attempt does not hold the key, or its claimant was abandoned or the
   * attempt released; nothing changed.
   */
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

/**
 * The record of idempotency keys.
 *
 * Invariants: between a key's first claim and its release or expiry, Granted
 * is given to one attempt only (again to that very attempt if its claim is
 * committed twice); a released key was never dispatched; a completed key never
 * changes until it expires; an open claim never expires.
 *
 * All replicas start from the same limits and apply the same commands.
 *
 * Thread safety: none; the owner guards it.
 */
class Ledger
{
public:
  /** Takes one block of a snapshot. */
  using BlockSink = std::function<void(std::string_view aBlock)>;
  /** Gives the next block of a snapshot; nothing after the last one. */
  using BlockSource = std::function<std::optional<std::string_view>()>;

  explicit Ledger(LedgerLimits aLimits = {});
  ~Ledger();
  Ledger(Ledger&&) noexcept;
  Ledger& operator=(Ledger&&) noexcept;
  Ledger(const Ledger&) = delete;
  Ledger& operator=(const Ledger&) = delete;

  /** Applies a committed command. Deterministic. */
  LedgerOutcome Apply(const LedgerCommand& aCommand);

  /** Number of keys held. */
  std::size_t Size() const;

  /** Number of claims that are not settled. */
  std::size_t OpenClaims() const;

  /** Processes with open claims, for the search for those that are gone. */
  std::vector<ClaimantId> OpenClaimants() const;

  /** Memory of all keys and answers as counted against the limits. */
  Bytes TotalBytes() const;

  const LedgerLimits& Limits() const;

  /** Serializes the whole state for a snapshot, and restores it. */
  std::string Save() const;
  Result<Unit> Load(const std::string& aSnapshot);

  /**
   * The same in blocks of about kLedgerBlockBytes, so that neither side needs
   * the snapshot in one piece. A failed load changes nothing.
   */
  void SaveBlocks(const BlockSink& aSink) const;
  Result<Unit> LoadBlocks(const BlockSource& aSource);

private:
  class Store;

  std::unique_ptr<Store> mStore;
};

/** Size from which on a block of a ledger snapshot is closed. */
inline constexpr std::size_t kLedgerBlockBytes = 64 * kKiB;

} // namespace carobtide
