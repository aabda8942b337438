// Which adapters engines hold: one at a time, as they are asked for.
#include "carobtide/placement/residency_planner.hpp"

#include <algorithm>

namespace carobtide {

namespace {

/** A wanted adapter is forgotten after this: its caller has gone on. */
constexpr Duration kWantedFor = std::chrono::milliseconds(400);
/** Time an adapter takes at most when few are on their way. */
constexpr Duration kAdapterTime = std::chrono::milliseconds(20);

bool HoldsAdapter(const HeldModel& aModel, const AdapterName& aAdapter)
{
  return std::ranges::find(aModel.mAdapters, aAdapter) !=
         aModel.mAdapters.end();
}

} // namespace

void ResidencyPlanner::WantAdapter(Instant aNow, const EnsureAdapter& aWanted)
{
  mWanted[ModelKey{ aWanted.mService, aWanted.mModel, aWanted.mAdapter }] =
    aNow + kWantedFor;
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

EngineBook* ResidencyPlanner::FindAdapterPlace(Instant aNow, Board& aBoard,
                                               const ModelKey& aKey) const
{
  EngineBook* best = nullptr;
  for (EngineBook* engine : aBoard.mEngines) {
    const HeldModel* model = engine->Find(aKey.mModel);
    const bool isFit = model != nullptr && engine->IsFree(aNow) &&
                       !HoldsAdapter(*model, aKey.mAdapter);
    if (isFit &&
        (best == nullptr || aBoard.mLoad[engine] < aBoard.mLoad[best])) {
      best = engine;
    }
  }
  return best;
}

std::optional<ModelKey> ResidencyPlanner::LeastUsedAdapter(
  const ServiceName& aService, const EngineBook& aEngine) const
{
  std::optional<ModelKey> oldest;
  for (const ModelName& name : aEngine.Occupying()) {
    const HeldModel* model = aEngine.Find(name);
    if (model == nullptr) {
      continue;
    }
    for (const AdapterName& adapter : model->mAdapters) {
      const ModelKey key{ aService, name, adapter };
      if (!oldest || mDemand.LastArrival(key) < mDemand.LastArrival(*oldest)) {
        oldest = key;
      }
    }
  }
  return oldest;
}

std::size_t ResidencyPlanner::AdaptersOn(const EngineBook& aEngine)
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
    EngineBook* place = key.mService == aBoard.mService->mName
                          ? FindAdapterPlace(aNow, aBoard, key)
                          : nullptr;
    if (place == nullptr) {
      ++it;
      continue;
    }
    if (AdaptersOn(*place) >= aBoard.mService->mEngine->mAdapterSlots) {
      // The adapter takes the place once its unload is answered.
      if (const auto victim = LeastUsedAdapter(key.mService, *place)) {
        Issue(aNow, *place, ResidencyAction::Unload, victim->mModel,
              victim->mAdapter, kUnloadTime, "place for another adapter",
              aEffects);
      }
      ++it;
      continue;
    }
    Issue(aNow, *place, ResidencyAction::Load, key.mModel, key.mAdapter,
          kAdapterTime, "adapter asked for", aEffects);
    it = mWanted.erase(it);
  }
}

} // namespace carobtide
