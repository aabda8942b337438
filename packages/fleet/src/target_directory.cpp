#include "carobtide/fleet/target_directory.hpp"

#include <algorithm>
#include <utility>

namespace carobtide {

namespace {

bool RoutesTheSame(const Heartbeat& aOne, const Heartbeat& aOther)
{
  return aOne.mPhase == aOther.mPhase && aOne.mAddress == aOther.mAddress &&
         aOne.mService == aOther.mService &&
         aOne.mSoftware == aOther.mSoftware && aOne.mSlots == aOther.mSlots;
}

bool SaysTheSame(const Heartbeat& aOne, const Heartbeat& aOther)
{
  return RoutesTheSame(aOne, aOther) && aOne.mModels == aOther.mModels &&
         aOne.mInHostMemory == aOther.mInHostMemory &&
         aOne.mOnDisk == aOther.mOnDisk;
}

} // namespace

TargetDirectory::TargetDirectory(TargetDirectoryOptions aOptions)
  : mOptions(aOptions)
{
}

void TargetDirectory::MarkUpdated(const TargetName& aTarget)
{
  if (mIsUpdated.insert(aTarget).second) {
    mUpdated.push_back(aTarget);
  }
}

std::vector<TargetName> TargetDirectory::TakeUpdated()
{
  mIsUpdated.clear();
  return std::exchange(mUpdated, {});
}

void TargetDirectory::MarkChanged(Entry& aEntry)
{
  aEntry.mChange = ++mChange;
  MarkUpdated(aEntry.mRecord.mLast.mTarget);
}

void TargetDirectory::MarkRoutingChanged(Entry& aEntry)
{
  MarkChanged(aEntry);
  aEntry.mRoutingChange = mChange;
  mRoutingChange = mChange;
}

bool TargetDirectory::IsStale(const Heartbeat& aHeartbeat) const
{
  const auto it = mEntries.find(aHeartbeat.mTarget);
  if (it == mEntries.end()) {
    return false;
  }
  const Heartbeat& last = it->second.mRecord.mLast;
  if (aHeartbeat.mIncarnation != last.mIncarnation) {
    return aHeartbeat.mIncarnation < last.mIncarnation;
  }
  // A process serves one service for its whole life: a heartbeat of it that
  // names another one comes from another writer.
  return last.mPhase == TargetPhase::Gone ||
         aHeartbeat.mService != last.mService ||
         aHeartbeat.mSequence <= last.mSequence;
}

void TargetDirectory::SetServices(std::set<ServiceName> aServices)
{
  mServices = std::move(aServices);
}

bool TargetDirectory::IsService(const ServiceName& aService) const
{
  return mServices.empty() || mServices.contains(aService);
}

bool TargetDirectory::KeepsAddress(const FleetRecord& aRecord,
                                   const Heartbeat& aHeartbeat) const
{
  const Heartbeat& last = aRecord.mLast;
  if (!mOptions.mKeepsAddresses) {
    return last.mIncarnation > aHeartbeat.mIncarnation;
  }
  const bool isService = IsService(last.mService);
  if (isService != IsService(aHeartbeat.mService)) {
    return isService && last.mPhase != TargetPhase::Gone;
  }
  const bool isServing = !aRecord.mSilent && last.mPhase != TargetPhase::Gone;
  return last.mIncarnation > aHeartbeat.mIncarnation ||
         (isServing && last.mService != aHeartbeat.mService);
}

bool TargetDirectory::TakeAddress(const Heartbeat& aHeartbeat)
{
  std::vector<Entry*> others;
  for (auto& [name, entry] : mEntries) {
    if (name == aHeartbeat.mTarget ||
        entry.mRecord.mLast.mAddress != aHeartbeat.mAddress) {
      continue;
    }
    if (KeepsAddress(entry.mRecord, aHeartbeat)) {
      return false;
    }
    others.push_back(&entry);
  }
  for (Entry* other : others) {
    if (other->mRecord.mLast.mPhase != TargetPhase::Gone) {
      other->mRecord.mLast.mPhase = TargetPhase::Gone;
      MarkRoutingChanged(*other);
    }
  }
  return true;
}

HeartbeatEffect TargetDirectory::OnHeartbeat(Instant aNow,
                                             const Heartbeat& aHeartbeat)
{
  if (IsStale(aHeartbeat)) {
    return HeartbeatEffect::Stale;
  }
  const auto known = mEntries.find(aHeartbeat.mTarget);
  const bool isNew =
    known == mEntries.end() ||
    known->second.mRecord.mLast.mIncarnation != aHeartbeat.mIncarnation;
  if ((known == mEntries.end() && mEntries.size() >= mOptions.mMaxTargets) ||
      (isNew && !TakeAddress(aHeartbeat))) {
    return HeartbeatEffect::Stale;
  }
  Entry& entry = mEntries[aHeartbeat.mTarget];
  const Heartbeat before = std::exchange(entry.mRecord.mLast, aHeartbeat);
  Heartbeat& last = entry.mRecord.mLast;
  if (isNew) {
    entry.mRecord.mLimit = {};
  } else {
    last.mPhase = std::max(before.mPhase, last.mPhase);
  }
  entry.mHeardAt = aNow;
  MarkUpdated(aHeartbeat.mTarget);
  const bool returned = std::exchange(entry.mRecord.mSilent, false);
  if (!isNew && !returned && SaysTheSame(before, last)) {
    return HeartbeatEffect::Refreshed;
  }
  if (isNew || returned || !RoutesTheSame(before, last)) {
    MarkRoutingChanged(entry);
  } else {
    MarkChanged(entry);
  }
  return HeartbeatEffect::Changed;
}

bool TargetDirectory::OnDraining(const TargetName& aTarget,
                                 Incarnation aIncarnation)
{
  const auto it = mEntries.find(aTarget);
  if (it == mEntries.end()) {
    return false;
  }
  Heartbeat& last = it->second.mRecord.mLast;
  if (last.mIncarnation != aIncarnation || last.mPhase != TargetPhase::Ready) {
    return false;
  }
  last.mPhase = TargetPhase::Draining;
  MarkRoutingChanged(it->second);
  return true;
}

bool TargetDirectory::OnLimit(const TargetName& aTarget,
                              Incarnation aIncarnation, const RateLimit& aLimit)
{
  const auto it = mEntries.find(aTarget);
  if (it == mEntries.end() ||
      it->second.mRecord.mLast.mIncarnation != aIncarnation ||
      !aLimit.Replaces(it->second.mRecord.mLimit)) {
    return false;
  }
  it->second.mRecord.mLimit = aLimit;
  MarkRoutingChanged(it->second);
  return true;
}

bool TargetDirectory::OnLeave(Instant aNow, const TargetName& aTarget,
                              Incarnation aIncarnation)
{
  if (!mEntries.contains(aTarget) && mEntries.size() >= mOptions.mMaxTargets) {
    return false;
  }
  Entry& entry = mEntries[aTarget];
  Heartbeat& last = entry.mRecord.mLast;
  const Incarnation incarnation =
    aIncarnation == Incarnation() ? last.mIncarnation : aIncarnation;
  const bool isOld = incarnation < last.mIncarnation;
  if (isOld ||
      (incarnation == last.mIncarnation && last.mPhase == TargetPhase::Gone)) {
    return false;
  }
  last.mTarget = aTarget;
  last.mIncarnation = incarnation;
  last.mPhase = TargetPhase::Gone;
  entry.mHeardAt = aNow;
  MarkRoutingChanged(entry);
  return true;
}

std::vector<TargetName> TargetDirectory::Expire(Instant aNow)
{
  std::vector<TargetName> silent;
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    Entry& entry = it->second;
    const Duration age = aNow - entry.mHeardAt;
    if (age >= mOptions.mRetention) {
      mForgottenChange = ++mChange;
      mRoutingChange = mChange;
      MarkUpdated(it->first);
      it = mEntries.erase(it);
      continue;
    }
    const bool isSilent = age >= mOptions.mSilenceTimeout &&
                          entry.mRecord.mLast.mPhase != TargetPhase::Gone;
    if (isSilent && !entry.mRecord.mSilent) {
      entry.mRecord.mSilent = true;
      MarkRoutingChanged(entry);
      silent.push_back(it->first);
    }
    ++it;
  }
  return silent;
}

