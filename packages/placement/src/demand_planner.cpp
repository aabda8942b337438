#include "load_split.hpp"
#include "packing.hpp"
#include "planners.hpp"

#include <algorithm>
#include <cmath>
#include <queue>
#include <tuple>

namespace carobtide {

namespace {

using Index = Packing::Index;

/** Utilization above which a model gets another replica. */
constexpr double kGrowUtilization = 0.9;

/** Utilization up to which a model may give up a replica. */
constexpr double kReclaimUtilization = 0.6;

/** Utilization by which a model must stay below the one that displaces it. */
constexpr double kSwapMargin = 0.1;

/** Load, in accelerators, below which any model may displace a replica. */
constexpr double kIdleLoad = 0.05;

/** Least decrease of a model's utilization that justifies a load. */
constexpr double kMinUtilizationGain = 0.05;

/** Iterations over all models until the estimated load split converges. */
constexpr unsigned kSplitIterations = 10;

/** Further replicas that one plan may add, per target. */
constexpr double kMovesPerTarget = 1.0 / 16;

/** Further replicas that one plan may always add. */
constexpr std::size_t kMinMoves = 4;

/** Computes one plan. */
class DemandRun
{
public:
  explicit DemandRun(const PlannerInput& aInput)
    : mPacking(aInput, true)
    , mSplit(mPacking, Forecast(mPacking, aInput))
    , mMovesLeft(kMinMoves + static_cast<std::size_t>(
                               kMovesPerTarget *
                               static_cast<double>(aInput.mTargets.size())))
  {
  }

  Plan Run()
  {
    DropExcess(mPacking);
    PlaceFirstReplicas(mPacking);
    mSplit.Settle(kSplitIterations);
    SpreadOverDomains();
    while (mMovesLeft > 0 && GrowOverloadedModels()) {
      mSplit.Settle(1);
    }
    FillFreeMemory();
    return mPacking.ToPlan();
  }

private:
  static std::vector<double> Forecast(const Packing& aPacking,
                                      const PlannerInput& aInput)
  {
    std::vector<double> loads;
    loads.reserve(aPacking.Models().size());
    for (const Packing::Model& model : aPacking.Models()) {
      loads.push_back(ForecastOf(aInput, model.mSpec->mName));
    }
    return loads;
  }

  /** Takes the higher average: rises show quickly, falls slowly. */
  static double ForecastOf(const PlannerInput& aInput, const ModelName& aModel)
  {
    if (aInput.mDemand == nullptr) {
      return 0.0;
    }
    const auto it = aInput.mDemand->find(aModel);
    return it == aInput.mDemand->end()
             ? 0.0
             : std::max(it->second.mFast, it->second.mSlow);
  }

  /** Moves a replica of each model that is in only one failure domain. */
  void SpreadOverDomains()
  {
    for (const Index m : mPacking.BySize()) {
      const std::vector<Index>& targets = mPacking.Models()[m].mTargets;
      if (targets.size() < 2 || mMovesLeft == 0) {
        continue;
      }
      const std::uint32_t domain = mPacking.Targets()[targets[0]].mDomain;
      const bool isSpread = std::ranges::any_of(targets, [&](Index aTarget) {
        return mPacking.Targets()[aTarget].mDomain != domain;
      });
      if (isSpread) {
        continue;
      }
      const auto room = FindRoom(mPacking, m);
      if (!room || mPacking.Targets()[*room].mDomain == domain) {
        continue;
      }
      mPacking.Remove(m, targets.back());
      AddReplica(m, *room);
    }
  }

  /** Adds one replica to each overloaded model, highest priority first. */
  bool GrowOverloadedModels()
  {
    std::vector<std::pair<double, Index>> order;
    for (Index m = 0; m < mPacking.Models().size(); ++m) {
      const Packing::Model& model = mPacking.Models()[m];
      const double level = mSplit.Level(m);
      if (!model.mTargets.empty() && level > kGrowUtilization &&
          mSplit.Load(m) >= kIdleLoad &&
          model.mTargets.size() < model.mMaxReplicas) {
        order.emplace_back(-level * model.mSpec->mWeight, m);
      }
    }
    std::ranges::sort(order);
    bool hasGrown = false;
    for (const auto& [rank, m] : order) {
      if (mMovesLeft == 0) {
        break;
      }
      hasGrown |= GrowModel(m);
    }
    return hasGrown;
  }

