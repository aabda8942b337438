#include "carobtide/placement/residency_planner.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <numeric>
#include <utility>

namespace carobtide {

namespace {

/** Interval for planning models; adapters are planned in every step. */
constexpr Duration kModelPlanInterval = std::chrono::milliseconds(100);
/** Ratio to the mean load above which a model gets another copy. */
constexpr double kImbalanceFactor = 1.2;
/**
 * Minimum demand and load difference for another copy: a share of an engine's
 * slots, with a bound in slots.
 */
constexpr double kDifferenceShare = 1.0 / 16;
constexpr double kMaxDifference = 2.0;
/** Models for which one step looks for an engine, to bound its time. */
constexpr int kMaxEvaluations = 32;
/** Models that need more slots are considered in every step. */
constexpr double kMuchDemand = 1.0;
/** Maximum share of a service's engines that change models concurrently. */
constexpr double kMaxChangingShare = 0.5;
/** A model that uses fewer slots of an engine runs nothing most of the time. */
constexpr double kIdleShare = 0.5;
/**
 * Share of the store's rate that is used. The margin is for the bucket's bursts
 * of up to one second's worth of loads.
 */
constexpr double kStoreRateShare = 0.9;

double MinDifference(double aSlots)
{
  return std::min(kMaxDifference, kDifferenceShare * aSlots);
}

} // namespace

ResidencyPlanner::ResidencyPlanner(Instant aActiveAt)
  : mActiveAt(aActiveAt)
  , mNextStep(aActiveAt)
{
}

void ResidencyPlanner::SetCatalog(std::shared_ptr<const Catalog> aCatalog)
{
  mCatalog = std::move(aCatalog);
  mModels.clear();
  for (const Service& service : mCatalog->mServices) {
    if (service.mEngine) {
      for (const CatalogModel& model : service.mEngine->mModels) {
        mModels[service.mName].try_emplace(model.mName, &model);
      }
    }
  }
}

void ResidencyPlanner::OnTarget(Instant aNow, const FleetRecord& aRecord)
{
  const Heartbeat& last = aRecord.mLast;
  const auto it = mEngines.find(last.mTarget);
  const bool isSame =
    it != mEngines.end() &&
    it->second.LastHeartbeat().mIncarnation == last.mIncarnation;
  if (last.mPhase == TargetPhase::Gone || !last.mEngine) {
    if (it != mEngines.end()) {
      mEngines.erase(it);
      mPendingLoads.erase(last.mTarget);
    }
    return;
  }
  if (isSame) {
    it->second.OnHeartbeat(aNow, last, aRecord.mSilent);
    it->second.OnLimit(aRecord.mLimit);
    return;
  }
  mPendingLoads.erase(last.mTarget);
  EngineTracker engine(last, aRecord.mSilent);
  engine.OnLimit(aRecord.mLimit);
  mEngines.insert_or_assign(last.mTarget, std::move(engine));
}

void ResidencyPlanner::OnDemand(Instant aNow, const DemandReport& aReport)
{
  double slots = 0;
  for (const auto& [name, engine] : mEngines) {
    slots = std::max(slots, static_cast<double>(engine.LastHeartbeat().mSlots));
  }
  mDemand.OnReport(aNow, aReport, slots);
  NoteWaitingStreams(aNow, aReport);
}

void ResidencyPlanner::OnSpeeds(Instant aNow,
                                const std::vector<EngineSpeed>& aSpeeds)
{
  mSpeeds.OnSpeeds(aNow, aSpeeds);
}

void ResidencyPlanner::OnReport(Instant aNow, const TargetName& aTarget,
                                Incarnation aIncarnation, Instant aRequestedAt,
                                const std::optional<EngineReport>& aReport)
{
  const auto it = mEngines.find(aTarget);
  if (it != mEngines.end() &&
      it->second.LastHeartbeat().mIncarnation == aIncarnation) {
    it->second.OnReport(aNow, aRequestedAt, aReport);
  }
}

void ResidencyPlanner::OnPause(const TargetName& aTarget,
                               Incarnation aIncarnation, Instant aUntil)
{
  const auto it = mEngines.find(aTarget);
  if (it != mEngines.end() &&
      it->second.LastHeartbeat().mIncarnation == aIncarnation) {
    it->second.OnPause(aUntil);
  }
}

void ResidencyPlanner::OnAnswer(Instant aNow, const TargetName& aTarget,
                                OrderId aOrder, ResidencyAnswer aAnswer)
{
  const auto it = mEngines.find(aTarget);
  if (it != mEngines.end()) {
    it->second.OnAnswer(aNow, aOrder, aAnswer);
  }
}

std::vector<Residency> ResidencyPlanner::Map() const
{
  std::vector<Residency> map;
  for (const auto& [name, engine] : mEngines) {
    Residency residency{
      name, engine.LastHeartbeat().mIncarnation, engine.Serving(), {}
    };
    const auto pending = mPendingLoads.find(name);
    if (const auto loading = engine.Loading()) {
      residency.mLoading.push_back(
        { *loading, engine.DueAt().time_since_epoch().count() });
    } else if (pending != mPendingLoads.end()) {
      residency.mLoading.push_back(
        { pending->second.mModel,
          pending->second.mReadyAt.time_since_epoch().count() });
    }
    map.push_back(std::move(residency));
  }
  return map;
}

std::size_t ResidencyPlanner::OrdersUnderWay() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mEngines, [](const auto& aEngine) { return aEngine.second.IsBusy(); }));
}

