#include "carobtide/routing/target_table.hpp"

#include <algorithm>
#include <cassert>

namespace carobtide {

namespace {

/** Slots of targets that do not announce their number. */
constexpr std::uint32_t kDefaultEngineSlots = 8;
constexpr std::uint32_t kDefaultServiceSlots = 32;
/** How long a slowness reported by a peer is used. */
constexpr Duration kPeerSlownessLifetime = 400ms;
/** Longest assumed time between sending and receiving an announcement. */
constexpr Duration kMaxAnnouncementDelay = 300ms;

std::uint32_t SlotsOf(const Announcement& aAnnouncement)
{
  if (aAnnouncement.mLoad.mSlots > 0) {
    return aAnnouncement.mLoad.mSlots;
  }
  return aAnnouncement.mKind == TargetKind::Engine ? kDefaultEngineSlots
                                                   : kDefaultServiceSlots;
}

/** True if the model's base weights are resident, not only adapters. */
bool HoldsWeights(const std::vector<ResidentModel>& aResidents,
                  const ModelName& aModel)
{
  return std::ranges::any_of(aResidents, [&](const ResidentModel& aResident) {
    return aResident.mAdapter.IsEmpty() && aResident.mModel == aModel;
  });
}

} // namespace

double TargetEntry::Slowness(Instant aNow) const
{
  const double own = mLatency.Slowness(aNow);
  const bool isPeerFresh = mPeerSlownessAt > mLatency.UpdatedAt() &&
                           mPeerSlownessAt + kPeerSlownessLifetime > aNow;
  return isPeerFresh ? std::max(own, mPeerSlowness) : own;
}

TargetTable::TargetTable(FailureDomain aLocal)
  : mLocalDomain(std::move(aLocal))
{
}

void TargetTable::SetBundle(const Bundle& aBundle)
{
  for (const ModelSpec& model : aBundle.mModels) {
    const RouteIndex base = InternModel(model.mName, AdapterName());
    mRoutes[base].mWantedVersion = model.mVersion;
    for (const AdapterSpec& adapter : model.mAdapters) {
      const RouteIndex route = InternModel(model.mName, adapter.mName);
      mRoutes[route].mWantedVersion = adapter.mVersion;
    }
  }
  for (const ServiceSpec& service : aBundle.mServices) {
    mServices[service.mName] = InternPool(service.mPool);
  }
  for (Route& route : mRoutes) {
    route.mDirty = true;
  }
}

TargetUpdate TargetTable::Apply(Instant aNow, const Announcement& aAnnouncement)
{
  TargetUpdate update;
  TargetIndex index = Find(aAnnouncement.mTarget);
  const bool isNew = index == kNoTarget;
  if (isNew) {
    index = Allocate(aAnnouncement.mTarget);
  }
  update.mIndex = index;
  TargetEntry& target = mTargets[index];
  const bool sameProcess =
    !isNew && target.mIncarnation == aAnnouncement.mIncarnation;
  const bool isReplaced =
    !isNew && target.mPreviousIncarnation == aAnnouncement.mIncarnation &&
    target.mPreviousIncarnation != Incarnation();
  if (isReplaced ||
      (sameProcess && aAnnouncement.mSequence < target.mSequence)) {
    return update;
  }
  update.mApplied = true;
  update.mRestarted = !isNew && !sameProcess;
  update.mRoutesChanged =
    isNew || update.mRestarted || target.mSilent ||
    target.mLeaving != aAnnouncement.mLeaving ||
    target.mPool != aAnnouncement.mPool ||
    target.mFailureDomain != aAnnouncement.mFailureDomain ||
    target.mResident != aAnnouncement.mResident;
  if (update.mRestarted) {
    target.mPreviousIncarnation = target.mIncarnation;
    target.mLatency = LatencyTracker();
    target.mAvoidUntil = Instant();
    target.mRefusals = 0;
  }
  if (update.mRestarted ||
      target.mConnectionLostAt + kMaxAnnouncementDelay <= aNow) {
    target.mAwaitsAnnouncement = false;
  }
  target.mIncarnation = aAnnouncement.mIncarnation;
  target.mSequence = aAnnouncement.mSequence;
  target.mAddress = aAnnouncement.mAddress;
  target.mAccelerators = std::max(1U, aAnnouncement.mAccelerators);
  target.mSlots = SlotsOf(aAnnouncement);
  target.mReported =
    aAnnouncement.mLoad.mRunning + aAnnouncement.mLoad.mWaiting;
  target.mReportedAt = aNow - aAnnouncement.mLoad.mAge;
  target.mLastAnnouncementAt = aNow;
  target.mSilent = false;
  target.mLeaving = aAnnouncement.mLeaving;
  if (update.mRoutesChanged) {
    target.mKind = aAnnouncement.mKind;
    target.mPool = aAnnouncement.mPool;
    target.mFailureDomain = aAnnouncement.mFailureDomain;
    target.mLocal = target.mFailureDomain == mLocalDomain;
    target.mResident = aAnnouncement.mResident;
    UpdateRoutes(index);
  }
  return update;
}

TargetIndex TargetTable::MarkSilent(const TargetName& aName)
{
  const TargetIndex index = Find(aName);
  if (index != kNoTarget) {
    mTargets[index].mSilent = true;
    MarkDirty(mTargets[index]);
  }
  return index;
}

void TargetTable::ForgetSilent(Instant aBefore)
{
  for (TargetIndex it = 0; it < mTargets.size(); ++it) {
    TargetEntry& target = mTargets[it];
    if (!target.mInUse || !target.mSilent ||
        target.mLastAnnouncementAt >= aBefore || target.mOwnInFlight > 0 ||
        target.mExclusive) {
      continue;
    }
    RemoveFromRoutes(it);
    mByName.erase(target.mName);
    target = TargetEntry();
    mFreeEntries.push_back(it);
  }
}

RouteIndex TargetTable::FindModelRoute(const ModelName& aModel,
                                       const AdapterName& aAdapter) const
{
  const auto model = mModels.find(aModel);
  if (model == mModels.end()) {
    return kNoRoute;
  }
  if (aAdapter.IsEmpty()) {
    return model->second.mBase;
  }
  const auto adapter = model->second.mAdapters.find(aAdapter);
  return adapter == model->second.mAdapters.end() ? model->second.mBase
                                                  : adapter->second;
}

RouteIndex TargetTable::FindServiceRoute(const ServiceName& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? kNoRoute : it->second;
}

RouteTargets TargetTable::Targets(RouteIndex aRoute)
{
  assert(aRoute < mRoutes.size());
  Route* route = &mRoutes[aRoute];
  if (route->mDirty) {
    Rebuild(*route);
  }
  const bool isEmpty =
    route->mLocal.empty() && route->mRemote.empty() && route->mFallback.empty();
  if (isEmpty && route->mBase != kNoRoute) {
    return Targets(route->mBase);
  }
  return { route->mLocal, route->mRemote, route->mFallback };
}

bool TargetTable::HasReachable(Instant aNow, RouteIndex aRoute)
{
  const RouteTargets lists = Targets(aRoute);
  const auto isReachable = [&](TargetIndex aIt) {
    return mTargets[aIt].IsReachable(aNow);
  };
  return std::ranges::any_of(lists.mLocal, isReachable) ||
         std::ranges::any_of(lists.mRemote, isReachable) ||
         std::ranges::any_of(lists.mFallback, isReachable);
}

void TargetTable::AwaitAnnouncement(Instant aNow, TargetIndex aTarget)
{
  mTargets[aTarget].mAwaitsAnnouncement = true;
  mTargets[aTarget].mConnectionLostAt = aNow;
}

void TargetTable::AppendAdapters(RouteIndex aBase,
                                 std::vector<RouteIndex>& aOut) const
{
  const std::vector<RouteIndex>& adapters = mRoutes[aBase].mAdapters;
  aOut.insert(aOut.end(), adapters.begin(), adapters.end());
}

TargetIndex TargetTable::Find(const TargetName& aName) const
{
  const auto it = mByName.find(aName);
  return it == mByName.end() ? kNoTarget : it->second;
}

RouteIndex TargetTable::NewRoute()
{
  mRoutes.emplace_back();
  return static_cast<RouteIndex>(mRoutes.size() - 1);
}

RouteIndex TargetTable::InternModel(const ModelName& aModel,
                                    const AdapterName& aAdapter)
{
  ModelRoutes& model = mModels[aModel];
  if (model.mBase == kNoRoute) {
    model.mBase = NewRoute();
  }
  if (aAdapter.IsEmpty()) {
    return model.mBase;
  }
  const auto [it, isNew] = model.mAdapters.try_emplace(aAdapter, kNoRoute);
  if (isNew) {
    it->second = NewRoute();
    mRoutes[it->second].mBase = model.mBase;
    mRoutes[model.mBase].mAdapters.push_back(it->second);
  }
  return it->second;
}

RouteIndex TargetTable::InternPool(const std::string& aPool)
{
  const auto [it, isNew] = mPools.try_emplace(aPool, kNoRoute);
  if (isNew) {
    it->second = NewRoute();
  }
  return it->second;
}

TargetIndex TargetTable::Allocate(const TargetName& aName)
{
  TargetIndex index = kNoTarget;
  if (mFreeEntries.empty()) {
    index = static_cast<TargetIndex>(mTargets.size());
    mTargets.emplace_back();
  } else {
    index = mFreeEntries.back();
    mFreeEntries.pop_back();
  }
  mTargets[index].mName = aName;
  mTargets[index].mInUse = true;
  mByName.emplace(aName, index);
  return index;
}

void TargetTable::UpdateRoutes(TargetIndex aIndex)
{
  RemoveFromRoutes(aIndex);
  if (mTargets[aIndex].mKind == TargetKind::Service) {
    AddToRoute(aIndex, InternPool(mTargets[aIndex].mPool), 0);
    return;
  }
  // A copy, so that no reference into mTargets is held during the updates.
  const std::vector<ResidentModel> residents = mTargets[aIndex].mResident;
  for (const ResidentModel& it : residents) {
    if (!it.mAdapter.IsEmpty() && !HoldsWeights(residents, it.mModel)) {
      continue;
    }
    AddToRoute(aIndex, InternModel(it.mModel, it.mAdapter), it.mVersion);
  }
}

void TargetTable::RemoveFromRoutes(TargetIndex aIndex)
{
  for (const RouteIndex it : mTargets[aIndex].mRoutes) {
    Route& route = mRoutes[it];
    std::erase_if(route.mHolders, [&](const Holder& aHolder) {
      return aHolder.mTarget == aIndex;
    });
    route.mDirty = true;
  }
  mTargets[aIndex].mRoutes.clear();
}

void TargetTable::AddToRoute(TargetIndex aIndex, RouteIndex aRoute,
                             std::uint32_t aVersion)
{
  Route& route = mRoutes[aRoute];
  route.mDirty = true;
  const auto held = std::ranges::find(route.mHolders, aIndex, &Holder::mTarget);
  if (held != route.mHolders.end()) {
    // If a target holds two versions, the wanted one takes precedence.
    held->mVersion =
      aVersion == route.mWantedVersion ? aVersion : held->mVersion;
    return;
  }
  route.mHolders.push_back({ aIndex, aVersion });
  mTargets[aIndex].mRoutes.push_back(aRoute);
}

void TargetTable::MarkDirty(const TargetEntry& aTarget)
{
  for (const RouteIndex it : aTarget.mRoutes) {
    mRoutes[it].mDirty = true;
  }
}

void TargetTable::Rebuild(Route& aRoute)
{
  aRoute.mLocal.clear();
  aRoute.mRemote.clear();
  aRoute.mFallback.clear();
  for (const Holder& it : aRoute.mHolders) {
    const TargetEntry& target = mTargets[it.mTarget];
    if (!target.TakesWork()) {
      continue;
    }
    const bool isWanted = aRoute.mWantedVersion == 0 || it.mVersion == 0 ||
                          it.mVersion == aRoute.mWantedVersion;
    if (!isWanted) {
      aRoute.mFallback.push_back(it.mTarget);
    } else if (target.mLocal) {
      aRoute.mLocal.push_back(it.mTarget);
    } else {
      aRoute.mRemote.push_back(it.mTarget);
    }
  }
  aRoute.mDirty = false;
}

} // namespace carobtide
