#include "carobtide/fleet/fleet_view.hpp"

#include <algorithm>
#include <tuple>

namespace carobtide {

namespace {

/** Gone targets are kept this long, so that late news of them is known. */
constexpr Duration kGoneRetention = std::chrono::seconds(60);

} // namespace

FleetView::FleetView() = default;

bool FleetView::IsSilent(const TargetName& aTarget) const
{
  bool isSilent = false;
  for (const auto& [address, source] : mSources) {
    if (source.mKnown.contains(aTarget)) {
      if (!source.mSilent.contains(aTarget)) {
        return false;
      }
      isSilent = true;
    }
  }
  return isSilent;
}

void FleetView::TakeRecord(Instant aNow, const FleetRecord& aRecord)
{
  const Heartbeat& last = aRecord.mLast;
  if (last.mPhase == TargetPhase::Gone) {
    mTargets.OnLeave(aNow, last.mTarget, last.mIncarnation);
  } else {
    mTargets.OnHeartbeat(aNow, last);
    if (last.mPhase == TargetPhase::Draining) {
      mTargets.OnDraining(last.mTarget, last.mIncarnation);
    }
    mTargets.OnLimit(last.mTarget, last.mIncarnation, aRecord.mLimit);
  }
}

void FleetView::TakeResidency(Instant aNow, const ResidencyMap& aMap,
                              std::set<TargetName>& aChanged)
{
  if (std::tie(aMap.mTerm, aMap.mVersion) <=
      std::tie(mResidencyTerm, mResidencyVersion)) {
    return;
  }
  const bool isComplete = aMap.mSince == 0;
  if (!isComplete &&
      (aMap.mTerm != mResidencyTerm || aMap.mSince > mResidencyVersion)) {
    return;
  }
  mResidencyTerm = aMap.mTerm;
  mResidencyVersion = aMap.mVersion;
  std::unordered_map<TargetName, Residency> next;
  const std::int64_t offset =
    aMap.mClockMicros - aNow.time_since_epoch().count();
  for (Residency engine : aMap.mEngines) {
    for (LoadingModel& loading : engine.mLoading) {
      loading.mReadyMicros -= offset;
    }
    const auto known = mResidency.find(engine.mTarget);
    if (known == mResidency.end() || !(known->second == engine)) {
      aChanged.insert(engine.mTarget);
    }
    next.emplace(engine.mTarget, engine);
  }
  if (!isComplete) {
    next.merge(mResidency);
  }
  mResidency = std::move(next);
}

std::vector<TargetName> FleetView::OnReply(Instant aNow,
                                           const Endpoint& aSource,
                                           const WatchReply& aReply)
{
  Source& source = mSources[aSource];
  if (aReply.mReset || aReply.mEpoch != source.mEpoch) {
    source = Source{};
  }
  source.mEpoch = aReply.mEpoch;
  source.mChange = aReply.mChange;
  source.mBlockVersion = aReply.mBlocks.mVersion;
  std::set<TargetName> changed;
  for (const FleetRecord& record : aReply.mTargets) {
    const TargetName& name = record.mLast.mTarget;
    source.mKnown.insert(name);
    if (record.mSilent) {
      source.mSilent.insert(name);
    } else {
      source.mSilent.erase(name);
    }
    TakeRecord(aNow, record);
    changed.insert(name);
  }
  // A process that took an address also changes the one that had it.
  for (const TargetName& name : mTargets.TakeUpdated()) {
    changed.insert(name);
  }
  for (const ResidencyMap& map : aReply.mResidency) {
    TakeResidency(aNow, map, changed);
  }
  if (!aReply.mLeader.mHost.empty()) {
    mLeader = aReply.mLeader;
  }
  mTargets.ForgetGone(aNow - kGoneRetention);
  return { changed.begin(), changed.end() };
}

void FleetView::FillRequest(const Endpoint& aSource,
                            WatchRequest& aRequest) const
{
  if (const auto it = mSources.find(aSource); it != mSources.end()) {
    aRequest.mEpoch = it->second.mEpoch;
    aRequest.mChange = it->second.mChange;
    aRequest.mBlockVersion = it->second.mBlockVersion;
  }
  aRequest.mResidencyTerm = mResidencyTerm;
  aRequest.mResidencyVersion = mResidencyVersion;
}

std::uint64_t FleetView::EpochOf(const Endpoint& aSource) const
{
  const auto it = mSources.find(aSource);
  return it == mSources.end() ? 0 : it->second.mEpoch;
}

void FleetView::DropSource(const Endpoint& aSource)
{
  mSources.erase(aSource);
}

void FleetView::NoteAdapter(const TargetName& aTarget, const ModelName& aModel,
                            const AdapterName& aAdapter)
{
  const auto engine = mResidency.find(aTarget);
  if (engine == mResidency.end()) {
    return;
  }
  auto& models = engine->second.mModels;
  const auto model = std::ranges::find(models, aModel, &HeldModel::mName);
  if (model != models.end() &&
      std::ranges::find(model->mAdapters, aAdapter) == model->mAdapters.end()) {
    model->mAdapters.push_back(aAdapter);
  }
}

void FleetView::NoteLimit(const TargetName& aTarget, Incarnation aIncarnation,
                          const RateLimit& aLimit)
{
  mTargets.OnLimit(aTarget, aIncarnation, aLimit);
}

std::optional<RoutedTarget> FleetView::Find(const TargetName& aTarget) const
{
  const FleetRecord* record = mTargets.Find(aTarget);
  if (record == nullptr) {
    return std::nullopt;
  }
  RoutedTarget state;
  state.mLast = record->mLast;
  state.mLimit = record->mLimit;
  state.mSilent = IsSilent(aTarget);
  const auto engine = mResidency.find(aTarget);
  const bool isKnown =
    engine != mResidency.end() &&
    engine->second.mIncarnation == record->mLast.mIncarnation;
  state.mModels = isKnown ? engine->second.mModels : record->mLast.mModels;
  if (isKnown) {
    state.mLoading = engine->second.mLoading;
  }
  return state;
}

} // namespace carobtide
