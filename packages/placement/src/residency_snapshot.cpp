// What one planning step works with: engines, holders and loads of a service.
#include "carobtide/placement/residency_planner.hpp"

#include <algorithm>
#include <numeric>

namespace carobtide {

namespace {

/** Rounds after which the load distribution has nearly converged. */
constexpr int kDistributionRounds = 4;
/** Slots that a request a second takes at an engine that states a limit. */
constexpr double kSlotsPerRate = 1.0;

/**
 * Slots at mean speed that an engine's limit leaves empty: they serve no
 * demand.
 */
double SlotsWithheld(const EngineTracker& aEngine, double aSpeed)
{
  const double usable = aEngine.Limit().mPerSecond * kSlotsPerRate;
  return std::max(
    0.0, static_cast<double>(aEngine.LastHeartbeat().mSlots) * aSpeed - usable);
}

} // namespace

std::size_t ResidencyPlanner::ServiceSnapshot::CopiesOf(
  const ModelName& aModel) const
{
  const auto it = mHolders.find(aModel);
  return it == mHolders.end() ? 0 : it->second.size();
}

double ResidencyPlanner::ServiceSnapshot::ShareOf(
  const ModelName& aModel, const EngineTracker* aEngine) const
{
  const auto engine = mShares.find(aEngine);
  if (engine == mShares.end()) {
    return 0;
  }
  const auto share = engine->second.find(aModel);
  return share == engine->second.end() ? 0 : share->second;
}

double ResidencyPlanner::ServiceSnapshot::NeedOf(const ModelName& aModel) const
{
  const auto it = mNeed.find(aModel);
  return it == mNeed.end() ? 0 : it->second;
}

double ResidencyPlanner::ServiceSnapshot::SpeedOf(
  const EngineTracker* aEngine) const
{
  const auto it = mSpeeds.find(aEngine);
  return it == mSpeeds.end() ? 1 : it->second;
}

double ResidencyPlanner::ServiceSnapshot::LevelOf(
  const EngineTracker* aEngine) const
{
  return mLoad.at(aEngine) / SpeedOf(aEngine);
}

double ResidencyPlanner::SpeedOf(const EngineTracker& aEngine) const
{
  return mSpeeds.Of(aEngine.LastHeartbeat().mTarget,
                    aEngine.LastHeartbeat().mIncarnation);
}

std::map<ServiceName, double> ResidencyPlanner::Capacities() const
{
  std::map<ServiceName, double> capacities;
  for (const auto& [service, models] : mModels) {
    capacities[service] = 0;
  }
  for (const auto& [name, engine] : mEngines) {
    const auto capacity = capacities.find(engine.LastHeartbeat().mService);
    if (engine.IsUsable() && capacity != capacities.end()) {
      capacity->second += SpeedOf(engine) * engine.LastHeartbeat().mSlots;
    }
  }
  return capacities;
}

void ResidencyPlanner::AddModelFacts(ServiceSnapshot& aSnapshot) const
{
  const Service& service = *aSnapshot.mService;
  const double reserve = AdapterReserve(service);
  for (const EngineTracker* engine : aSnapshot.mEngines) {
    aSnapshot.mFreeMegabytes[engine] = FreeMegabytes(service, *engine, reserve);
    auto& serving = aSnapshot.mServing[engine];
    for (const HeldModel& held : engine->Serving()) {
      if (const CatalogModel* model = FindModel(service, held.mName)) {
        serving.push_back(model);
      }
    }
  }
  for (const CatalogModel& model : service.mEngine->mModels) {
    aSnapshot.mFirstCopyValue[model.mName] = FirstCopyValue(service, model);
  }
}

ResidencyPlanner::ServiceSnapshot ResidencyPlanner::MakeSnapshot(
  const Service& aService)
{
  ++mLoadEvaluations;
  ServiceSnapshot snapshot;
  snapshot.mService = &aService;
  for (const CatalogModel& model : aService.mEngine->mModels) {
    snapshot.mNeed[model.mName] =
      mDemand.SlotsNeeded(aService.mName, model.mName);
  }
  for (auto& [name, engine] : mEngines) {
    if (engine.IsUsable() &&
        engine.LastHeartbeat().mService == aService.mName) {
      snapshot.mEngines.push_back(&engine);
      const double speed = SpeedOf(engine);
      if (speed != 1) {
        snapshot.mSpeeds[&engine] = speed;
      }
      snapshot.mTotalSpeed += speed;
      const double withheld = SlotsWithheld(engine, speed);
      snapshot.mLoad[&engine] = withheld;
      snapshot.mWithheld += withheld;
      snapshot.mSlots = std::max(
        snapshot.mSlots, static_cast<double>(engine.LastHeartbeat().mSlots));
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
    if (next != mPendingLoads.end() &&
        !engine->IsLoading(next->second.mModel)) {
      snapshot.mHolders[next->second.mModel].push_back(engine);
    }
  }
  ConvertNeeds(snapshot);
  DistributeLoad(snapshot);
  for (const EngineTracker* engine : snapshot.mEngines) {
    mEngineLevels[engine->LastHeartbeat().mTarget] = snapshot.LevelOf(engine);
  }
  return snapshot;
}

void ResidencyPlanner::ConvertNeeds(ServiceSnapshot& aSnapshot)
{
  struct Servers
  {
    double mSpeed = 0;
    std::size_t mCount = 0;
  };
  std::unordered_map<ModelName, Servers> servers;
  for (const EngineTracker* engine : aSnapshot.mEngines) {
    for (const HeldModel& model : engine->Serving()) {
      Servers& serving = servers[model.mName];
      serving.mSpeed += aSnapshot.SpeedOf(engine);
      ++serving.mCount;
    }
  }
  for (auto& [model, need] : aSnapshot.mNeed) {
    if (const auto it = servers.find(model); it != servers.end()) {
      need *= it->second.mSpeed / static_cast<double>(it->second.mCount);
    }
  }
}

void ResidencyPlanner::DistributeLoad(ServiceSnapshot& aSnapshot) const
{
  for (int round = 0; round < kDistributionRounds; ++round) {
    for (const auto& [model, holders] : aSnapshot.mHolders) {
      for (const EngineTracker* engine : holders) {
        double& share = aSnapshot.mShares[engine][model];
        aSnapshot.mLoad[engine] -= share;
        share = 0;
      }
      // Water-filling: raise the least loaded holders to a common level of
      // load divided by speed.
      std::vector<const EngineTracker*> order = holders;
      std::ranges::sort(order, {}, [&](const EngineTracker* aEngine) {
        return aSnapshot.LevelOf(aEngine);
      });
      const double need = aSnapshot.NeedOf(model);
      double level = 0;
      double below = 0;
      double speed = 0;
      for (std::size_t n = 1; n <= order.size(); ++n) {
        below += aSnapshot.mLoad[order[n - 1]];
        speed += aSnapshot.SpeedOf(order[n - 1]);
        level = (need + below) / speed;
        if (n == order.size() || level <= aSnapshot.LevelOf(order[n])) {
          break;
        }
      }
      for (const EngineTracker* engine : order) {
        const double share = std::max(0.0, level * aSnapshot.SpeedOf(engine) -
                                             aSnapshot.mLoad[engine]);
        aSnapshot.mShares[engine][model] = share;
        aSnapshot.mLoad[engine] += share;
      }
    }
  }
  // In the order of the engines' names: the order of mLoad depends on addresses
  // and changes the last bits of the sum.
  const double total =
    std::accumulate(aSnapshot.mEngines.begin(), aSnapshot.mEngines.end(), 0.0,
                    [&](double aSum, const EngineTracker* aEngine) {
                      return aSum + aSnapshot.mLoad[aEngine];
                    });
  aSnapshot.mMeanLoad =
    aSnapshot.mEngines.empty()
      ? 0
      : (total - aSnapshot.mWithheld) / aSnapshot.mTotalSpeed;
}

} // namespace carobtide