const CatalogModel* ResidencyPlanner::FindModel(const Service& aService,
                                                const ModelName& aModel) const
{
  const auto service = mModels.find(aService.mName);
  if (service == mModels.end()) {
    return nullptr;
  }
  const auto model = service->second.find(aModel);
  return model == service->second.end() ? nullptr : model->second;
}

void ResidencyPlanner::PlanReports(Instant aNow,
                                   std::vector<ResidencyEffect>& aEffects)
{
  for (auto& [name, engine] : mEngines) {
    if (engine.ShouldRequestReport(aNow)) {
      aEffects.emplace_back(
        RequestEngineReport{ name, engine.LastHeartbeat().mIncarnation,
                             engine.LastHeartbeat().mAddress });
    }
  }
}

void ResidencyPlanner::PlanResends(Instant aNow,
                                   std::vector<ResidencyEffect>& aEffects)
{
  for (auto& [name, engine] : mEngines) {
    if (auto order = engine.TakeResend(aNow)) {
      aEffects.emplace_back(
        IssueOrder{ std::move(*order), "no answer", SpeedOf(engine) });
    }
  }
}

void ResidencyPlanner::Issue(Instant aNow, EngineTracker& aEngine,
                             ResidencyAction aAction, const ModelName& aModel,
                             const AdapterName& aAdapter,
                             Duration aExpectedTime, const char* aReason,
                             std::vector<ResidencyEffect>& aEffects)
{
  ResidencyOrder order;
  order.mId = OrderId(mNextOrder++);
  order.mTarget = aEngine.LastHeartbeat().mTarget;
  order.mIncarnation = aEngine.LastHeartbeat().mIncarnation;
  order.mAddress = aEngine.LastHeartbeat().mAddress;
  order.mAction = aAction;
  order.mModel = aModel;
  order.mAdapter = aAdapter;
  order.mAccepted = aEngine.Accepted();
  aEngine.OnSent(aNow, order, aExpectedTime);
  aEffects.emplace_back(
    IssueOrder{ std::move(order), aReason, SpeedOf(aEngine) });
}

double ResidencyPlanner::AdapterReserve(const Service& aService)
{
  double largest = 0;
  for (const CatalogModel& model : aService.mEngine->mModels) {
    largest = std::max(largest, model.mAdapterMegabytes);
  }
  return largest * aService.mEngine->mAdapterSlots;
}

double ResidencyPlanner::FreeMegabytes(const Service& aService,
                                       const EngineTracker& aEngine,
                                       double aReserve) const
{
  double used = 0;
  for (const ModelName& name : aEngine.ModelsUsingMemory()) {
    const CatalogModel* spec = FindModel(aService, name);
    // The size of a model that the catalog no longer lists is unknown: assume
    // that it fills the engine.
    used += spec == nullptr ? aService.mEngine->mMegabytes : spec->mMegabytes;
    const HeldModel* held = aEngine.Find(name);
    if (spec != nullptr && held != nullptr) {
      used +=
        spec->mAdapterMegabytes * static_cast<double>(held->mAdapters.size());
    }
  }
  return aService.mEngine->mMegabytes - used - aReserve;
}

bool ResidencyPlanner::IsStoreLoad(const EngineTracker& aEngine,
                                   const CatalogModel& aModel) const
{
  return !aEngine.HasCopyInMemory(aModel.mName) &&
         !aEngine.HasCopyOnDisk(aModel.mName);
}

