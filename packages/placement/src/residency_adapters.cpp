// Which adapters engines hold: one at a time, as they are asked for.
#include "carobtide/placement/residency_planner.hpp"

#include <algorithm>

namespace carobtide {

namespace {

/** A wanted adapter is forgotten after this: its caller has gone on. */
constexpr Duration kWantedFor = std::chrono::milliseconds(400);
/** Time an adapter takes at most when few are on their way. */
constexpr Duration kAdapterTime = std::chrono::milliseconds(20);
/**
 * An adapter asked for this lately is on its way to its request, or in use
 * there before any report says so: reports come every 250 ms.
 */
constexpr Duration kAdapterRest = std::chrono::milliseconds(350);
/** Load that an engine must be better by to be worth an unload first. */
constexpr double kUnloadScore = 0.25;

bool HoldsAdapter(const HeldModel& aModel, const AdapterName& aAdapter)
{
  return std::ranges::find(aModel.mAdapters, aAdapter) !=
         aModel.mAdapters.end();
}

} // namespace

void ResidencyPlanner::RequestAdapter(Instant aNow,
                                      const EnsureAdapter& aWanted)
{
  const ModelKey key{ aWanted.mService, aWanted.mModel, aWanted.mAdapter };
  mWanted[key] = aNow + kWantedFor;
  mDemand.NoteArrival(aNow, key);
}

std::vector<TargetName> ResidencyPlanner::HoldersOf(const ModelKey& aKey) const
{
  std::vector<TargetName> holders;
  for (const auto& [name, engine] : mEngines) {
    const HeldModel* model = engine.Find(aKey.mModel);
    if (engine.IsUsable() && engine.Last().mService == aKey.mService &&
        model != nullptr && HoldsAdapter(*model, aKey.mAdapter)) {
      holders.push_back(name);
    }
  }
  return holders;
}

ResidencyPlanner::AdapterPlace ResidencyPlanner::FindAdapterPlace(
  Instant aNow, Board& aBoard, const ModelKey& aKey) const
{
  AdapterPlace best;
  double bestScore = 0;
  for (EngineTracker* engine : aBoard.mEngines) {
    const HeldModel* model = engine->Find(aKey.mModel);
    const bool isFit = model != nullptr && engine->IsFree(aNow) &&
                       !HoldsAdapter(*model, aKey.mAdapter);
    if (!isFit) {
      continue;
    }
    const bool isFull =
      AdaptersOn(*engine) >= aBoard.mService->mEngine->mAdapterSlots;
    const auto victim =
      isFull ? SpareAdapter(aNow, aKey.mService, *engine) : std::nullopt;
    if (isFull && !victim) {
      continue;
    }
    const double score = aBoard.mLoad[engine] + (isFull ? kUnloadScore : 0);
    if (best.mEngine == nullptr || score < bestScore) {
      best = { engine, victim };
      bestScore = score;
    }
  }
  return best;
}

std::optional<ModelKey> ResidencyPlanner::SpareAdapter(
  Instant aNow, const ServiceName& aService, const EngineTracker& aEngine) const
{
  std::optional<ModelKey> oldest;
  for (const ModelName& name : aEngine.Occupying()) {
    const HeldModel* model = aEngine.Find(name);
    if (model == nullptr) {
      continue;
    }
    for (const AdapterName& adapter : model->mAdapters) {
      const ModelKey key{ aService, name, adapter };
      const Instant arrived = mDemand.LastArrival(key);
      const bool isSpare =
        aNow - arrived >= kAdapterRest && !mDemand.IsInUse(aNow, key);
      if (isSpare && (!oldest || arrived < mDemand.LastArrival(*oldest))) {
        oldest = key;
      }
    }
  }
  return oldest;
}

std::size_t ResidencyPlanner::AdaptersOn(const EngineTracker& aEngine)
{
  std::size_t count = 0;
  for (const ModelName& name : aEngine.Occupying()) {
    const HeldModel* model = aEngine.Find(name);
    count += model == nullptr ? 0 : model->mAdapters.size();
  }
  return count;
}

void ResidencyPlanner::PlanAdapters(Instant aNow, Board& aBoard,
                                    std::vector<ResidencyEffect>& aEffects)
{
  std::erase_if(mWanted,
                [&](const auto& aItem) { return aNow >= aItem.second; });
  for (auto it = mWanted.begin(); it != mWanted.end();) {
    const ModelKey key = it->first;
    const AdapterPlace place = key.mService == aBoard.mService->mName
                                 ? FindAdapterPlace(aNow, aBoard, key)
                                 : AdapterPlace{};
    if (place.mEngine == nullptr) {
      ++it;
      continue;
    }
    if (place.mVictim) {
      // The adapter takes the place once the unload is answered.
      Issue(aNow, *place.mEngine, ResidencyAction::Unload,
            place.mVictim->mModel, place.mVictim->mAdapter, kUnloadTime,
            "place for another adapter", aEffects);
      ++it;
      continue;
    }
    Issue(aNow, *place.mEngine, ResidencyAction::Load, key.mModel, key.mAdapter,
          kAdapterTime, "adapter asked for", aEffects);
    it = mWanted.erase(it);
  }
}

} // namespace carobtide
