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
/** Minimum time that a model stays on an engine before it may be unloaded. */
constexpr Duration kMinResidency = std::chrono::seconds(4);
/** Ratio to the mean load above which a model gets another copy. */
constexpr double kImbalanceFactor = 1.2;
/** Minimum demand and load difference, in slots, for another copy. */
constexpr double kMinSlotDifference = 2.0;
/** Rounds after which the load distribution has nearly converged. */
constexpr int kDistributionRounds = 4;
/**
 * Minimum demand, in slots, for a model without a copy to displace the last
 * copy of another model.
 */
constexpr double kMinSlotsToDisplace = 0.2;
/** Maximum share of a service's engines that change models concurrently. */
constexpr double kMaxChangingShare = 0.5;
/** Costs, in slots: of a load by its source, and of evicting a last copy. */
constexpr double kStoreLoadCost = 2.0;
constexpr double kDiskLoadCost = 0.5;
constexpr double kLastCopyEvictionCost = 4.0;
/**
 * Cost per occupied slot of an evicted model. Its requests must end before the
 * memory is free, and streams run for seconds, longer than most loads.
 */
constexpr double kRunningSlotEvictionCost = 1.5;
/**
 * Share of the store's rate that is used. The margin is for the bucket's bursts
 * of up to one second's worth of loads.
 */
constexpr double kStoreRateShare = 0.9;

} // namespace

ResidencyPlanner::ResidencyPlanner(Instant aActiveAt)
  : mActiveAt(aActiveAt)
  , mNextStep(aActiveAt)
{
}

void ResidencyPlanner::SetCatalog(std::shared_ptr<const Catalog> aCatalog)
{
  mCatalog = std::move(aCatalog);
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
    return;
  }
  mPendingLoads.erase(last.mTarget);
  mEngines.insert_or_assign(last.mTarget, EngineTracker(last, aRecord.mSilent));
}

void ResidencyPlanner::OnDemand(Instant aNow, const DemandReport& aReport)
{
  double slots = 0;
  for (const auto& [name, engine] : mEngines) {
    slots = std::max(slots, static_cast<double>(engine.LastHeartbeat().mSlots));
  }
  mDemand.OnReport(aNow, aReport, slots);
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
    map.push_back(
      { name, engine.LastHeartbeat().mIncarnation, engine.Serving() });
  }
  return map;
}

std::size_t ResidencyPlanner::OrdersUnderWay() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mEngines, [](const auto& aEngine) { return aEngine.second.IsBusy(); }));
}

std::size_t ResidencyPlanner::ServiceSnapshot::CopiesOf(
  const ModelName& aModel) const
{
  const auto it = mHolders.find(aModel);
  return it == mHolders.end() ? 0 : it->second.size();
}

double ResidencyPlanner::ServiceSnapshot::ShareOf(
  const ModelName& aModel, const EngineTracker* aEngine) const
{
  const auto it = mShares.find({ aModel, aEngine });
  return it == mShares.end() ? 0 : it->second;
}

ResidencyPlanner::ServiceSnapshot ResidencyPlanner::MakeSnapshot(
  const Service& aService)
{
  ServiceSnapshot snapshot;
  snapshot.mService = &aService;
  for (auto& [name, engine] : mEngines) {
    if (engine.IsUsable() &&
        engine.LastHeartbeat().mService == aService.mName) {
      snapshot.mEngines.push_back(&engine);
      snapshot.mLoad[&engine] = 0;
    }
  }
  for (const EngineTracker* engine : snapshot.mEngines) {
    for (const HeldModel& model : engine->Serving()) {
      snapshot.mHolders[model.mName].push_back(engine);
    }
    if (const auto loading = engine->Loading()) {
      snapshot.mHolders[*loading].push_back(engine);
    }
    const auto next = mPendingLoads.find(engine->LastHeartbeat().mTarget);
    if (next != mPendingLoads.end() && !engine->IsLoading(next->second)) {
      snapshot.mHolders[next->second].push_back(engine);
    }
  }
  DistributeLoad(snapshot);
  return snapshot;
}

