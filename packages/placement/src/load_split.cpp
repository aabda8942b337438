#include "load_split.hpp"

#include <algorithm>
#include <utility>

namespace carobtide {

LoadSplit::LoadSplit(const Packing& aPacking, std::vector<double> aLoads)
  : mPacking(aPacking)
  , mLoads(std::move(aLoads))
  , mLevels(mLoads.size(), 0.0)
  , mReplicaLoads(mLoads.size())
  , mTargetLoads(aPacking.Targets().size(), 0.0)
{
}

void LoadSplit::Settle(unsigned aRounds)
{
  for (unsigned n = 0; n < aRounds; ++n) {
    for (Index m = 0; m < mLoads.size(); ++m) {
      Refill(m);
    }
  }
}

void LoadSplit::Refill(Index aModel)
{
  for (const ReplicaLoad& replica : mReplicaLoads[aModel]) {
    mTargetLoads[replica.mTarget] -= replica.mLoad;
  }
  mReplicaLoads[aModel].clear();
  const std::vector<Index>& targets = mPacking.Models()[aModel].mTargets;
  const double level = LevelOver(aModel, targets);
  for (const Index t : targets) {
    const double room = level * Capacity(t) - mTargetLoads[t];
    const double load = std::max(0.0, room);
    mReplicaLoads[aModel].push_back({ t, load });
    mTargetLoads[t] += load;
  }
  mLevels[aModel] = level;
}

double LoadSplit::Utilization(Index aTarget) const
{
  return mTargetLoads[aTarget] / Capacity(aTarget);
}

double LoadSplit::LevelWithout(Index aModel, Index aTarget) const
{
  std::vector<Index> targets = mPacking.Models()[aModel].mTargets;
  std::erase(targets, aTarget);
  return LevelOver(aModel, targets);
}

double LoadSplit::LevelWith(Index aModel, Index aTarget) const
{
  std::vector<Index> targets = mPacking.Models()[aModel].mTargets;
  targets.push_back(aTarget);
  return LevelOver(aModel, targets);
}

double LoadSplit::Share(Index aModel, Index aTarget) const
{
  const auto& loads = mReplicaLoads[aModel];
  const auto it = std::ranges::find(loads, aTarget, &ReplicaLoad::mTarget);
  return it == loads.end() ? 0.0 : it->mLoad;
}

double LoadSplit::Capacity(Index aTarget) const
{
  constexpr double kMinCapacity = 1e-3;
  return std::max(kMinCapacity, mPacking.Targets()[aTarget].mTarget->mCapacity);
}

double LoadSplit::OtherLoad(Index aModel, Index aTarget) const
{
  return std::max(0.0, mTargetLoads[aTarget] - Share(aModel, aTarget));
}

double LoadSplit::LevelOver(Index aModel, std::span<const Index> aTargets) const
{
  constexpr double kLevelWithoutReplicas = 1e9;
  if (aTargets.empty()) {
    return kLevelWithoutReplicas;
  }
  // Sort the targets by the utilization caused by other models. Then raise the
  // least utilized ones to the level of the next until the load is used up.
  mScratch.clear();
  for (const Index t : aTargets) {
    const double capacity = Capacity(t);
    mScratch.emplace_back(OtherLoad(aModel, t) / capacity, capacity);
  }
  std::ranges::sort(mScratch);
  double capacity = 0.0;
  double totalLoad = mLoads[aModel];
  double level = 0.0;
  for (const auto& [utilization, addedCapacity] : mScratch) {
    if (capacity > 0.0 && totalLoad / capacity <= utilization) {
      break;
    }
    capacity += addedCapacity;
    totalLoad += utilization * addedCapacity;
    level = totalLoad / capacity;
  }
  return level;
}

} // namespace carobtide
