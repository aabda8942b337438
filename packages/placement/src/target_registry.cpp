#include "carobtide/placement/target_registry.hpp"

#include <algorithm>

namespace carobtide {

namespace {

/** Time without announcements after which a target is removed. */
constexpr Duration kForgetTimeout = std::chrono::minutes(10);

/** Maximum number of replaced incarnations kept per target. */
constexpr std::size_t kMaxReplacedIncarnations = 8;

TargetState StateOf(const Announcement& aAnnouncement)
{
  return aAnnouncement.mLeaving ? TargetState::Leaving : TargetState::Live;
}

/** True if a field other than load that decisions depend on differs. */
bool DiffersBeyondLoad(const Announcement& aLeft, const Announcement& aRight)
{
  return aLeft.mResident != aRight.mResident ||
         aLeft.mAddress != aRight.mAddress || aLeft.mMemory != aRight.mMemory ||
         aLeft.mLeaving != aRight.mLeaving || aLeft.mRole != aRight.mRole ||
         aLeft.mKind != aRight.mKind || aLeft.mPool != aRight.mPool ||
         aLeft.mAccelerators != aRight.mAccelerators ||
         aLeft.mRefusedOrders != aRight.mRefusedOrders ||
         aLeft.mChecksFencing != aRight.mChecksFencing ||
         aLeft.mFailureDomain != aRight.mFailureDomain;
}

void StoreAnnouncement(Instant aNow, TargetRecord& aRecord,
                       const Announcement& aAnnouncement)
{
  aRecord.mAnnouncement = aAnnouncement;
  aRecord.mHeardAt = aNow;
  aRecord.mLoadAsOf = aNow - aAnnouncement.mLoad.mAge;
  aRecord.mState = StateOf(aAnnouncement);
}

} // namespace

TargetRegistry::TargetRegistry(Duration aTimeout)
  : mTimeout(aTimeout)
{
}

TargetChange TargetRegistry::Apply(Instant aNow,
                                   const Announcement& aAnnouncement)
{
  const auto it = mTargets.find(aAnnouncement.mTarget);
  if (it == mTargets.end()) {
    StoreAnnouncement(aNow, mTargets[aAnnouncement.mTarget], aAnnouncement);
    return TargetChange::Changed;
  }
  TargetRecord& record = it->second;
  if (record.mAnnouncement.mIncarnation == aAnnouncement.mIncarnation) {
    return Refresh(aNow, record, aAnnouncement);
  }
  return Replace(aNow, record, aAnnouncement);
}

TargetChange TargetRegistry::Refresh(Instant aNow, TargetRecord& aRecord,
                                     const Announcement& aAnnouncement)
{
  if (aAnnouncement.mSequence <= aRecord.mAnnouncement.mSequence) {
    return TargetChange::Ignored;
  }
  const bool changed = aRecord.mState != StateOf(aAnnouncement) ||
                       DiffersBeyondLoad(aRecord.mAnnouncement, aAnnouncement);
  StoreAnnouncement(aNow, aRecord, aAnnouncement);
  return changed ? TargetChange::Changed : TargetChange::Refreshed;
}

TargetChange TargetRegistry::Replace(Instant aNow, TargetRecord& aRecord,
                                     const Announcement& aAnnouncement) const
{
  const bool isSilent = aRecord.mState == TargetState::Silent ||
                        aNow - aRecord.mHeardAt >= mTimeout;
  const auto known =
    std::ranges::find(aRecord.mReplaced, aAnnouncement.mIncarnation);
  if (!isSilent && known != aRecord.mReplaced.end()) {
    return TargetChange::Ignored;
  }
  // Two processes cannot listen on the same address, so the earlier one ended.
  const bool isRestart =
    aRecord.mAnnouncement.mAddress == aAnnouncement.mAddress;
  if (!isSilent && !isRestart) {
    return TargetChange::NameConflict;
  }
  if (known != aRecord.mReplaced.end()) {
    aRecord.mReplaced.erase(known);
  }
  if (aRecord.mReplaced.size() == kMaxReplacedIncarnations) {
    aRecord.mReplaced.erase(aRecord.mReplaced.begin());
  }
  aRecord.mReplaced.push_back(aRecord.mAnnouncement.mIncarnation);
  StoreAnnouncement(aNow, aRecord, aAnnouncement);
  return TargetChange::Changed;
}

std::vector<TargetName> TargetRegistry::Expire(Instant aNow)
{
  std::vector<TargetName> changed;
  for (auto& [name, record] : mTargets) {
    if (record.mState != TargetState::Silent &&
        aNow - record.mHeardAt >= mTimeout) {
      record.mState = TargetState::Silent;
      changed.push_back(name);
    }
  }
  std::erase_if(mTargets, [&](const auto& aEntry) {
    if (aNow - aEntry.second.mHeardAt < kForgetTimeout) {
      return false;
    }
    changed.push_back(aEntry.first);
    return true;
  });
  return changed;
}

const TargetRecord* TargetRegistry::Find(const TargetName& aName) const
{
  const auto it = mTargets.find(aName);
  return it == mTargets.end() ? nullptr : &it->second;
}

} // namespace carobtide