Duration ResidencyPlanner::LoadTime(const EngineTracker& aEngine,
                                    const CatalogModel& aModel) const
{
  if (aEngine.HasCopyInMemory(aModel.mName)) {
    return aModel.mMemoryLoad;
  }
  return aEngine.HasCopyOnDisk(aModel.mName) ? aModel.mDiskLoad
                                             : aModel.mStoreLoad;
}

void ResidencyPlanner::PlanCopy(Instant aNow, ServiceSnapshot& aSnapshot,
                                const CatalogModel& aModel,
                                const LoadCandidate& aCandidate,
                                const char* aReason,
                                std::vector<ResidencyEffect>& aEffects)
{
  EngineTracker& engine = *aCandidate.mEngine;
  aSnapshot.mHolders[aModel.mName].push_back(&engine);
  if (!aCandidate.mVictim.IsEmpty()) {
    const bool isRunning =
      aSnapshot.ShareOf(aCandidate.mVictim, &engine) >= kIdleShare;
    mPendingLoads[engine.LastHeartbeat().mTarget] = {
      aModel.mName,
      aNow + (isRunning ? kDrainTime : kUnloadTime) + LoadTime(engine, aModel)
    };
    std::erase(aSnapshot.mHolders[aCandidate.mVictim], &engine);
    Issue(aNow, engine, ResidencyAction::Unload, aCandidate.mVictim, {},
          kUnloadTime, aReason, aEffects);
    return;
  }
  if (IsStoreLoad(engine, aModel)) {
    mStoreBudgets[aSnapshot.mService->mName].Take();
  }
  Issue(aNow, engine, ResidencyAction::Load, aModel.mName, {},
        LoadTime(engine, aModel), aReason, aEffects);
}

std::size_t ResidencyPlanner::CountChangingEngines(
  const ServiceSnapshot& aSnapshot) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    aSnapshot.mEngines, [&](const EngineTracker* aEngine) {
      return mPendingLoads.contains(aEngine->LastHeartbeat().mTarget) ||
             aEngine->ModelsUsingMemory().size() > aEngine->Serving().size();
    }));
}

void ResidencyPlanner::PlanPendingLoads(Instant aNow,
                                        ServiceSnapshot& aSnapshot,
                                        std::vector<ResidencyEffect>& aEffects)
{
  const Service& service = *aSnapshot.mService;
  TokenBucket& store = mStoreBudgets[service.mName];
  for (EngineTracker* engine : aSnapshot.mEngines) {
    const auto next = mPendingLoads.find(engine->LastHeartbeat().mTarget);
    if (next == mPendingLoads.end()) {
      continue;
    }
    if (!engine->Limit().IsNone()) {
      // Another engine is found for the model.
      mPendingLoads.erase(next);
      continue;
    }
    if (!engine->IsFree(aNow)) {
      continue;
    }
    const CatalogModel* model = FindModel(service, next->second.mModel);
    const bool hasRoom = model != nullptr && !engine->Holds(model->mName) &&
                         model->mMegabytes <= aSnapshot.mFreeMegabytes[engine];
    const bool isStoreLoad = hasRoom && IsStoreLoad(*engine, *model);
    if (isStoreLoad && !store.HasToken()) {
      continue;
    }
    if (hasRoom) {
      if (isStoreLoad) {
        store.Take();
      }
      Issue(aNow, *engine, ResidencyAction::Load, model->mName, {},
            LoadTime(*engine, *model), "evicted model is unloaded", aEffects);
    }
    mPendingLoads.erase(next);
  }
}

std::vector<const CatalogModel*> ResidencyPlanner::ModelsInOrder(
  const ServiceSnapshot& aSnapshot)
{
  std::vector<const CatalogModel*> models;
  std::ranges::transform(aSnapshot.mService->mEngine->mModels,
                         std::back_inserter(models),
                         [](const CatalogModel& aModel) { return &aModel; });
  const auto need = [&](const CatalogModel* aModel) {
    return aSnapshot.NeedOf(aModel->mName);
  };
  const auto rest =
    std::partition(models.begin(), models.end(), [&](const auto* aModel) {
      return need(aModel) >= kMuchDemand;
    });
  std::sort(models.begin(), rest, [&](const auto* aOne, const auto* aOther) {
    return need(aOne) > need(aOther);
  });
  if (rest != models.end()) {
    mTurn = (mTurn + kMaxEvaluations / 2) %
            static_cast<std::size_t>(models.end() - rest);
    std::rotate(rest, rest + static_cast<std::ptrdiff_t>(mTurn), models.end());
    // Requested ones come first within their turn.
    std::stable_partition(rest, models.end(),
                          [&](const auto* aModel) { return need(aModel) > 0; });
  }
  return models;
}

