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
  /** Index in the next bundle; nothing if that lacks the model. */
  std::optional<Index> mModel;
  bool mIsNew = false;
  Bytes mMemory = 0;
};

/** A target in the simulated roll. */
struct Host
{
  Bytes mFree = 0;
  std::vector<Replica> mReplicas;
};

/**
 * Simulates a roll: loads each model's new version before the last old
 * replica goes, and moves replicas out of the way where no room is left.
 */
class Transit
{
public:
  Transit(const Packing& aGoal)
    : mGoal(aGoal)
    , mHosts(aGoal.Targets().size())
    , mServing(aGoal.Models().size(), 0)
    , mIsNew(aGoal.Models().size(), false)
  {
    for (Index m = 0; m < aGoal.Models().size(); ++m) {
      mByName.emplace(aGoal.Models()[m].mSpec->mName.Text(), m);
    }
    for (Index t = 0; t < mHosts.size(); ++t) {
      AddHost(t);
    }
  }

  /** The first model that cannot be brought in; nothing if all can. */
  std::optional<Shortfall> Run()
  {
    while (true) {
      std::optional<Index> stuck;
      bool hasMoved = false;
      for (const Index m : mGoal.BySize()) {
        if (mIsNew[m]) {
          continue;
        }
        if (Bring(m)) {
          hasMoved = true;
        } else if (!stuck) {
          stuck = m;
        }
      }
      if (!stuck) {
        return std::nullopt;
      }
      if (!hasMoved && !MoveAside(*stuck)) {
        return Shortfall{ mGoal.Models()[*stuck].mSpec->mName,
                          MissingFor(*stuck) };
      }
    }
  }

private:
  void AddHost(Index aTarget)
  {
    const PlannerTarget& target = *mGoal.Targets()[aTarget].mTarget;
    Host& host = mHosts[aTarget];
    host.mFree = target.mMemory;
    for (const ResidentModel& held : target.mHolds) {
      host.mFree -= held.mMemory;
      const auto it = mByName.find(held.mModel.Text());
      const auto model =
        it == mByName.end() ? std::nullopt : std::optional(it->second);
      const bool isNew =
        model && held.mAdapter.IsEmpty() &&
        mGoal.Models()[*model].mSpec->mVersion == held.mVersion;
      const auto known =
        std::ranges::find_if(host.mReplicas, [&](const Replica& aReplica) {
          return model && aReplica.mModel == model && !held.mAdapter.IsEmpty();
        });
      if (known != host.mReplicas.end()) {
        known->mMemory += held.mMemory;
        continue;
      }
      host.mReplicas.push_back({ model, isNew, held.mMemory });
      if (model && held.mAdapter.IsEmpty() && !target.mLeaving) {
        ++mServing[*model];
        mIsNew[*model] = mIsNew[*model] || isNew;
      }
    }
  }

  bool IsSpare(const Replica& aReplica) const
  {
    if (!aReplica.mModel) {
      return true;
    }
    return mServing[*aReplica.mModel] > 1 &&
           (!aReplica.mIsNew || CountNew(*aReplica.mModel) > 1);
  }

  std::size_t CountNew(Index aModel) const
  {
    std::size_t n = 0;
    for (const Host& host : mHosts) {
      n += static_cast<std::size_t>(
        std::ranges::count_if(host.mReplicas, [&](const Replica& aReplica) {
          return aReplica.mModel == aModel && aReplica.mIsNew;
        }));
    }
    return n;
  }

  /** Memory free there once spare replicas are gone. */
  Bytes Room(Index aTarget) const
  {
    Bytes room = mHosts[aTarget].mFree;
    std::set<Index> seen;
    for (const Replica& replica : mHosts[aTarget].mReplicas) {
      if (IsSpare(replica) &&
          (!replica.mModel || seen.insert(*replica.mModel).second)) {
        room += replica.mMemory;
      }
    }
    return room;
  }

  void Evict(Index aTarget, Bytes aNeed)
  {
    Host& host = mHosts[aTarget];
    for (auto it = host.mReplicas.begin();
         it != host.mReplicas.end() && host.mFree < aNeed;) {
      if (!IsSpare(*it)) {
        ++it;
        continue;
      }
      host.mFree += it->mMemory;
      if (it->mModel) {
        --mServing[*it->mModel];
      }
      it = host.mReplicas.erase(it);
    }
  }

  bool HasNew(Index aModel, Index aTarget) const
  {
    return std::ranges::any_of(
      mHosts[aTarget].mReplicas, [&](const Replica& aReplica) {
        return aReplica.mModel == aModel && aReplica.mIsNew;
      });
  }

  void Put(Index aModel, Index aTarget)
  {
    const Bytes footprint = mGoal.Models()[aModel].mFootprint;
    Evict(aTarget, footprint);
    mHosts[aTarget].mFree -= footprint;
    mHosts[aTarget].mReplicas.push_back({ aModel, true, footprint });
    ++mServing[aModel];
    mIsNew[aModel] = true;
  }

  std::optional<Index> RoomiestFor(Index aModel) const
  {
    const Bytes need = mGoal.Models()[aModel].mFootprint;
    std::optional<Index> best;
    Bytes bestRoom = 0;
    for (const Index t : mGoal.Pool(aModel)) {
      if (HasNew(aModel, t)) {
        continue;
      }
      const Bytes room = Room(t);
      if (room >= need && (!best || room > bestRoom)) {
        best = t;
        bestRoom = room;
      }
    }
    return best;
  }

  bool Bring(Index aModel)
  {
    const auto target = RoomiestFor(aModel);
    if (target) {
      Put(aModel, *target);
    }
    return target.has_value();
  }

  /** Moves one replica elsewhere so that the model fits where it was. */
  bool MoveAside(Index aModel)
  {
    const Bytes need = mGoal.Models()[aModel].mFootprint;
    for (const Index t : mGoal.Pool(aModel)) {
      const Bytes room = Room(t);
      const std::vector<Replica> replicas = mHosts[t].mReplicas;
      for (const Replica& replica : replicas) {
        if (IsSpare(replica) || room + replica.mMemory < need ||
            replica.mModel == aModel) {
          continue;
        }
        const auto goesTo = RoomiestFor(*replica.mModel);
        if (goesTo && *goesTo != t) {
          Put(*replica.mModel, *goesTo);
          return RoomiestFor(aModel).has_value();
        }
      }
    }
    return false;
  }

  Bytes MissingFor(Index aModel) const
  {
    Bytes most = 0;
    for (const Index t : mGoal.Pool(aModel)) {
      most = std::max(most, Room(t));
    }
    return std::max(Bytes{ 1 }, mGoal.Models()[aModel].mFootprint - most);
  }

  const Packing& mGoal;
  std::vector<Host> mHosts;
  std::vector<std::size_t> mServing;
  std::vector<bool> mIsNew;
  std::unordered_map<std::string_view, Index> mByName;
};

/** The largest model that found no place, and what it lacks. */
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
  return Transit(goal).Run();
}

} // namespace carobtide
