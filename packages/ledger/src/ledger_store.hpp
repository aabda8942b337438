#pragma once

/**
 * @file
 * The tables behind the ledger.
 */

#include "carobtide/ledger/ledger.hpp"

#include <boost/intrusive/list.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace carobtide {

/** Where a key stands. */
enum class LedgerKeyState : std::uint8_t
{
  Claimed,
  Completed,
  Unknown,
};

struct LedgerClaimant;

/** One key. Linked into its claimant's list, or into the settled list. */
struct LedgerEntry
  : boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::normal_link>>
{
  /** Points to the key in its table. */
  const std::string* mKey = nullptr;
  LedgerClaimant* mClaimant = nullptr;
  std::uint64_t mAttempt = 0;
  Digest mContent;
  /** Ledger time at which the key was settled. */
  Duration mSettledAt{ 0 };
  std::unique_ptr<StoredAnswer> mAnswer;
  LedgerKeyState mState = LedgerKeyState::Claimed;
};

using LedgerEntryList = boost::intrusive::list<LedgerEntry>;

/** One daemon process and its open claims, in the order of the log. */
struct LedgerClaimant
{
  /** Points to the id in its table. */
  const ClaimantId* mId = nullptr;
  LedgerEntryList mOpen;
  /** Entries that name this claimant, open and settled. */
  std::size_t mEntries = 0;
};

/** An attempt that was released, so that no late claim of it is granted. */
struct ReleasedAttempt
{
  ClaimantId mClaimant;
  std::uint64_t mAttempt = 0;
  /** Ledger time of the release. */
  Duration mAt{ 0 };

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    std::int64_t at = mAt.count();
    aArchive(mClaimant, mAttempt, at);
    mAt = Duration(at);
  }
};

/** State that is not per key; the first block of a snapshot. */
struct LedgerHeader
{
  std::uint32_t mVersion = 1;
  LedgerLimits mLimits;
  /** Ledger time: the sum of all steps that the leaders let pass. */
  std::int64_t mNow = 0;
  /** Time of the last ExpireKeys, if there was one. */
  std::optional<std::int64_t> mLastTick;
  std::deque<ReleasedAttempt> mReleased;
  std::deque<ClaimantId> mGone;
  std::uint64_t mEntries = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion, mLimits, mNow, mLastTick, mReleased, mGone, mEntries);
  }
};

/** A key as snapshots hold it. */
struct LedgerRecord
{
  std::string mKey;
  ClaimantId mClaimant;
  std::uint64_t mAttempt = 0;
  Digest mContent;
  std::int64_t mSettledAt = 0;
  LedgerKeyState mState = LedgerKeyState::Claimed;
  std::optional<StoredAnswer> mAnswer;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey, mClaimant, mAttempt, mContent, mSettledAt, mState, mAnswer);
  }
};

/** The state machine; see Ledger for its contract. */
class Ledger::Store
{
public:
  explicit Store(LedgerLimits aLimits);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  LedgerOutcome Decide(const ClaimKey& aCommand);
  /** Refuses a claim for good, so that a copy of it is not granted later. */
  LedgerOutcome Refuse(const ClaimKey& aCommand, LedgerVerdict aVerdict);
  LedgerOutcome Decide(const CompleteKey& aCommand);
  LedgerOutcome Decide(const ReleaseKey& aCommand);
  LedgerOutcome Decide(const AbandonKey& aCommand);
  LedgerOutcome Decide(const ExpireKeys& aCommand);
  LedgerOutcome Decide(const AbandonClaimant& aCommand);
  LedgerOutcome Decide(const SetLedgerLimits& aCommand);

  std::size_t Size() const { return mEntries.size(); }
  std::size_t OpenClaims() const { return mEntries.size() - mSettled.size(); }
  Bytes TotalBytes() const { return mTotalBytes; }
  const LedgerLimits& Limits() const { return mLimits; }
  std::vector<ClaimantId> OpenClaimants() const;

  void Save(const BlockSink& aSink) const;
  /** Fills an empty store; on an error it is left half filled. */
  Result<Unit> Load(const BlockSource& aSource);

private:
  using EntryTable = std::unordered_map<std::string, LedgerEntry>;
  using ClaimantTable = std::map<ClaimantId, LedgerClaimant>;

  /** The entry if this attempt holds it or held it last; else null. */
  LedgerEntry* FindHeld(const LedgerKey& aKey, const ClaimantId& aClaimant,
                        std::uint64_t aAttempt);
  bool IsFull(Bytes aMore) const;
  LedgerClaimant& ClaimantOf(const ClaimantId& aId);
  LedgerEntry& Insert(std::string aKey, const ClaimantId& aClaimant);
  void Settle(LedgerEntry& aEntry, LedgerKeyState aState);
  void StoreAnswer(LedgerEntry& aEntry, const StoredAnswer& aAnswer);
  void AttachAnswer(LedgerEntry& aEntry, StoredAnswer aAnswer);
  void Erase(LedgerEntry& aEntry);
  void Remember(const ReleasedAttempt& aReleased);
  void Remember(const ClaimantId& aGone);
  void DropExpired();
  Result<Unit> LoadHeader(std::string_view aBlock, std::uint64_t& aEntries);
  Result<Unit> LoadRecords(std::string_view aBlock);
  bool Restore(LedgerRecord aRecord);

  LedgerLimits mLimits;
  EntryTable mEntries;
  ClaimantTable mClaimants;
  /** Settled keys in the order of settling, which is that of expiry. */
  LedgerEntryList mSettled;
  Bytes mTotalBytes = 0;
  Duration mNow{ 0 };
  std::optional<std::int64_t> mLastTick;
  std::deque<ReleasedAttempt> mReleased;
  std::set<std::pair<ClaimantId, std::uint64_t>> mReleasedIndex;
  std::deque<ClaimantId> mGone;
  std::set<ClaimantId> mGoneIndex;
};

} // namespace carobtide