void ResidencyPlanner::DistributeLoad(ServiceSnapshot& aSnapshot) const
{
  for (int round = 0; round < kDistributionRounds; ++round) {
    for (const auto& [model, holders] : aSnapshot.mHolders) {
      for (const EngineTracker* engine : holders) {
        double& share = aSnapshot.mShares[{ model, engine }];
        aSnapshot.mLoad[engine] -= share;
        share = 0;
      }
      // Water-filling: raise the least loaded holders to a common level.
      std::vector<const EngineTracker*> order = holders;
      std::ranges::sort(order, {}, [&](const EngineTracker* aEngine) {
        return aSnapshot.mLoad[aEngine];
      });
      const double need = mDemand.SlotsNeeded(aSnapshot.mService->mName, model);
      double level = 0;
      double below = 0;
      for (std::size_t n = 1; n <= order.size(); ++n) {
        below += aSnapshot.mLoad[order[n - 1]];
        level = (need + below) / static_cast<double>(n);
        if (n == order.size() || level <= aSnapshot.mLoad[order[n]]) {
          break;
        }
      }
      for (const EngineTracker* engine : order) {
        const double share = std::max(0.0, level - aSnapshot.mLoad[engine]);
        aSnapshot.mShares[{ model, engine }] = share;
        aSnapshot.mLoad[engine] += share;
      }
    }
  }
  const double total = std::accumulate(
    aSnapshot.mLoad.begin(), aSnapshot.mLoad.end(), 0.0,
    [](double aSum, const auto& aItem) { return aSum + aItem.second; });
  aSnapshot.mMeanLoad =
    aSnapshot.mEngines.empty()
      ? 0
      : total / static_cast<double>(aSnapshot.mEngines.size());
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
      aEffects.emplace_back(IssueOrder{ std::move(*order), "no answer" });
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
  order.mAddress = aEngine.LastHeartbeat().mAddress;
  order.mAction = aAction;
  order.mModel = aModel;
  order.mAdapter = aAdapter;
  order.mAccepted = aEngine.Accepted();
  aEngine.OnSent(aNow, order, aExpectedTime);
  aEffects.emplace_back(IssueOrder{ std::move(order), aReason });
}

