#include "packing.hpp"

#include <algorithm>
#include <cassert>
#include <map>
#include <numeric>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace carobtide {

namespace {

Bytes FootprintOf(const ModelSpec& aSpec)
{
  return std::accumulate(aSpec.mAdapters.begin(), aSpec.mAdapters.end(),
                         aSpec.mMemory,
                         [](Bytes aSum, const AdapterSpec& aAdapter) {
                           return aSum + aAdapter.mMemory;
                         });
}

} // namespace

Packing::Packing(const PlannerInput& aInput, bool aKeepHeld)
{
  assert(aInput.mBundle != nullptr);
  AddModels(*aInput.mBundle);
  AddTargets(aInput);
  if (aKeepHeld) {
    AddHeld();
  }
}

void Packing::AddModels(const Bundle& aBundle)
{
  std::map<std::string_view, std::uint32_t> pools;
  mModels.reserve(aBundle.mModels.size());
  for (const ModelSpec& spec : aBundle.mModels) {
    const auto next = static_cast<std::uint32_t>(pools.size());
    Model model;
    model.mSpec = &spec;
    model.mFootprint = FootprintOf(spec);
    model.mPool = pools.try_emplace(spec.mPool, next).first->second;
    mModels.push_back(std::move(model));
  }
  mPools.resize(pools.size());
  mBySize.resize(mModels.size());
  std::iota(mBySize.begin(), mBySize.end(), Index{ 0 });
  std::ranges::stable_sort(mBySize, [&](Index aLeft, Index aRight) {
    return mModels[aLeft].mFootprint > mModels[aRight].mFootprint;
  });
}

void Packing::AddTargets(const PlannerInput& aInput)
{
  std::map<std::string_view, std::uint32_t> pools;
  std::unordered_map<std::string_view, Index> models;
  for (Index m = 0; m < mModels.size(); ++m) {
    pools.emplace(mModels[m].mSpec->mPool, mModels[m].mPool);
    models.emplace(mModels[m].mSpec->mName.Text(), m);
  }
  std::map<FailureDomain, std::uint32_t> domains;
  mTargets.reserve(aInput.mTargets.size());
  mHeld.resize(aInput.mTargets.size());
  for (const PlannerTarget& target : aInput.mTargets) {
    const auto index = static_cast<Index>(mTargets.size());
    const auto next = static_cast<std::uint32_t>(domains.size());
    Target entry;
    entry.mTarget = &target;
    entry.mFree = target.mMemory;
    entry.mFreeNow = target.mMemory;
    entry.mDomain =
      domains.try_emplace(target.mFailureDomain, next).first->second;
    for (const ResidentModel& held : target.mHolds) {
      entry.mFreeNow -= held.mMemory;
      const auto it = models.find(held.mModel.Text());
      if (held.mAdapter.IsEmpty() && it != models.end() &&
          mModels[it->second].mSpec->mVersion == held.mVersion) {
        mHeld[index].push_back(it->second);
      }
    }
    mTargets.push_back(std::move(entry));
    const auto pool = pools.find(target.mPool);
    if (pool != pools.end() && !target.mLeaving) {
      mPools[pool->second].push_back(index);
    }
    // Models without a pool may be placed on any target.
    const auto any = pools.find(std::string_view{});
    if (any != pools.end() && any != pool && !target.mLeaving) {
      mPools[any->second].push_back(index);
    }
  }
  mDomainCount = domains.size();
  for (Model& model : mModels) {
    const std::size_t limit = model.mSpec->mMaxReplicas == 0
                                ? mPools[model.mPool].size()
                                : model.mSpec->mMaxReplicas;
    model.mMaxReplicas = std::min(limit, mPools[model.mPool].size());
  }
}

void Packing::AddHeld()
{
  for (Index t = 0; t < mTargets.size(); ++t) {
    if (mTargets[t].mTarget->mLeaving) {
      continue;
    }
    for (const Index m : mHeld[t]) {
      const std::string& pool = mModels[m].mSpec->mPool;
      const bool isInPool = pool.empty() || pool == mTargets[t].mTarget->mPool;
      if (isInPool && mModels[m].mTargets.size() < mModels[m].mMaxReplicas &&
          !Holds(m, t)) {
        Add(m, t);
      }
    }
  }
}

