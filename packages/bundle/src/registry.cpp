#include "carobtide/bundle/registry.hpp"

#include <algorithm>

namespace carobtide {

namespace {

BundleOutcome Refuse(ErrorCode aCode, BundleState aState, const Digest& aDigest,
                     std::string aDetail)
{
  return BundleOutcome{ aCode, aState, aDigest, std::move(aDetail) };
}

BundleOutcome NotFound(const std::string& aName, std::uint64_t aVersion)
{
  return Refuse(ErrorCode::NotFound, BundleState::Refused, {},
                "no bundle " + aName + " version " + std::to_string(aVersion));
}

/** Names the version that holds the place of another digest. */
BundleOutcome ConflictWith(const BundleRecord& aWinner)
{
  return Refuse(ErrorCode::Conflict, aWinner.mState, aWinner.mDigest,
                "this version is digest " + aWinner.mDigest.ToHex() +
                  ", submitted by " + aWinner.mSubmittedBy);
}

BundleOutcome Outdated(const Digest& aDigest, std::uint64_t aHighest)
{
  return Refuse(ErrorCode::InvalidState, BundleState::Superseded, aDigest,
                "version " + std::to_string(aHighest) +
                  " of this bundle was rolled already");
}

BundleOutcome Submitted(const BundleRecord& aRecord)
{
  return BundleOutcome{ ErrorCode::Ok, BundleState::Draft, aRecord.mDigest,
                        "submitted by " + aRecord.mSubmittedBy };
}

BundleOutcome SignedOff(const BundleRecord& aRecord)
{
  return BundleOutcome{ ErrorCode::Ok, BundleState::SignedOff, aRecord.mDigest,
                        "signed off by " + aRecord.mSignedOffBy };
}

BundleOutcome Rolled(const BundleRecord& aRecord)
{
  return BundleOutcome{ ErrorCode::Ok, BundleState::Rolling, aRecord.mDigest,
                        "rolled by " + aRecord.mRolledBy + " at epoch " +
                          std::to_string(aRecord.mEpoch.Value()) };
}

std::string PrintFaults(const std::vector<YamlFault>& aFaults)
{
  std::string text;
  for (const YamlFault& fault : aFaults) {
    text += fault.ToString() + "\n";
  }
  return text;
}

bool IsOpen(const BundleRecord& aRecord)
{
  return aRecord.mState == BundleState::Draft ||
         aRecord.mState == BundleState::SignedOff;
}

void DropText(BundleRecord& aRecord)
{
  aRecord.mText.clear();
  aRecord.mText.shrink_to_fit();
  aRecord.mBundle.reset();
}

} // namespace

BundleOutcome BundleRegistry::Apply(std::uint64_t aIndex,
                                    const BundleCommand& aCommand)
{
  BundleOutcome outcome = std::visit(
    [&](const auto& aAlternative) { return Decide(aIndex, aAlternative); },
    aCommand);
  if (mEpoch >= mAdopted.mRecord.mEpoch) {
    mAdopted = Adopted{};
  }
  return outcome;
}

BundleOutcome BundleRegistry::Decide(std::uint64_t /*aIndex*/,
                                     const SubmitBundle& aCommand)
{
  auto parsed = ParseBundle(aCommand.mText);
  if (const auto* faults = std::get_if<std::vector<YamlFault>>(&parsed)) {
    return Refuse(ErrorCode::Malformed, BundleState::Refused,
                  ComputeDigest(aCommand.mText), PrintFaults(*faults));
  }
  auto& bundle = std::get<Bundle>(parsed);
  const Key key{ bundle.mName, bundle.mVersion };
  if (const auto it = mRecords.find(key); it != mRecords.end()) {
    return it->second.mDigest == bundle.mDigest ? Submitted(it->second)
                                                : ConflictWith(it->second);
  }
  const std::uint64_t highest = HighestRolled(bundle.mName);
  if (bundle.mVersion <= highest) {
    return Outdated(bundle.mDigest, highest);
  }
  if (IsFull(aCommand.mText.size())) {
    return Refuse(ErrorCode::Overloaded, BundleState::Refused, bundle.mDigest,
                  "too many versions wait for their roll");
  }
  BundleRecord record;
  record.mText = aCommand.mText;
  record.mDigest = bundle.mDigest;
  record.mSubmittedBy = aCommand.mOperator;
  record.mBundle = std::make_shared<const Bundle>(std::move(bundle));
  return Submitted(mRecords.emplace(key, std::move(record)).first->second);
}

BundleOutcome BundleRegistry::Decide(std::uint64_t /*aIndex*/,
                                     const SignOffBundle& aCommand)
{
  const auto it = mRecords.find(Key{ aCommand.mName, aCommand.mVersion });
  if (it == mRecords.end()) {
    return NotFound(aCommand.mName, aCommand.mVersion);
  }
  BundleRecord& record = it->second;
  if (record.mDigest != aCommand.mDigest) {
    return ConflictWith(record);
  }
  if (!record.mSignedOffBy.empty()) {
    return SignedOff(record);
  }
  if (record.mState != BundleState::Draft) {
    return Outdated(record.mDigest, HighestRolled(aCommand.mName));
  }
  record.mState = BundleState::SignedOff;
  record.mSignedOffBy = aCommand.mOperator;
  return SignedOff(record);
}

BundleOutcome BundleRegistry::Decide(std::uint64_t aIndex,
                                     const RollBundle& aCommand)
{
  const auto it = mRecords.find(Key{ aCommand.mName, aCommand.mVersion });
  if (it == mRecords.end()) {
    return NotFound(aCommand.mName, aCommand.mVersion);
  }
  BundleRecord& record = it->second;
  if (record.mDigest != aCommand.mDigest) {
    return ConflictWith(record);
  }
  if (record.mEpoch != Epoch{}) {
    return Rolled(record);
  }
  if (record.mState == BundleState::Superseded) {
    return Outdated(record.mDigest, HighestRolled(aCommand.mName));
  }
  if (record.mState != BundleState::SignedOff) {
    return Refuse(ErrorCode::InvalidState, record.mState, record.mDigest,
                  "the version is not signed off");
  }
  record.mRolledBy = aCommand.mOperator;
  PutInForce(it->first, aIndex);
  return Rolled(record);
}

BundleOutcome BundleRegistry::Decide(std::uint64_t /*aIndex*/,
                                     const FinishRoll& aCommand)
{
  if (aCommand.mEpoch != mEpoch || mEpoch == Epoch{}) {
    return Refuse(ErrorCode::InvalidState, BundleState::Superseded, {},
                  "epoch " + std::to_string(aCommand.mEpoch.Value()) +
                    " is not the one in force");
  }
  BundleRecord& record = mRecords.at(mCurrentKey);
  record.mState = BundleState::InForce;
  return BundleOutcome{ ErrorCode::Ok, record.mState, record.mDigest, "" };
}

std::uint64_t BundleRegistry::HighestRolled(const std::string& aName) const
{
  const auto it = mHighestRolled.find(aName);
  return it == mHighestRolled.end() ? 0 : it->second;
}

bool BundleRegistry::IsFull(std::size_t aTextBytes) const
{
  std::size_t versions = 0;
  auto bytes = static_cast<Bytes>(aTextBytes);
  for (const auto& [key, record] : mRecords) {
    if (IsOpen(record)) {
      ++versions;
      bytes += static_cast<Bytes>(record.mText.size());
    }
  }
  return versions >= BundleLimits::kMaxOpenVersions ||
         bytes > BundleLimits::kMaxOpenBytes;
}

void BundleRegistry::PutInForce(const Key& aKey, std::uint64_t aIndex)
{
  // Only the version in force last keeps its text after it was superseded.
  if (!mSuperseded.empty()) {
    DropText(mRecords.at(mSuperseded.back()));
  }
  const auto supersede = [&](const Key& aOld, BundleRecord& aRecord) {
    aRecord.mState = BundleState::Superseded;
    mSuperseded.push_back(aOld);
  };
  const auto begin = mRecords.lower_bound(Key{ aKey.first, 0 });
  for (auto it = begin; it != mRecords.end() && it->first < aKey; ++it) {
    if (IsOpen(it->second)) {
      supersede(it->first, it->second);
      DropText(it->second);
    }
  }
  if (mEpoch != Epoch{}) {
    supersede(mCurrentKey, mRecords.at(mCurrentKey));
  }
  BundleRecord& record = mRecords.at(aKey);
  record.mState = BundleState::Rolling;
  record.mEpoch = Epoch(aIndex);
  mEpoch = record.mEpoch;
  mCurrentKey = aKey;
  mHighestRolled[aKey.first] = aKey.second;
  ForgetOldest();
}

void BundleRegistry::ForgetOldest()
{
  while (mSuperseded.size() > BundleLimits::kMaxSuperseded) {
    mRecords.erase(mSuperseded.front());
    mSuperseded.pop_front();
  }
}

bool BundleRegistry::Adopt(Epoch aEpoch, const std::string& aText)
{
  if (aEpoch <= CurrentEpoch()) {
    return false;
  }
  auto parsed = ParseBundle(aText);
  auto* bundle = std::get_if<Bundle>(&parsed);
  if (!bundle) {
    return false;
  }
  BundleRecord record;
  record.mText = aText;
  record.mDigest = bundle->mDigest;
  record.mState = BundleState::InForce;
  record.mEpoch = aEpoch;
  const Key key{ bundle->mName, bundle->mVersion };
  record.mBundle = std::make_shared<const Bundle>(std::move(*bundle));
  mAdopted = Adopted{ key, std::move(record) };
  return true;
}

const BundleRecord* BundleRegistry::CurrentRecord() const
{
  if (mAdopted.mRecord.mEpoch > mEpoch) {
    return &mAdopted.mRecord;
  }
  return mEpoch == Epoch{} ? nullptr : &mRecords.at(mCurrentKey);
}

Epoch BundleRegistry::CurrentEpoch() const
{
  return std::max(mEpoch, mAdopted.mRecord.mEpoch);
}

std::shared_ptr<const Bundle> BundleRegistry::Current() const
{
  const BundleRecord* record = CurrentRecord();
  return record ? record->mBundle : nullptr;
}

std::string BundleRegistry::CurrentText() const
{
  const BundleRecord* record = CurrentRecord();
  return record ? record->mText : "";
}

const BundleRecord* BundleRegistry::Find(const std::string& aName,
                                         std::uint64_t aVersion) const
{
  const Key key{ aName, aVersion };
  if (mAdopted.mRecord.mEpoch > mEpoch && mAdopted.mKey == key) {
    return &mAdopted.mRecord;
  }
  const auto it = mRecords.find(key);
  return it == mRecords.end() ? nullptr : &it->second;
}

std::vector<const BundleRecord*> BundleRegistry::All() const
{
  std::map<Key, const BundleRecord*> all;
  for (const auto& [key, record] : mRecords) {
    all.emplace(key, &record);
  }
  if (mAdopted.mRecord.mEpoch > mEpoch) {
    all.insert_or_assign(mAdopted.mKey, &mAdopted.mRecord);
  }
  std::vector<const BundleRecord*> records;
  records.reserve(all.size());
  for (const auto& [key, record] : all) {
    records.push_back(record);
  }
  return records;
}

} // namespace carobtide
