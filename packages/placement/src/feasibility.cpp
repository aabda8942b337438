#include "packing.hpp"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace carobtide {

namespace {

using Index = Packing::Index;

/** A replica in the simulated roll. */
struct Replica
{
  /** Index in the next bundle; nullopt if the model is not in it. */
  std::optional<Index> mModel;
  bool mIsNew = false;
  Bytes mMemory = 0;
};

/** A target in the simulated roll. */
struct SimulatedTarget
{
  Bytes mFree = 0;
  std::vector<Replica> mReplicas;
};

/**
 * Simulates a roll: loads the new version of each model before its last old
 * replica is unloaded, and moves replicas elsewhere where memory is short.
 */
class RollSimulation
{
public:
  RollSimulation(const Packing& aGoal)
    : mGoal(aGoal)
    , mSimulatedTargets(aGoal.Targets().size())
    , mServingCounts(aGoal.Models().size(), 0)
    , mIsNew(aGoal.Models().size(), false)
  {
    for (Index m = 0; m < aGoal.Models().size(); ++m) {
      mByName.emplace(aGoal.Models()[m].mSpec->mName.Text(), m);
    }
    for (Index t = 0; t < mSimulatedTargets.size(); ++t) {
      AddTarget(t);
    }
  }

  /** The first model whose new version cannot be loaded; nullopt if none. */
  std::optional<Shortfall> Run()
  {
    while (true) {
      std::optional<Index> blocked;
      bool hasProgressed = false;
      for (const Index m : mGoal.BySize()) {
        if (mIsNew[m]) {
          continue;
        }
        if (LoadNewVersion(m)) {
          hasProgressed = true;
        } else if (!blocked) {
          blocked = m;
        }
      }
      if (!blocked) {
        return std::nullopt;
      }
      if (!hasProgressed && !RelocateReplica(*blocked)) {
        return Shortfall{ mGoal.Models()[*blocked].mSpec->mName,
                          MemoryShortfall(*blocked) };
      }
    }
  }

private:
  void AddTarget(Index aTarget)
  {
    const PlannerTarget& target = *mGoal.Targets()[aTarget].mTarget;
    SimulatedTarget& simulated = mSimulatedTargets[aTarget];
    simulated.mFree = target.mMemory;
    for (const ResidentModel& held : target.mHolds) {
      simulated.mFree -= held.mMemory;
      const auto it = mByName.find(held.mModel.Text());
      const auto model =
        it == mByName.end() ? std::nullopt : std::optional(it->second);
      const bool isNew =
        model && held.mAdapter.IsEmpty() &&
        mGoal.Models()[*model].mSpec->mVersion == held.mVersion;
      const auto existing =
        std::ranges::find_if(simulated.mReplicas, [&](const Replica& aReplica) {
          return model && aReplica.mModel == model && !held.mAdapter.IsEmpty();
        });
      if (existing != simulated.mReplicas.end()) {
        existing->mMemory += held.mMemory;
        continue;
      }
      simulated.mReplicas.push_back({ model, isNew, held.mMemory });
      if (model && held.mAdapter.IsEmpty() && !target.mLeaving) {
        ++mServingCounts[*model];
        mIsNew[*model] = mIsNew[*model] || isNew;
      }
    }
  }

  /** True if the replica can be unloaded without interrupting its model. */
  bool IsEvictable(const Replica& aReplica) const
  {
    if (!aReplica.mModel) {
      return true;
    }
    return mServingCounts[*aReplica.mModel] > 1 &&
           (!aReplica.mIsNew || CountNewReplicas(*aReplica.mModel) > 1);
  }

  std::size_t CountNewReplicas(Index aModel) const
  {
    std::size_t n = 0;
    for (const SimulatedTarget& simulated : mSimulatedTargets) {
      n += static_cast<std::size_t>(std::ranges::count_if(
        simulated.mReplicas, [&](const Replica& aReplica) {
          return aReplica.mModel == aModel && aReplica.mIsNew;
        }));
    }
    return n;
  }

  /** Free memory including that of evictable replicas, in bytes. */
  Bytes ReclaimableMemory(Index aTarget) const
  {
    Bytes available = mSimulatedTargets[aTarget].mFree;
    std::set<Index> seen;
    for (const Replica& replica : mSimulatedTargets[aTarget].mReplicas) {
      if (IsEvictable(replica) &&
          (!replica.mModel || seen.insert(*replica.mModel).second)) {
        available += replica.mMemory;
      }
    }
    return available;
  }