bool Packing::Holds(Index aModel, Index aTarget) const
{
  return std::ranges::find(mTargets[aTarget].mModels, aModel) !=
         mTargets[aTarget].mModels.end();
}

bool Packing::Fits(Index aModel, Index aTarget) const
{
  return mTargets[aTarget].mFree >= mModels[aModel].mFootprint;
}

void Packing::Add(Index aModel, Index aTarget)
{
  assert(!Holds(aModel, aTarget));
  mModels[aModel].mTargets.push_back(aTarget);
  mTargets[aTarget].mModels.push_back(aModel);
  mTargets[aTarget].mFree -= mModels[aModel].mFootprint;
}

void Packing::Remove(Index aModel, Index aTarget)
{
  assert(Holds(aModel, aTarget));
  std::erase(mModels[aModel].mTargets, aTarget);
  std::erase(mTargets[aTarget].mModels, aModel);
  mTargets[aTarget].mFree += mModels[aModel].mFootprint;
}

bool Packing::IsInDomain(Index aModel, std::uint32_t aDomain,
                         std::optional<Index> aExcept) const
{
  return std::ranges::any_of(mModels[aModel].mTargets, [&](Index aTarget) {
    return aTarget != aExcept && mTargets[aTarget].mDomain == aDomain;
  });
}

bool Packing::WasHeld(Index aModel, Index aTarget) const
{
  return std::ranges::find(mHeld[aTarget], aModel) != mHeld[aTarget].end();
}

Plan Packing::ToPlan() const
{
  Plan plan;
  std::size_t most = 0;
  for (const Model& model : mModels) {
    most = std::max(most, model.mTargets.size());
    if (model.mTargets.empty()) {
      plan.mUnplaced.push_back(model.mSpec->mName);
    }
  }
  for (std::size_t n = 0; n < most; ++n) {
    for (const Model& model : mModels) {
      if (n >= model.mTargets.size()) {
        continue;
      }
      const ModelSpec& spec = *model.mSpec;
      const TargetName& name = mTargets[model.mTargets[n]].mTarget->mName;
      plan.mCopies.push_back({ spec.mName, {}, spec.mVersion, name });
      for (const AdapterSpec& adapter : spec.mAdapters) {
        plan.mCopies.push_back(
          { spec.mName, adapter.mName, adapter.mVersion, name });
      }
    }
  }
  return plan;
}

std::optional<Packing::Index> FindRoom(const Packing& aPacking,
                                       Packing::Index aModel)
{
  const Packing::Model& model = aPacking.Models()[aModel];
  std::optional<Packing::Index> best;
  std::tuple<bool, bool, Bytes> bestRank;
  for (const Packing::Index t : aPacking.Pool(aModel)) {
    if (!aPacking.Fits(aModel, t) || aPacking.Holds(aModel, t)) {
      continue;
    }
    const Packing::Target& target = aPacking.Targets()[t];
    const std::tuple<bool, bool, Bytes> rank{
      !aPacking.IsInDomain(aModel, target.mDomain),
      target.mFreeNow >= model.mFootprint, target.mFree
    };
    if (!best || rank > bestRank) {
      best = t;
      bestRank = rank;
    }
  }
  return best;
}

void DropExcess(Packing& aPacking)
{
  using Index = Packing::Index;
  for (Index t = 0; t < aPacking.Targets().size(); ++t) {
    while (aPacking.Targets()[t].mFree < 0) {
      // Remove models with the most replicas first; on a tie, the largest.
      const std::vector<Index>& models = aPacking.Targets()[t].mModels;
      const Index victim =
        *std::ranges::max_element(models, {}, [&](Index aModel) {
          const Packing::Model& model = aPacking.Models()[aModel];
          return std::pair(model.mTargets.size(), model.mFootprint);
        });
      aPacking.Remove(victim, t);
    }
  }
}

