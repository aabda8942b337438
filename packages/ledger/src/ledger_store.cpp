#include "ledger_store.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

namespace carobtide {

namespace {

/** Counted for each key beside its text and its answer. */
constexpr Bytes kEntryOverhead = 208;

/** Counted for each stored answer beside its texts. */
constexpr Bytes kAnswerOverhead = 128;

/** Most released attempts that are remembered. */
constexpr std::size_t kMaxReleased = 65'536;

/** Most abandoned claimants that are remembered. */
constexpr std::size_t kMaxGone = 65'536;

/** Joins caller and key into one text; the length keeps them apart. */
std::string Pack(const LedgerKey& aKey)
{
  const std::string& caller = aKey.mCaller.Text();
  const auto size = static_cast<std::uint32_t>(caller.size());
  std::string packed(sizeof size, '\0');
  std::memcpy(packed.data(), &size, sizeof size);
  packed.reserve(sizeof size + caller.size() + aKey.mKey.Text().size());
  packed += caller;
  packed += aKey.mKey.Text();
  return packed;
}

Bytes SizeOfKey(const std::string& aPacked)
{
  return kEntryOverhead + static_cast<Bytes>(aPacked.size());
}

Bytes SizeOfAnswer(const StoredAnswer& aAnswer)
{
  return kAnswerOverhead + static_cast<Bytes>(aAnswer.mBody.size()) +
         static_cast<Bytes>(aAnswer.mContentType.size());
}

LedgerOutcome Verdict(LedgerVerdict aVerdict)
{
  return LedgerOutcome{ aVerdict, std::nullopt };
}

} // namespace

Ledger::Store::Store(LedgerLimits aLimits)
  : mLimits(aLimits)
{
}

Ledger::Store::~Store()
{
  mSettled.clear();
  for (auto& [id, claimant] : mClaimants) {
    claimant.mOpen.clear();
  }
}

LedgerOutcome Ledger::Store::Decide(const ClaimKey& aCommand)
{
  if (mGoneIndex.contains(aCommand.mClaimant)) {
    return Verdict(LedgerVerdict::Stale);
  }
  std::string packed = Pack(aCommand.mKey);
  const auto it = mEntries.find(packed);
  if (it == mEntries.end()) {
    if (mReleasedIndex.contains({ aCommand.mClaimant, aCommand.mAttempt })) {
      return Verdict(LedgerVerdict::Stale);
    }
    if (IsFull(SizeOfKey(packed))) {
      return Verdict(LedgerVerdict::Full);
    }
    LedgerEntry& entry = Insert(std::move(packed), aCommand.mClaimant);
    entry.mContent = aCommand.mContent;
    entry.mAttempt = aCommand.mAttempt;
    entry.mClaimant->mOpen.push_back(entry);
    return Verdict(LedgerVerdict::Granted);
  }
  const LedgerEntry& entry = it->second;
  if (entry.mContent != aCommand.mContent) {
    return Refuse(aCommand, LedgerVerdict::Conflict);
  }
  if (entry.mState == LedgerKeyState::Completed) {
    return LedgerOutcome{ LedgerVerdict::Replay, *entry.mAnswer };
  }
  const bool isSameAttempt = *entry.mClaimant->mId == aCommand.mClaimant &&
                             entry.mAttempt == aCommand.mAttempt;
  if (!isSameAttempt) {
    return Refuse(aCommand, LedgerVerdict::Unknown);
  }
  return Verdict(entry.mState == LedgerKeyState::Claimed
                   ? LedgerVerdict::Granted
                   : LedgerVerdict::Unknown);
}

LedgerOutcome Ledger::Store::Refuse(const ClaimKey& aCommand,
                                    LedgerVerdict aVerdict)
{
  // Its claimant is done with it: the same claim committed again, after the
  // key was released, would be held by an attempt that has ended.
  Remember(ReleasedAttempt{ aCommand.mClaimant, aCommand.mAttempt, mNow });
  return Verdict(aVerdict);
}

LedgerOutcome Ledger::Store::Decide(const CompleteKey& aCommand)
{
  LedgerEntry* entry =
    FindHeld(aCommand.mKey, aCommand.mClaimant, aCommand.mAttempt);
  if (!entry) {
    return Verdict(LedgerVerdict::Stale);
  }
  if (entry->mState != LedgerKeyState::Completed) {
    // An abandoned attempt may still learn its answer; it is the only one.
    StoreAnswer(*entry, aCommand.mAnswer);
    Settle(*entry, LedgerKeyState::Completed);
  }
  return Verdict(LedgerVerdict::Settled);
}

LedgerOutcome Ledger::Store::Decide(const ReleaseKey& aCommand)
{
  LedgerEntry* entry =
    FindHeld(aCommand.mKey, aCommand.mClaimant, aCommand.mAttempt);
  if (entry && entry->mState != LedgerKeyState::Claimed) {
    return Verdict(LedgerVerdict::Stale);
  }
  if (entry) {
    Erase(*entry);
  }
  Remember(ReleasedAttempt{ aCommand.mClaimant, aCommand.mAttempt, mNow });
  return Verdict(LedgerVerdict::Settled);
}

LedgerOutcome Ledger::Store::Decide(const AbandonKey& aCommand)
{
  LedgerEntry* entry =
    FindHeld(aCommand.mKey, aCommand.mClaimant, aCommand.mAttempt);
  if (!entry || entry->mState == LedgerKeyState::Completed) {
    return Verdict(LedgerVerdict::Stale);
  }
  if (entry->mState == LedgerKeyState::Claimed) {
    Settle(*entry, LedgerKeyState::Unknown);
  }
  return Verdict(LedgerVerdict::Settled);
}

LedgerOutcome Ledger::Store::Decide(const ExpireKeys& aCommand)
{
  const std::int64_t tick = aCommand.mBeforeWallMicros;
  if (mLastTick && tick > *mLastTick) {
    // Subtracts unsigned, because a damaged clock may be anywhere.
    const std::uint64_t grown =
      static_cast<std::uint64_t>(tick) - static_cast<std::uint64_t>(*mLastTick);
    const auto step = static_cast<std::uint64_t>(kMaxExpiryStep.count());
    mNow += Duration(static_cast<std::int64_t>(std::min(grown, step)));
  }
  mLastTick = tick;
  DropExpired();
  return Verdict(LedgerVerdict::Settled);
}

LedgerOutcome Ledger::Store::Decide(const AbandonClaimant& aCommand)
{
  Remember(aCommand.mClaimant);
  const auto it = mClaimants.find(aCommand.mClaimant);
  if (it != mClaimants.end()) {
    while (!it->second.mOpen.empty()) {
      Settle(it->second.mOpen.front(), LedgerKeyState::Unknown);
    }
  }
  return Verdict(LedgerVerdict::Settled);
}

LedgerOutcome Ledger::Store::Decide(const SetLedgerLimits& aCommand)
{
  mLimits = aCommand.mLimits;
  return Verdict(LedgerVerdict::Settled);
}

std::vector<ClaimantId> Ledger::Store::OpenClaimants() const
{
  std::vector<ClaimantId> open;
  for (const auto& [id, claimant] : mClaimants) {
    if (!claimant.mOpen.empty()) {
      open.push_back(id);
    }
  }
  return open;
}

LedgerEntry* Ledger::Store::FindHeld(const LedgerKey& aKey,
                                     const ClaimantId& aClaimant,
                                     std::uint64_t aAttempt)
{
  const auto it = mEntries.find(Pack(aKey));
  if (it == mEntries.end()) {
    return nullptr;
  }
  LedgerEntry& entry = it->second;
  const bool isHeld =
    entry.mAttempt == aAttempt && *entry.mClaimant->mId == aClaimant;
  return isHeld ? &entry : nullptr;
}

bool Ledger::Store::IsFull(Bytes aMore) const
{
  return mEntries.size() >= mLimits.mMaxKeys ||
         mTotalBytes + aMore > mLimits.mMaxTotalBytes;
}

LedgerClaimant& Ledger::Store::ClaimantOf(const ClaimantId& aId)
{
  const auto it = mClaimants.try_emplace(aId).first;
  it->second.mId = &it->first;
  return it->second;
}

LedgerEntry& Ledger::Store::Insert(std::string aKey,
                                   const ClaimantId& aClaimant)
{
  const auto it = mEntries.try_emplace(std::move(aKey)).first;
  LedgerEntry& entry = it->second;
  entry.mKey = &it->first;
  entry.mClaimant = &ClaimantOf(aClaimant);
  ++entry.mClaimant->mEntries;
  mTotalBytes += SizeOfKey(it->first);
  return entry;
}

void Ledger::Store::Settle(LedgerEntry& aEntry, LedgerKeyState aState)
{
  LedgerEntryList& from = aEntry.mState == LedgerKeyState::Claimed
                            ? aEntry.mClaimant->mOpen
                            : mSettled;
  from.erase(LedgerEntryList::s_iterator_to(aEntry));
  aEntry.mState = aState;
  aEntry.mSettledAt = mNow;
  mSettled.push_back(aEntry);
}

void Ledger::Store::StoreAnswer(LedgerEntry& aEntry,
                                const StoredAnswer& aAnswer)
{
  const Bytes size = SizeOfAnswer(aAnswer);
  const bool isStored = size - kAnswerOverhead <= mLimits.mMaxAnswerBytes &&
                        mTotalBytes + size <= mLimits.mMaxTotalBytes;
  AttachAnswer(
    aEntry, isStored ? aAnswer : StoredAnswer{ aAnswer.mStatus, "", "", true });
}

void Ledger::Store::AttachAnswer(LedgerEntry& aEntry, StoredAnswer aAnswer)
{
  mTotalBytes += SizeOfAnswer(aAnswer);
  aEntry.mAnswer = std::make_unique<StoredAnswer>(std::move(aAnswer));
}

void Ledger::Store::Erase(LedgerEntry& aEntry)
{
  LedgerEntryList& list = aEntry.mState == LedgerKeyState::Claimed
                            ? aEntry.mClaimant->mOpen
                            : mSettled;
  list.erase(LedgerEntryList::s_iterator_to(aEntry));
  mTotalBytes -= SizeOfKey(*aEntry.mKey);
  if (aEntry.mAnswer) {
    mTotalBytes -= SizeOfAnswer(*aEntry.mAnswer);
  }
  LedgerClaimant& claimant = *aEntry.mClaimant;
  if (--claimant.mEntries == 0) {
    mClaimants.erase(mClaimants.find(*claimant.mId));
  }
  mEntries.erase(mEntries.find(*aEntry.mKey));
}

void Ledger::Store::Remember(const ReleasedAttempt& aReleased)
{
  const std::pair key(aReleased.mClaimant, aReleased.mAttempt);
  if (!mReleasedIndex.insert(key).second) {
    return;
  }
  mReleased.push_back(aReleased);
  if (mReleased.size() > kMaxReleased) {
    const ReleasedAttempt& oldest = mReleased.front();
    mReleasedIndex.erase({ oldest.mClaimant, oldest.mAttempt });
    mReleased.pop_front();
  }
}

void Ledger::Store::Remember(const ClaimantId& aGone)
{
  if (!mGoneIndex.insert(aGone).second) {
    return;
  }
  mGone.push_back(aGone);
  if (mGone.size() > kMaxGone) {
    mGoneIndex.erase(mGone.front());
    mGone.pop_front();
  }
}

void Ledger::Store::DropExpired()
{
  const Duration before = mNow - mLimits.mRetention;
  std::size_t dropped = 0;
  while (!mSettled.empty() && mSettled.front().mSettledAt < before &&
         dropped < kMaxExpiredAtOnce) {
    Erase(mSettled.front());
    ++dropped;
  }
  while (!mReleased.empty() && mReleased.front().mAt < before) {
    const ReleasedAttempt& oldest = mReleased.front();
    mReleasedIndex.erase({ oldest.mClaimant, oldest.mAttempt });
    mReleased.pop_front();
  }
}

} // namespace carobtide