double ResidencyPlanner::FreeMegabytes(const Service& aService,
                                       const EngineTracker& aEngine) const
{
  double used = 0;
  for (const ModelName& name : aEngine.ModelsUsingMemory()) {
    const CatalogModel* spec = aService.mEngine->FindModel(name);
    // The size of a model that the catalog no longer lists is unknown: assume
    // that it fills the engine.
    used += spec == nullptr ? aService.mEngine->mMegabytes : spec->mMegabytes;
    const HeldModel* held = aEngine.Find(name);
    if (spec != nullptr && held != nullptr) {
      used +=
        spec->mAdapterMegabytes * static_cast<double>(held->mAdapters.size());
    }
  }
  // Reserve memory for as many of the largest adapters as there are slots.
  double largest = 0;
  for (const CatalogModel& model : aService.mEngine->mModels) {
    largest = std::max(largest, model.mAdapterMegabytes);
  }
  used += largest * aService.mEngine->mAdapterSlots;
  return aService.mEngine->mMegabytes - used;
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

double ResidencyPlanner::LeastHolderLoad(const ServiceSnapshot& aSnapshot,
                                         const ModelName& aModel) const
{
  double least = std::numeric_limits<double>::max();
  if (const auto it = aSnapshot.mHolders.find(aModel);
      it != aSnapshot.mHolders.end()) {
    for (const EngineTracker* engine : it->second) {
      least = std::min(least, aSnapshot.mLoad.at(engine));
    }
  }
  return least;
}

std::optional<ResidencyPlanner::LoadCandidate> ResidencyPlanner::EvaluateEngine(
  Instant aNow, const ServiceSnapshot& aSnapshot, EngineTracker& aEngine,
  const CatalogModel& aModel, bool aUrgent) const
{
  const Service& service = *aSnapshot.mService;
  LoadCandidate candidate;
  candidate.mEngine = &aEngine;
  candidate.mCost = aSnapshot.mLoad.at(&aEngine);
  if (IsStoreLoad(aEngine, aModel)) {
    candidate.mCost += kStoreLoadCost;
  } else if (!aEngine.HasCopyInMemory(aModel.mName)) {
    candidate.mCost += kDiskLoadCost;
  }
  const double missingMegabytes =
    aModel.mMegabytes - FreeMegabytes(service, aEngine);
  if (missingMegabytes <= 0) {
    return candidate;
  }
  double lowestEvictionCost = std::numeric_limits<double>::max();
  for (const HeldModel& held : aEngine.Serving()) {
    const CatalogModel* spec = service.mEngine->FindModel(held.mName);
    const bool isPastMinResidency =
      aNow - aEngine.HeldSince(held.mName) > kMinResidency;
    if (spec == nullptr || spec->mMegabytes < missingMegabytes ||
        !isPastMinResidency) {
      continue;
    }
    const std::size_t copies = aSnapshot.CopiesOf(held.mName);
    const double need = mDemand.SlotsNeeded(service.mName, held.mName);
    if (copies <= 1 && (!aUrgent || need >= kMinSlotsToDisplace)) {
      continue;
    }
    // Requests running on the victim must end before its memory is free.
    const double evictionCost =
      copies <= 1
        ? kLastCopyEvictionCost
        : kRunningSlotEvictionCost * aSnapshot.ShareOf(held.mName, &aEngine);
    if (evictionCost < lowestEvictionCost) {
      lowestEvictionCost = evictionCost;
      candidate.mVictim = held.mName;
    }
  }
  if (candidate.mVictim.IsEmpty()) {
    return std::nullopt;
  }
  candidate.mCost += lowestEvictionCost;
  return candidate;
}

std::optional<ResidencyPlanner::LoadCandidate>
ResidencyPlanner::FindLoadCandidate(Instant aNow,
                                    const ServiceSnapshot& aSnapshot,
                                    const CatalogModel& aModel, bool aUrgent)
{
  const bool mayUseStore = mStoreBudgets[aSnapshot.mService->mName].HasToken();
  std::optional<LoadCandidate> best;
  for (EngineTracker* engine : aSnapshot.mEngines) {
    const bool isEligible =
      engine->IsFree(aNow) && !engine->Holds(aModel.mName) &&
      !mPendingLoads.contains(engine->LastHeartbeat().mTarget) &&
      (mayUseStore || !IsStoreLoad(*engine, aModel));
    if (!isEligible) {
      continue;
    }
    auto candidate = EvaluateEngine(aNow, aSnapshot, *engine, aModel, aUrgent);
    if (candidate && (!best || candidate->mCost < best->mCost)) {
      best = candidate;
    }
  }
  return best;
}

bool ResidencyPlanner::PlanCopy(Instant aNow, ServiceSnapshot& aSnapshot,
                                const CatalogModel& aModel, bool aUrgent,
                                const char* aReason,
                                std::vector<ResidencyEffect>& aEffects)
{
  const auto candidate = FindLoadCandidate(aNow, aSnapshot, aModel, aUrgent);
  if (!candidate) {
    return false;
  }
  EngineTracker& engine = *candidate->mEngine;
  aSnapshot.mHolders[aModel.mName].push_back(&engine);
  if (!candidate->mVictim.IsEmpty()) {
    mPendingLoads[engine.LastHeartbeat().mTarget] = aModel.mName;
    std::erase(aSnapshot.mHolders[candidate->mVictim], &engine);
    Issue(aNow, engine, ResidencyAction::Unload, candidate->mVictim, {},
          kUnloadTime, aReason, aEffects);
    return true;
  }
  if (IsStoreLoad(engine, aModel)) {
    mStoreBudgets[aSnapshot.mService->mName].Take();
  }
  Issue(aNow, engine, ResidencyAction::Load, aModel.mName, {},
        LoadTime(engine, aModel), aReason, aEffects);
  return true;
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

void ResidencyPlanner::PlanModels(Instant aNow, ServiceSnapshot& aSnapshot,
                                  std::vector<ResidencyEffect>& aEffects)
{
  const Service& service = *aSnapshot.mService;
  const EngineSpec& engines = *service.mEngine;
  // Load the models whose victims are unloaded.
  for (EngineTracker* engine : aSnapshot.mEngines) {
    const auto next = mPendingLoads.find(engine->LastHeartbeat().mTarget);
    if (next == mPendingLoads.end() || !engine->IsFree(aNow)) {
      continue;
    }
    const CatalogModel* model = engines.FindModel(next->second);
    const bool hasRoom = model != nullptr && !engine->Holds(model->mName) &&
                         model->mMegabytes <= FreeMegabytes(service, *engine);
    TokenBucket& store = mStoreBudgets[service.mName];
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
  const auto maxChanging = std::max<std::size_t>(
    2, static_cast<std::size_t>(
         kMaxChangingShare * static_cast<double>(aSnapshot.mEngines.size())));
  std::vector<const CatalogModel*> models;
  std::ranges::transform(engines.mModels, std::back_inserter(models),
                         [](const CatalogModel& aModel) { return &aModel; });
  std::ranges::sort(models, std::ranges::greater{},
                    [&](const CatalogModel* aModel) {
                      return mDemand.SlotsNeeded(service.mName, aModel->mName);
                    });
  for (const CatalogModel* model : models) {
    if (CountChangingEngines(aSnapshot) >= maxChanging) {
      return;
    }
    const double need = mDemand.SlotsNeeded(service.mName, model->mName);
    if (aSnapshot.CopiesOf(model->mName) == 0) {
      PlanCopy(aNow, aSnapshot, *model, need >= kMinSlotsToDisplace,
               need >= kMinSlotsToDisplace ? "asked for, held nowhere"
                                           : "held nowhere",
               aEffects);
      continue;
    }
    const double leastLoad = LeastHolderLoad(aSnapshot, model->mName);
    if (need < kMinSlotDifference ||
        leastLoad <
          kImbalanceFactor * aSnapshot.mMeanLoad + kMinSlotDifference) {
      continue;
    }
    const auto candidate = FindLoadCandidate(aNow, aSnapshot, *model, false);
    if (candidate && candidate->mCost < leastLoad - kMinSlotDifference) {
      PlanCopy(aNow, aSnapshot, *model, false, "its engines are crowded",
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
    ServiceSnapshot snapshot = MakeSnapshot(service);
    PlanAdapters(aNow, snapshot, effects);
    if (isDue) {
      PlanModels(aNow, snapshot, effects);
    }
  }
  return effects;
}

} // namespace carobtide