  bool GrowModel(Index aModel)
  {
    const double level = mSplit.Level(aModel);
    std::optional<Index> best;
    std::pair<bool, double> bestRank;
    for (const Index t : mPacking.Pool(aModel)) {
      const double utilization = mSplit.Utilization(t);
      if (utilization > level - kMinUtilizationGain ||
          mPacking.Holds(aModel, t) || !CanMakeRoom(aModel, t)) {
        continue;
      }
      const bool isNewDomain =
        !mPacking.IsInDomain(aModel, mPacking.Targets()[t].mDomain);
      const std::pair<bool, double> rank{ isNewDomain, -utilization };
      if (!best || rank > bestRank) {
        best = t;
        bestRank = rank;
      }
    }
    if (!best ||
        level - mSplit.LevelWith(aModel, *best) < kMinUtilizationGain ||
        !MakeRoom(aModel, *best)) {
      return false;
    }
    AddReplica(aModel, *best);
    return true;
  }

  /**
   * Adds replicas in unused memory: second replicas first, then by load per
   * replica. This widens the choice of targets for each request.
   */
  void FillFreeMemory()
  {
    std::priority_queue<std::tuple<bool, double, Index>> queue;
    const auto push = [&](Index aModel) {
      const Packing::Model& model = mPacking.Models()[aModel];
      const std::size_t n = model.mTargets.size();
      if (n != 0 && n < model.mMaxReplicas) {
        queue.emplace(n == 1, mSplit.Load(aModel) / static_cast<double>(n),
                      aModel);
      }
    };
    for (Index m = 0; m < mPacking.Models().size(); ++m) {
      push(m);
    }
    while (mMovesLeft > 0 && !queue.empty()) {
      const Index m = std::get<Index>(queue.top());
      queue.pop();
      if (const auto room = FindRoom(mPacking, m)) {
        AddReplica(m, *room);
        push(m);
      }
    }
  }

  void AddReplica(Index aModel, Index aTarget)
  {
    mPacking.Add(aModel, aTarget);
    mSplit.Refill(aModel);
    // Replicas that are already held count too; otherwise two models that
    // displace each other would keep the planning loop running forever.
    --mMovesLeft;
  }

  /**
   * True if the model's other replicas can take over the load of this one and
   * stay clearly below `aLevel`, the utilization of the model that replaces it.
   */
  bool IsReclaimable(Index aModel, Index aTarget, double aLevel) const
  {
    const Packing::Model& model = mPacking.Models()[aModel];
    const std::size_t minReplicas =
      std::max<std::size_t>(1, model.mSpec->mMinReplicas);
    const bool isIdle = mSplit.Load(aModel) < kIdleLoad;
    if (model.mTargets.size() <= minReplicas ||
        (!isIdle && mSplit.LevelWithout(aModel, aTarget) >
                      std::max(kReclaimUtilization, aLevel - kSwapMargin))) {
      return false;
    }
    // The other replicas must not all be in one failure domain.
    const auto other = std::ranges::find_if(
      model.mTargets, [&](Index aOther) { return aOther != aTarget; });
    const std::uint32_t domain = mPacking.Targets()[*other].mDomain;
    return model.mTargets.size() == 2 ||
           std::ranges::any_of(model.mTargets, [&](Index aOther) {
             return aOther != aTarget &&
                    mPacking.Targets()[aOther].mDomain != domain;
           });
  }

  bool CanMakeRoom(Index aModel, Index aTarget) const
  {
    const double level = mSplit.Level(aModel);
    Bytes free = mPacking.Targets()[aTarget].mFree;
    const Bytes need = mPacking.Models()[aModel].mFootprint;
    if (free >= need) {
      return true;
    }
    for (const Index victim : mPacking.Targets()[aTarget].mModels) {
      if (IsReclaimable(victim, aTarget, level)) {
        free += mPacking.Models()[victim].mFootprint;
      }
    }
    return free >= need;
  }

  /**
   * Removes the replicas with the least load on the target until the model
   * fits. Returns false if no further replica can be removed.
   */
  bool MakeRoom(Index aModel, Index aTarget)
  {
    const double level = mSplit.Level(aModel);
    while (!mPacking.Fits(aModel, aTarget)) {
      std::optional<Index> victim;
      for (const Index m : mPacking.Targets()[aTarget].mModels) {
        if (IsReclaimable(m, aTarget, level) &&
            (!victim ||
             mSplit.Share(m, aTarget) < mSplit.Share(*victim, aTarget))) {
          victim = m;
        }
      }
      if (!victim) {
        return false;
      }
      mPacking.Remove(*victim, aTarget);
      mSplit.Refill(*victim);
    }
    return true;
  }

  Packing mPacking;
  LoadSplit mSplit;
  std::size_t mMovesLeft;
};

class DemandPlanner final : public Planner
{
public:
  std::string_view Name() const override { return "demand"; }

  Plan MakePlan(const PlannerInput& aInput) override
  {
    return DemandRun(aInput).Run();
  }
};

} // namespace

std::unique_ptr<Planner> MakeDemandPlanner()
{
  return std::make_unique<DemandPlanner>();
}

} // namespace carobtide
