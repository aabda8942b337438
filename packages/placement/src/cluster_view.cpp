#include "cluster_view.hpp"

#include <algorithm>
#include <numeric>

namespace carobtide {

namespace {

template<class Copies>
auto LowerBound(Copies& aCopies, const CopyKey& aKey)
{
  return std::ranges::lower_bound(aCopies, aKey, {}, &ViewCopy::mKey);
}

} // namespace

Bytes ViewTarget::Unloading() const
{
  return std::accumulate(mCopies.begin(), mCopies.end(), Bytes{ 0 },
                         [](Bytes aSum, const ViewCopy& aCopy) {
                           return aCopy.mState == CopyState::Unloading
                                    ? aSum + aCopy.mMemory
                                    : aSum;
                         });
}

const ViewCopy* ViewTarget::Find(const CopyKey& aKey) const
{
  const auto it = LowerBound(mCopies, aKey);
  return it != mCopies.end() && it->mKey == aKey ? &*it : nullptr;
}

ViewCopy* ViewTarget::Find(const CopyKey& aKey)
{
  const auto it = LowerBound(mCopies, aKey);
  return it != mCopies.end() && it->mKey == aKey ? &*it : nullptr;
}

void ViewTarget::Insert(ViewCopy aCopy)
{
  mCopies.insert(LowerBound(mCopies, aCopy.mKey), std::move(aCopy));
}

ClusterView::ClusterView(const TargetRegistry& aRegistry,
                         const Placement& aPlacement,
                         const PendingProposals& aPending)
{
  mTargets.reserve(aRegistry.All().size());
  for (const auto& [name, record] : aRegistry.All()) {
    if (record.mAnnouncement.mKind == TargetKind::Engine) {
      AddTarget(record, aPlacement);
    }
  }
  AddPending(aPending);
  for (Index n = 0; n < mTargets.size(); ++n) {
    for (const ViewCopy& copy : mTargets[n].mCopies) {
      auto& holders = mHolders[{ copy.mKey.mModel, copy.mKey.mAdapter }];
      if (holders.empty() || holders.back() != n) {
        holders.push_back(n);
      }
    }
  }
}

void ClusterView::AddTarget(const TargetRecord& aRecord,
                            const Placement& aPlacement)
{
  const Announcement& announcement = aRecord.mAnnouncement;
  ViewTarget target;
  target.mCopies.reserve(announcement.mResident.size());
  target.mRecord = &aRecord;
  target.mId = { announcement.mTarget, announcement.mIncarnation };
  const TargetAccount* account =
    aPlacement.FindAccount(announcement.mTarget, announcement.mIncarnation);
  if (account != nullptr) {
    target.mIsFresh = announcement.mSequence >= account->Sequence();
    target.mReserved = account->Reserved();
    target.mCopies.reserve(
      std::max(announcement.mResident.size(), account->Copies().size()));
    for (const auto& [key, copy] : account->Copies()) {
      target.mCopies.push_back({ key, copy.mMemory, copy.mState, false });
    }
  }
  for (const ResidentModel& resident : announcement.mResident) {
    if (ViewCopy* copy = target.Find(KeyOf(resident))) {
      copy->mIsReported = true;
      if (resident.mMemory > copy->mMemory) {
        target.mReserved += resident.mMemory - copy->mMemory;
        copy->mMemory = resident.mMemory;
        target.mUnaccounted.push_back(resident);
      }
      continue;
    }
    target.mReserved += resident.mMemory;
    target.mUnaccounted.push_back(resident);
    target.Insert({ KeyOf(resident), resident.mMemory, CopyState::Held, true });
  }
  target.mReserved += aPlacement.LoadingInOtherIncarnations(
    announcement.mTarget, announcement.mIncarnation);
  mByName.emplace(announcement.mTarget.Text(), mTargets.size());
  mTargets.push_back(std::move(target));
}

void ClusterView::AddPending(const PendingProposals& aPending)
{
  for (const auto& [proposal, state] : aPending) {
    const auto index = Find(proposal.mTarget.mTarget);
    if (!index || mTargets[*index].mId != proposal.mTarget) {
      continue;
    }
    ViewTarget& target = mTargets[*index];
    ViewCopy* copy = target.Find(proposal.mKey);
    if (proposal.mAction == OrderAction::Unload && copy != nullptr) {
      copy->mState = CopyState::Unloading;
    }
    if (proposal.mAction == OrderAction::Load && copy == nullptr) {
      target.mReserved += state.mMemory;
      target.Insert(
        { proposal.mKey, state.mMemory, CopyState::Loading, false });
    }
  }
}

std::optional<ClusterView::Index> ClusterView::Find(
  const TargetName& aName) const
{
  const auto it = mByName.find(aName.Text());
  return it == mByName.end() ? std::nullopt : std::optional(it->second);
}

bool ClusterView::IsServing(Index aTarget, const ViewCopy& aCopy) const
{
  const ViewTarget& target = mTargets[aTarget];
  if (!target.mIsFresh || !target.IsLive() || !aCopy.mIsReported ||
      aCopy.mState != CopyState::Held) {
    return false;
  }
  if (aCopy.mKey.mAdapter.IsEmpty()) {
    return true;
  }
  // An adapter serves only together with the weights of its model.
  return std::ranges::any_of(target.mCopies, [&](const ViewCopy& aOther) {
    return aOther.mKey.mModel == aCopy.mKey.mModel &&
           aOther.mKey.mAdapter.IsEmpty() && aOther.mIsReported &&
           aOther.mState == CopyState::Held;
  });
}

std::span<const ClusterView::Index> ClusterView::Holders(
  const ModelName& aModel, const AdapterName& aAdapter) const
{
  const auto it = mHolders.find({ aModel, aAdapter });
  return it == mHolders.end() ? std::span<const Index>{} : it->second;
}

std::optional<RemainingReplica> ClusterView::FindRemainingReplica(
  Index aTarget, const CopyKey& aKey,
  std::optional<std::uint32_t> aVersion) const
{
  for (const Index n : Holders(aKey.mModel, aKey.mAdapter)) {
    for (const ViewCopy& copy : mTargets[n].mCopies) {
      const bool isSame = n == aTarget && copy.mKey == aKey;
      if (copy.mKey.mModel != aKey.mModel ||
          copy.mKey.mAdapter != aKey.mAdapter || isSame) {
        continue;
      }
      if ((!aVersion || copy.mKey.mVersion == *aVersion) &&
          IsServing(n, copy)) {
        return RemainingReplica{ mTargets[n].mId.mTarget,
                                 mTargets[n].mId.mIncarnation,
                                 copy.mKey.mVersion };
      }
    }
  }
  return std::nullopt;
}

void ClusterView::AddLoad(Index aTarget, const CopyKey& aKey, Bytes aMemory)
{
  ViewTarget& target = mTargets[aTarget];
  target.mReserved += aMemory;
  target.Insert({ aKey, aMemory, CopyState::Loading, false });
  auto& holders = mHolders[{ aKey.mModel, aKey.mAdapter }];
  if (std::ranges::find(holders, aTarget) == holders.end()) {
    holders.push_back(aTarget);
  }
}

std::vector<PlannerTarget> ClusterView::ForPlanner() const
{
  std::vector<PlannerTarget> planned;
  planned.reserve(mTargets.size());
  for (const ViewTarget& target : mTargets) {
    if (target.mRecord->mState == TargetState::Silent) {
      continue;
    }
    const Announcement& announcement = target.mRecord->mAnnouncement;
    PlannerTarget entry;
    entry.mName = announcement.mTarget;
    entry.mFailureDomain = announcement.mFailureDomain;
    entry.mPool = announcement.mPool;
    entry.mMemory = announcement.mMemory;
    entry.mCapacity = announcement.mAccelerators;
    entry.mHolds.reserve(target.mCopies.size());
    entry.mLeaving = target.mRecord->mState == TargetState::Leaving;
    for (const ViewCopy& copy : target.mCopies) {
      if (copy.mState != CopyState::Unloading) {
        entry.mHolds.push_back({ copy.mKey.mModel,
                                 copy.mKey.mAdapter,
                                 copy.mKey.mVersion,
                                 copy.mMemory,
                                 {} });
      }
    }
    planned.push_back(std::move(entry));
  }
  return planned;
}

} // namespace carobtide
