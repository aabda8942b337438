#include "carobtide/placement/planner.hpp"

#include "planners.hpp"

#include <algorithm>
#include <array>

namespace carobtide {

namespace {

struct PlannerRow
{
  std::string_view mName;
  std::unique_ptr<Planner> (*mMake)();
};

constexpr std::array kPlanners{
  PlannerRow{ "demand", MakeDemandPlanner },
  PlannerRow{ "static-spread", MakeStaticSpreadPlanner },
  PlannerRow{ "greedy", MakeGreedyPlanner },
};

} // namespace

std::vector<std::string_view> PlannerNames()
{
  std::vector<std::string_view> names;
  std::ranges::transform(kPlanners, std::back_inserter(names),
                         &PlannerRow::mName);
  return names;
}

std::unique_ptr<Planner> MakePlanner(std::string_view aName)
{
  const auto it = std::ranges::find(kPlanners, aName, &PlannerRow::mName);
  return it == kPlanners.end() ? nullptr : it->mMake();
}

} // namespace carobtide