void ResidencyPlanner::PlanModels(Instant aNow, ServiceSnapshot& aSnapshot,
                                  std::vector<ResidencyEffect>& aEffects)
{
  const Service& service = *aSnapshot.mService;
  PlanPendingLoads(aNow, aSnapshot, aEffects);
  PlanForStreams(aNow, aSnapshot, aEffects);
  const auto maxChanging = std::max<std::size_t>(
    2, static_cast<std::size_t>(
         kMaxChangingShare * static_cast<double>(aSnapshot.mEngines.size())));
  std::erase_if(mMissingSince, [&](const auto& aItem) {
    const ModelKey& key = aItem.first;
    return key.mService == service.mName &&
           (aSnapshot.CopiesOf(key.mModel) > 0 ||
            aSnapshot.NeedOf(key.mModel) == 0);
  });
  const double minDifference = MinDifference(aSnapshot.mSlots);
  // Without demand the initial copies tell best which models will be requested.
  const bool mayEvictForIdle = mWakeups[service.mName].IsWarm(aNow);
  std::size_t changing = CountChangingEngines(aSnapshot);
  int evaluations = 0;
  for (const CatalogModel* model : ModelsInOrder(aSnapshot)) {
    if (changing >= maxChanging || evaluations >= kMaxEvaluations) {
      return;
    }
    const double need = aSnapshot.NeedOf(model->mName);
    const bool isRequested = need > 0;
    if (aSnapshot.CopiesOf(model->mName) == 0) {
      double gain = isRequested || mayEvictForIdle
                      ? aSnapshot.mFirstCopyValue[model->mName]
                      : 0;
      if (isRequested) {
        gain += Aging(aNow, { service.mName, model->mName, {} });
      }
      ++evaluations;
      if (const auto candidate =
            FindLoadCandidate(aNow, aSnapshot, *model, gain)) {
        ++changing;
        PlanCopy(aNow, aSnapshot, *model, *candidate,
                 isRequested ? "asked for, held nowhere" : "held nowhere",
                 aEffects);
      }
      continue;
    }
    const double leastLevel = LeastHolderLevel(aSnapshot, model->mName);
    if (need < minDifference ||
        leastLevel < kImbalanceFactor * aSnapshot.mMeanLoad + minDifference) {
      continue;
    }
    ++evaluations;
    const auto candidate = FindLoadCandidate(
      aNow, aSnapshot, *model, CrowdedGain(aSnapshot, model->mName), nullptr,
      leastLevel - minDifference);
    if (candidate) {
      ++changing;
      PlanCopy(aNow, aSnapshot, *model, *candidate, "its engines are crowded",
               aEffects);
      DistributeLoad(aSnapshot);
    }
  }
}

std::vector<ResidencyEffect> ResidencyPlanner::Step(Instant aNow)
{
  std::vector<ResidencyEffect> effects;
  if (!mCatalog || aNow < mActiveAt) {
    return effects;
  }
  const bool isDue = aNow >= mNextStep;
  if (isDue) {
    mNextStep = aNow + kModelPlanInterval;
    mSpeeds.Expire(aNow);
    mEngineLevels.clear();
    mDemand.Step(aNow);
    PlanReports(aNow, effects);
    PlanResends(aNow, effects);
  }
  for (const Service& service : mCatalog->mServices) {
    if (!service.mEngine) {
      continue;
    }
    mStoreBudgets[service.mName].Refill(
      aNow, kStoreRateShare * service.mEngine->mLoadsPerSecond);
    if (isDue) {
      WakeupRisk& wakeups = mWakeups[service.mName];
      for (const CatalogModel& model : service.mEngine->mModels) {
        wakeups.OnSample(aNow, model.mName,
                         mDemand.SlotsNeeded(service.mName, model.mName));
      }
    }
    if (!isDue) {
      PlanAdapters(aNow, service, effects);
      continue;
    }
    ServiceSnapshot snapshot = MakeSnapshot(service);
    PlanAdapters(aNow, service, effects);
    AddModelFacts(snapshot);
    PlanModels(aNow, snapshot, effects);
  }
  return effects;
}

} // namespace carobtide