  void Evict(Index aTarget, Bytes aNeed)
  {
    SimulatedTarget& simulated = mSimulatedTargets[aTarget];
    for (auto it = simulated.mReplicas.begin();
         it != simulated.mReplicas.end() && simulated.mFree < aNeed;) {
      if (!IsEvictable(*it)) {
        ++it;
        continue;
      }
      simulated.mFree += it->mMemory;
      if (it->mModel) {
        --mServingCounts[*it->mModel];
      }
      it = simulated.mReplicas.erase(it);
    }
  }

  bool HasNewReplica(Index aModel, Index aTarget) const
  {
    return std::ranges::any_of(
      mSimulatedTargets[aTarget].mReplicas, [&](const Replica& aReplica) {
        return aReplica.mModel == aModel && aReplica.mIsNew;
      });
  }

  void PlaceNewVersion(Index aModel, Index aTarget)
  {
    const Bytes footprint = mGoal.Models()[aModel].mFootprint;
    Evict(aTarget, footprint);
    mSimulatedTargets[aTarget].mFree -= footprint;
    mSimulatedTargets[aTarget].mReplicas.push_back({ aModel, true, footprint });
    ++mServingCounts[aModel];
    mIsNew[aModel] = true;
  }

  std::optional<Index> FindRoomiestTarget(Index aModel) const
  {
    const Bytes need = mGoal.Models()[aModel].mFootprint;
    std::optional<Index> best;
    Bytes bestAvailable = 0;
    for (const Index t : mGoal.Pool(aModel)) {
      if (HasNewReplica(aModel, t)) {
        continue;
      }
      const Bytes available = ReclaimableMemory(t);
      if (available >= need && (!best || available > bestAvailable)) {
        best = t;
        bestAvailable = available;
      }
    }
    return best;
  }

  bool LoadNewVersion(Index aModel)
  {
    const auto target = FindRoomiestTarget(aModel);
    if (target) {
      PlaceNewVersion(aModel, *target);
    }
    return target.has_value();
  }

  /** Moves one replica elsewhere to make room for the model. */
  bool RelocateReplica(Index aModel)
  {
    const Bytes need = mGoal.Models()[aModel].mFootprint;
    for (const Index t : mGoal.Pool(aModel)) {
      const Bytes available = ReclaimableMemory(t);
      const std::vector<Replica> replicas = mSimulatedTargets[t].mReplicas;
      for (const Replica& replica : replicas) {
        if (IsEvictable(replica) || available + replica.mMemory < need ||
            replica.mModel == aModel) {
          continue;
        }
        const auto destination = FindRoomiestTarget(*replica.mModel);
        if (destination && *destination != t) {
          PlaceNewVersion(*replica.mModel, *destination);
          return FindRoomiestTarget(aModel).has_value();
        }
      }
    }
    return false;
  }

  /** Bytes by which the model exceeds the best target; at least 1. */
  Bytes MemoryShortfall(Index aModel) const
  {
    Bytes most = 0;
    for (const Index t : mGoal.Pool(aModel)) {
      most = std::max(most, ReclaimableMemory(t));
    }
    return std::max(Bytes{ 1 }, mGoal.Models()[aModel].mFootprint - most);
  }

  const Packing& mGoal;
  std::vector<SimulatedTarget> mSimulatedTargets;
  std::vector<std::size_t> mServingCounts;
  std::vector<bool> mIsNew;
  std::unordered_map<std::string_view, Index> mByName;
};

/** The largest model without a replica, and the memory that it lacks. */
std::optional<Shortfall> FindUnplaced(const Packing& aPacking)
{
  for (const Index m : aPacking.BySize()) {
    const Packing::Model& model = aPacking.Models()[m];
    if (!model.mTargets.empty()) {
      continue;
    }
    Bytes most = 0;
    for (const Index t : aPacking.Pool(m)) {
      most = std::max(most, aPacking.Targets()[t].mFree);
    }
    return Shortfall{ model.mSpec->mName,
                      std::max(Bytes{ 1 }, model.mFootprint - most) };
  }
  return std::nullopt;
}

} // namespace

std::optional<Shortfall> CheckFeasible(
  const Bundle& aNext, const Bundle* aCurrent,
  const std::vector<PlannerTarget>& aTargets)
{
  PlannerInput input;
  input.mBundle = &aNext;
  input.mTargets = aTargets;
  Packing goal(input, true);
  DropExcess(goal);
  PlaceFirstReplicas(goal);
  if (FindUnplaced(goal)) {
    Packing fresh(input, false);
    PlaceFirstReplicas(fresh);
    if (auto shortfall = FindUnplaced(fresh)) {
      return shortfall;
    }
  }
  if (aCurrent == nullptr) {
    return std::nullopt;
  }
  return RollSimulation(goal).Run();
}

} // namespace carobtide
