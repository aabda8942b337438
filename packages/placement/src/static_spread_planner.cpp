#include "packing.hpp"
#include "planners.hpp"

namespace carobtide {

namespace {

class StaticSpreadPlanner final : public Planner
{
public:
  std::string_view Name() const override { return "static-spread"; }

  Plan MakePlan(const PlannerInput& aInput) override
  {
    Packing packing(aInput, true);
    DropExcess(packing);
    PlaceFirstReplicas(packing);
    bool hasGrown = true;
    for (std::size_t count = 2; hasGrown; ++count) {
      hasGrown = GrowTo(packing, count);
    }
    return packing.ToPlan();
  }

private:
  /** Adds a replica to each model below `aCount`, if one fits. */
  static bool GrowTo(Packing& aPacking, std::size_t aCount)
  {
    bool hasGrown = false;
    for (const Packing::Index m : aPacking.BySize()) {
      const Packing::Model& model = aPacking.Models()[m];
      if (model.mTargets.empty() || model.mTargets.size() >= aCount ||
          model.mTargets.size() >= model.mMaxReplicas) {
        continue;
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

std::unique_ptr<Planner> MakeStaticSpreadPlanner()
{
  return std::make_unique<StaticSpreadPlanner>();
}

} // namespace carobtide