void TargetDirectory::ForgetGone(Instant aBefore)
{
  std::erase_if(mEntries, [&](const auto& aItem) {
    const bool isForgotten =
      aItem.second.mRecord.mLast.mPhase == TargetPhase::Gone &&
      aItem.second.mHeardAt < aBefore;
    if (isForgotten) {
      MarkUpdated(aItem.first);
    }
    return isForgotten;
  });
}

std::vector<FleetRecord> TargetDirectory::ChangedSince(
  std::uint64_t aChange) const
{
  std::vector<FleetRecord> records;
  for (const auto& [name, entry] : mEntries) {
    if (entry.mChange > aChange) {
      records.push_back(entry.mRecord);
    }
  }
  return records;
}

std::vector<FleetRecord> TargetDirectory::RoutingChangedSince(
  std::uint64_t aChange) const
{
  std::vector<FleetRecord> records;
  for (const auto& [name, entry] : mEntries) {
    if (entry.mRoutingChange > aChange) {
      records.push_back(entry.mRecord);
      records.back().mLast.mInHostMemory.clear();
      records.back().mLast.mOnDisk.clear();
    }
  }
  return records;
}

const FleetRecord* TargetDirectory::Find(const TargetName& aTarget) const
{
  const auto it = mEntries.find(aTarget);
  return it == mEntries.end() ? nullptr : &it->second.mRecord;
}

std::vector<const FleetRecord*> TargetDirectory::All() const
{
  std::vector<const FleetRecord*> records;
  records.reserve(mEntries.size());
  for (const auto& [name, entry] : mEntries) {
    records.push_back(&entry.mRecord);
  }
  return records;
}

} // namespace carobtide
