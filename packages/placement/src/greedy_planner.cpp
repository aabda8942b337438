#include "packing.hpp"
#include "planners.hpp"

#include <algorithm>

namespace carobtide {

namespace {

/** Places replicas in proportion to the last demand, on empty targets. */
class GreedyPlanner final : public Planner
{
public:
  std::string_view Name() const override { return "greedy"; }

  Plan MakePlan(const PlannerInput& aInput) override
  {
    Packing packing(aInput, false);
    PlaceFirstReplicas(packing);
    bool hasGrown = true;
    while (hasGrown) {
      hasGrown = AddMostLoaded(packing, aInput);
    }
    return packing.ToPlan();
  }

private:
  static double LoadOf(const PlannerInput& aInput, const ModelName& aModel)
  {
    if (aInput.mDemand == nullptr) {
      return 0.0;
    }
    const auto it = aInput.mDemand->find(aModel);
    return it == aInput.mDemand->end() ? 0.0 : it->second.mFast;
  }

  /** One round: a replica more for each model above the mean per replica. */
  static bool AddMostLoaded(Packing& aPacking, const PlannerInput& aInput)
  {
    std::vector<std::pair<double, Packing::Index>> order;
    for (const Packing::Index m : aPacking.BySize()) {
      const Packing::Model& model = aPacking.Models()[m];
      const std::size_t n = model.mTargets.size();
      const double load = LoadOf(aInput, model.mSpec->mName);
      if (n != 0 && n < model.mMaxReplicas && load > 0.0) {
        order.emplace_back(load / static_cast<double>(n), m);
      }
    }
    std::ranges::stable_sort(order, [](const auto& aLeft, const auto& aRight) {
      return aLeft.first > aRight.first;
    });
    if (order.empty()) {
      return false;
    }
    const double bar = order.front().first / 2;
    bool hasGrown = false;
    for (const auto& [load, m] : order) {
      if (hasGrown && load < bar) {
        break;
      }
      if (const auto room = FindRoom(aPacking, m)) {
        aPacking.Add(m, *room);
        hasGrown = true;
      }
    }
    return hasGrown;
  }
};

} // namespace

std::unique_ptr<Planner> MakeGreedyPlanner()
{
  return std::make_unique<GreedyPlanner>();
}

} // namespace carobtide
