/**
 * @file
 * Snapshots of the ledger: a header block, then blocks of records; open claims
 * by claimant, then settled keys in the order of their expiry.
 */

#include "ledger_store.hpp"

#include "carobtide/base/codec.hpp"

#include <cereal/types/deque.hpp>

#include <utility>

namespace carobtide {

namespace {

constexpr std::uint32_t kSnapshotVersion = 1;

Error Corrupt(std::string aDetail)
{
  return Error{ ErrorCode::Corrupt, "ledger.load-snapshot", "",
                std::move(aDetail) };
}

LedgerRecord RecordOf(const LedgerEntry& aEntry)
{
  LedgerRecord record;
  record.mKey = *aEntry.mKey;
  record.mClaimant = *aEntry.mClaimant->mId;
  record.mAttempt = aEntry.mAttempt;
  record.mContent = aEntry.mContent;
  record.mSettledAt = aEntry.mSettledAt.count();
  record.mState = aEntry.mState;
  if (aEntry.mAnswer) {
    record.mAnswer = *aEntry.mAnswer;
  }
  return record;
}

/** Bytes that a record takes in a block, about. */
std::size_t EstimatedSize(const LedgerRecord& aRecord)
{
  constexpr std::size_t kFixedFields = 100;
  return kFixedFields + aRecord.mKey.size() +
         (aRecord.mAnswer ? aRecord.mAnswer->mBody.size() : 0);
}

/** Collects records and hands a block on whenever it is large enough. */
class BlockWriter
{
public:
  explicit BlockWriter(const Ledger::BlockSink& aSink)
    : mSink(aSink)
  {
  }

  void Write(LedgerRecord aRecord)
  {
    mSize += EstimatedSize(aRecord);
    mRecords.push_back(std::move(aRecord));
    if (mSize >= kLedgerBlockBytes) {
      Flush();
    }
  }

  void Flush()
  {
    if (!mRecords.empty()) {
      mSink(Encode(mRecords));
    }
    mRecords.clear();
    mSize = 0;
  }

private:
  const Ledger::BlockSink& mSink;
  std::vector<LedgerRecord> mRecords;
  std::size_t mSize = 0;
};

bool IsWellFormed(const LedgerRecord& aRecord)
{
  const bool isKnownState = aRecord.mState == LedgerKeyState::Claimed ||
                            aRecord.mState == LedgerKeyState::Completed ||
                            aRecord.mState == LedgerKeyState::Unknown;
  const bool isCompleted = aRecord.mState == LedgerKeyState::Completed;
  return isKnownState && aRecord.mAnswer.has_value() == isCompleted;
}

} // namespace

void Ledger::Store::Save(const BlockSink& aSink) const
{
  LedgerHeader header;
  header.mVersion = kSnapshotVersion;
  header.mLimits = mLimits;
  header.mNow = mNow.count();
  header.mLastTick = mLastTick;
  header.mReleased = mReleased;
  header.mGone = mGone;
  header.mEntries = mEntries.size();
  aSink(Encode(header));
  BlockWriter writer(aSink);
  for (const auto& [id, claimant] : mClaimants) {
    for (const LedgerEntry& entry : claimant.mOpen) {
      writer.Write(RecordOf(entry));
    }
  }
  for (const LedgerEntry& entry : mSettled) {
    writer.Write(RecordOf(entry));
  }
  writer.Flush();
}

Result<Unit> Ledger::Store::Load(const BlockSource& aSource)
{
  const auto first = aSource();
  if (!first) {
    return Corrupt("no header");
  }
  std::uint64_t entries = 0;
  if (auto loaded = LoadHeader(*first, entries); !loaded) {
    return loaded;
  }
  for (auto block = aSource(); block; block = aSource()) {
    if (auto loaded = LoadRecords(*block); !loaded) {
      return loaded;
    }
  }
  if (mEntries.size() != entries) {
    return Corrupt("expected " + std::to_string(entries) + " keys, found " +
                   std::to_string(mEntries.size()));
  }
  return Success();
}

Result<Unit> Ledger::Store::LoadHeader(std::string_view aBlock,
                                       std::uint64_t& aEntries)
{
  auto decoded = Decode<LedgerHeader>(aBlock);
  if (!decoded) {
    return Corrupt(decoded.GetError().mDetail);
  }
  const LedgerHeader& header = decoded.Value();
  if (header.mVersion != kSnapshotVersion) {
    return Corrupt("unknown version " + std::to_string(header.mVersion));
  }
  mLimits = header.mLimits;
  mNow = Duration(header.mNow);
  mLastTick = header.mLastTick;
  for (const ReleasedAttempt& released : header.mReleased) {
    Remember(released);
  }
  for (const ClaimantId& gone : header.mGone) {
    Remember(gone);
  }
  aEntries = header.mEntries;
  return Success();
}

Result<Unit> Ledger::Store::LoadRecords(std::string_view aBlock)
{
  auto decoded = Decode<std::vector<LedgerRecord>>(aBlock);
  if (!decoded) {
    return Corrupt(decoded.GetError().mDetail);
  }
  for (LedgerRecord& record : decoded.Value()) {
    if (!Restore(std::move(record))) {
      return Corrupt("a record is malformed or stands twice");
    }
  }
  return Success();
}

bool Ledger::Store::Restore(LedgerRecord aRecord)
{
  if (!IsWellFormed(aRecord) || mEntries.contains(aRecord.mKey)) {
    return false;
  }
  LedgerEntry& entry = Insert(std::move(aRecord.mKey), aRecord.mClaimant);
  entry.mAttempt = aRecord.mAttempt;
  entry.mContent = aRecord.mContent;
  entry.mSettledAt = Duration(aRecord.mSettledAt);
  entry.mState = aRecord.mState;
  if (aRecord.mAnswer) {
    AttachAnswer(entry, std::move(*aRecord.mAnswer));
  }
  auto& list =
    entry.mState == LedgerKeyState::Claimed ? entry.mClaimant->mOpen : mSettled;
  list.push_back(entry);
  return true;
}

} // namespace carobtide
