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
constexpr double kHighLevel = 0.9;

/** Utilization below which a replica may be taken away. */
constexpr double kLowLevel = 0.6;

/** How far below the model that takes its place a model must stay. */
constexpr double kSwapMargin = 0.1;

/** Load, in accelerators, below which a model makes way for any other. */
constexpr double kQuietLoad = 0.05;

/** Least fall of a model's utilization that is worth a load. */
constexpr double kLeastGain = 0.05;

/** Rounds over all models in which the estimated split settles. */
constexpr unsigned kSplitRounds = 10;

/** Loads that one plan may add beyond first replicas, per target. */
constexpr double kMovesPerTarget = 1.0 / 16;

/** Loads that one plan may add beyond first replicas, at least. */
constexpr std::size_t kLeastMoves = 4;

/** One run of the planner. */
class DemandRun
{
public:
  explicit DemandRun(const PlannerInput& aInput)
    : mPacking(aInput, true)
    , mSplit(mPacking, Forecast(mPacking, aInput))
    , mMovesLeft(kLeastMoves + static_cast<std::size_t>(
                                 kMovesPerTarget *
                                 static_cast<double>(aInput.mTargets.size())))
  {
  }

  Plan Run()
  {
    DropExcess(mPacking);
    PlaceFirstReplicas(mPacking);
    mSplit.Settle(kSplitRounds);
    SpreadOverDomains();
    while (mMovesLeft > 0 && Grow()) {
      mSplit.Settle(1);
    }
    Fill();
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

  /** The higher of both averages: quick to follow a rise, slow to let go. */
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

  /** Gives models whose replicas share one domain a replica in another. */
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

  /** Adds one replica each to the models that need it most. */
  bool Grow()
  {
    std::vector<std::pair<double, Index>> order;
    for (Index m = 0; m < mPacking.Models().size(); ++m) {
      const Packing::Model& model = mPacking.Models()[m];
      const double level = mSplit.Level(m);
      if (!model.mTargets.empty() && level > kHighLevel &&
          mSplit.Load(m) >= kQuietLoad &&
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
      if (utilization > level - kLeastGain || mPacking.Holds(aModel, t) ||
          !CanMakeRoom(aModel, t)) {
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
    if (!best || level - mSplit.LevelWith(aModel, *best) < kLeastGain ||
        !MakeRoom(aModel, *best)) {
      return false;
    }
    AddReplica(aModel, *best);
    return true;
  }

  /**
   * Puts further replicas into memory that nothing else takes: second ones
   * first, then by load per replica. They widen what each target can serve.
   */
  void Fill()
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
    // Held replicas count as well: two models that displace each other in
    // turn would go on for ever.
    --mMovesLeft;
  }

  /**
   * True if the others can carry the model's load without this replica, and
   * stay clearly below the level of the model that takes its place.
   */
  bool IsReclaimable(Index aModel, Index aTarget, double aLevel) const
  {
    const Packing::Model& model = mPacking.Models()[aModel];
    const std::size_t least =
      std::max<std::size_t>(1, model.mSpec->mMinReplicas);
    const bool isQuiet = mSplit.Load(aModel) < kQuietLoad;
    if (model.mTargets.size() <= least ||
        (!isQuiet && mSplit.LevelWithout(aModel, aTarget) >
                       std::max(kLowLevel, aLevel - kSwapMargin))) {
      return false;
    }
    // The rest must not fall back into one failure domain.
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
   * Drops replicas with the least load there until the model fits. False if
   * dropping some left no other to drop.
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