namespace {

using Index = Packing::Index;

/** A target for a replica and the replica that must give up its memory. */
struct Displacement
{
  Index mTarget = 0;
  Index mVictim = 0;
  /** Nullopt if the victim is a surplus replica, which is dropped. */
  std::optional<Index> mVictimDestination;
};

/** True if the model has more replicas than max(1, its minimum). */
bool IsSurplus(const Packing& aPacking, Index aModel)
{
  const Packing::Model& model = aPacking.Models()[aModel];
  return model.mTargets.size() >
         std::max<std::size_t>(1, model.mSpec->mMinReplicas);
}

/** Finds a replica whose removal or move frees enough memory for a model. */
std::optional<Displacement> FindDisplacement(const Packing& aPacking,
                                             Index aModel)
{
  const Bytes need = aPacking.Models()[aModel].mFootprint;
  std::optional<Displacement> best;
  std::pair<bool, Bytes> bestRank;
  for (const Index t : aPacking.Pool(aModel)) {
    if (aPacking.Holds(aModel, t)) {
      continue;
    }
    const Packing::Target& target = aPacking.Targets()[t];
    for (const Index victim : target.mModels) {
      const Bytes footprint = aPacking.Models()[victim].mFootprint;
      if (target.mFree + footprint < need) {
        continue;
      }
      const bool isSurplus = IsSurplus(aPacking, victim);
      const std::pair<bool, Bytes> rank{ isSurplus, -footprint };
      if (best && rank <= bestRank) {
        continue;
      }
      std::optional<Index> destination;
      if (!isSurplus) {
        destination = FindRoom(aPacking, victim);
        if (!destination) {
          continue;
        }
      }
      best = Displacement{ t, victim, destination };
      bestRank = rank;
    }
  }
  return best;
}

bool PlaceReplica(Packing& aPacking, Index aModel)
{
  if (const auto room = FindRoom(aPacking, aModel)) {
    aPacking.Add(aModel, *room);
    return true;
  }
  const auto displacement = FindDisplacement(aPacking, aModel);
  if (!displacement) {
    return false;
  }
  aPacking.Remove(displacement->mVictim, displacement->mTarget);
  if (displacement->mVictimDestination) {
    aPacking.Add(displacement->mVictim, *displacement->mVictimDestination);
  }
  aPacking.Add(aModel, displacement->mTarget);
  return true;
}

/** Assigns the model to a target after dropping surplus replicas there. */
bool EvictSurplus(Packing& aPacking, Index aModel)
{
  for (const Index t : aPacking.Pool(aModel)) {
    if (aPacking.Holds(aModel, t)) {
      continue;
    }
    Bytes free = aPacking.Targets()[t].mFree;
    std::vector<Index> victims;
    for (const Index victim : aPacking.Targets()[t].mModels) {
      if (IsSurplus(aPacking, victim)) {
        free += aPacking.Models()[victim].mFootprint;
        victims.push_back(victim);
      }
    }
    if (free < aPacking.Models()[aModel].mFootprint) {
      continue;
    }
    for (const Index victim : victims) {
      if (!aPacking.Fits(aModel, t)) {
        aPacking.Remove(victim, t);
      }
    }
    aPacking.Add(aModel, t);
    return true;
  }
  return false;
}

} // namespace

void PlaceFirstReplicas(Packing& aPacking)
{
  for (const Index m : aPacking.BySize()) {
    if (aPacking.Models()[m].mTargets.empty() && !PlaceReplica(aPacking, m)) {
      EvictSurplus(aPacking, m);
    }
  }
  for (const Index m : aPacking.BySize()) {
    const Packing::Model& model = aPacking.Models()[m];
    const std::size_t minReplicas =
      std::min<std::size_t>(model.mSpec->mMinReplicas, model.mMaxReplicas);
    while (!model.mTargets.empty() && model.mTargets.size() < minReplicas &&
           PlaceReplica(aPacking, m)) {
    }
  }
}

} // namespace carobtide
