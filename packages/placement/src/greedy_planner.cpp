#include "packing.hpp"
#include "planners.hpp"

#include <algorithm>
#include <queue>

namespace carobtide {

namespace {

using Index = Packing::Index;

/** Recomputes replica counts from the short-term demand for each plan. */
class GreedyPlanner final : public Planner
{
public:
  std::string_view Name() const override { return "greedy"; }

  Plan MakePlan(const PlannerInput& aInput) override
  {
    Packing packing(aInput, true);
    DropExcess(packing);
    const std::vector<std::size_t> counts = CountReplicas(packing, aInput);
    for (Index m = 0; m < packing.Models().size(); ++m) {
      while (packing.Models()[m].mTargets.size() > counts[m]) {
        packing.Remove(m, packing.Models()[m].mTargets.back());
      }
    }
    PlaceFirstReplicas(packing);
    for (const Index m : packing.BySize()) {
      while (packing.Models()[m].mTargets.size() < counts[m]) {
        const auto room = FindRoom(packing, m);
        if (!room) {
          break;
        }
        packing.Add(m, *room);
      }
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

  /** Assigns the total memory of all targets by highest load per replica. */
  static std::vector<std::size_t> CountReplicas(const Packing& aPacking,
                                                const PlannerInput& aInput)
  {
    Bytes memory = 0;
    for (const Packing::Target& target : aPacking.Targets()) {
      memory += target.mTarget->mMemory;
    }
    std::vector<std::size_t> counts(aPacking.Models().size(), 1);
    std::priority_queue<std::pair<double, Index>> queue;
    for (Index m = 0; m < counts.size(); ++m) {
      memory -= aPacking.Models()[m].mFootprint;
      queue.emplace(LoadOf(aInput, aPacking.Models()[m].mSpec->mName), m);
    }
    while (!queue.empty()) {
      const auto [load, m] = queue.top();
      queue.pop();
      const Packing::Model& model = aPacking.Models()[m];
      if (load <= 0.0 || counts[m] >= model.mMaxReplicas ||
          model.mFootprint > memory) {
        continue;
      }
      const auto n = static_cast<double>(counts[m]++);
      memory -= model.mFootprint;
      queue.emplace(load * n / (n + 1.0), m);
    }
    return counts;
  }
};

} // namespace

std::unique_ptr<Planner> MakeGreedyPlanner()
{
  return std::make_unique<GreedyPlanner>();
}

} // namespace carobtide
