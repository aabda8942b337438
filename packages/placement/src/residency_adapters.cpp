// Adapter planning: adapters are loaded one at a time, on request.
#include "carobtide/placement/residency_planner.hpp"

#include <algorithm>

namespace carobtide {

namespace {

/** Adapter requests expire after this time; the caller has given up by then. */
constexpr Duration kAdapterRequestLifetime = std::chrono::milliseconds(400);
/** Upper bound for the load time of an adapter when few are being loaded. */
constexpr Duration kAdapterLoadTime = std::chrono::milliseconds(20);
/**
 * An adapter is not unloaded within this time of its last request: it may be
 * loading or in use without being reported yet, as reports are sent every
 * 250 ms.
 */
constexpr Duration kAdapterGracePeriod = std::chrono::milliseconds(350);
/** Extra cost, in slots of load, of an engine that must unload an adapter. */
constexpr double kEvictionPenalty = 0.25;

bool HoldsAdapter(const HeldModel& aModel, const AdapterName& aAdapter)
{
  return std::ranges::find(aModel.mAdapters, aAdapter) !=
         aModel.mAdapters.end();
}

} // namespace

void ResidencyPlanner::RequestAdapter(Instant aNow,
                                      const EnsureAdapter& aRequest)
{
  const ModelKey key{ aRequest.mService, aRequest.mModel, aRequest.mAdapter };
  mRequestedAdapters[key] = aNow + kAdapterRequestLifetime;
  mDemand.NoteArrival(aNow, key);
}

std::vector<TargetName> ResidencyPlanner::HoldersOf(const ModelKey& aKey) const
{
  std::vector<TargetName> holders;
  for (const auto& [name, engine] : mEngines) {
    const HeldModel* model = engine.Find(aKey.mModel);
    if (engine.IsUsable() && engine.LastHeartbeat().mService == aKey.mService &&
        model != nullptr && HoldsAdapter(*model, aKey.mAdapter)) {
      holders.push_back(name);
    }
  }
  return holders;
}

ResidencyPlanner::AdapterCandidate ResidencyPlanner::FindAdapterCandidate(
  Instant aNow, const Service& aService, const ModelKey& aKey)
{
  AdapterCandidate best;
  double bestScore = 0;
  for (auto& [name, engine] : mEngines) {
    const HeldModel* model = engine.Find(aKey.mModel);
    const bool isEligible = model != nullptr && engine.IsFree(aNow) &&
                            engine.LastHeartbeat().mService == aService.mName &&
                            !HoldsAdapter(*model, aKey.mAdapter) &&
                            !engine.IsUnloading(aKey.mModel, aKey.mAdapter);
    if (!isEligible) {
      continue;
    }
    const bool isFull =
      engine.AdapterPlaces() >= aService.mEngine->mAdapterSlots;
    const auto victim =
      isFull ? FindEvictableAdapter(aNow, aKey.mService, engine) : std::nullopt;
    if (isFull && !victim) {
      continue;
    }
    const double score = mEngineLevels[name] + (isFull ? kEvictionPenalty : 0);
    if (best.mEngine == nullptr || score < bestScore) {
      best = { &engine, victim };
      bestScore = score;
    }
  }
  return best;
}

std::optional<ModelKey> ResidencyPlanner::FindEvictableAdapter(
  Instant aNow, const ServiceName& aService, const EngineTracker& aEngine) const
{
  std::optional<ModelKey> oldest;
  for (const ModelName& name : aEngine.ModelsUsingMemory()) {
    const HeldModel* model = aEngine.Find(name);
    if (model == nullptr) {
      continue;
    }
    for (const AdapterName& adapter : model->mAdapters) {
      const ModelKey key{ aService, name, adapter };
      const Instant arrived = mDemand.LastArrival(key);
      const bool isEvictable =
        aNow - arrived >= kAdapterGracePeriod && !mDemand.IsInUse(aNow, key);
      if (isEvictable && (!oldest || arrived < mDemand.LastArrival(*oldest))) {
        oldest = key;
      }
    }
  }
  return oldest;
}

void ResidencyPlanner::PlanAdapters(Instant aNow, const Service& aService,
                                    std::vector<ResidencyEffect>& aEffects)
{
  std::erase_if(mRequestedAdapters,
                [&](const auto& aItem) { return aNow >= aItem.second; });
  for (auto it = mRequestedAdapters.begin(); it != mRequestedAdapters.end();) {
    const ModelKey key = it->first;
    const AdapterCandidate candidate =
      key.mService == aService.mName ? FindAdapterCandidate(aNow, aService, key)
                                     : AdapterCandidate{};
    if (candidate.mEngine == nullptr) {
      ++it;
      continue;
    }
    if (candidate.mVictim) {
      // The request stays; the adapter is loaded once the unload is answered.
      Issue(aNow, *candidate.mEngine, ResidencyAction::Unload,
            candidate.mVictim->mModel, candidate.mVictim->mAdapter, kUnloadTime,
            "place for another adapter", aEffects);
      ++it;
      continue;
    }
    Issue(aNow, *candidate.mEngine, ResidencyAction::Load, key.mModel,
          key.mAdapter, kAdapterLoadTime, "adapter requested", aEffects);
    it = mRequestedAdapters.erase(it);
  }
}

} // namespace carobtide
