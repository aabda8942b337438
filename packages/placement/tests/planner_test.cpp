#include "carobtide/placement.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace carobtide;

namespace {

Bundle MakeBundle(std::size_t aModels, Bytes aMemory,
                  std::uint32_t aVersion = 1)
{
  Bundle bundle;
  for (std::size_t n = 0; n < aModels; ++n) {
    ModelSpec model;
    model.mName = ModelName("m" + std::to_string(n));
    model.mPool = "pool";
    model.mVersion = aVersion;
    model.mMemory = aMemory;
    bundle.mModels.push_back(model);
  }
  return bundle;
}

std::vector<PlannerTarget> MakeTargets(std::size_t aTargets, Bytes aMemory)
{
  std::vector<PlannerTarget> targets;
  for (std::size_t n = 0; n < aTargets; ++n) {
    PlannerTarget target;
    target.mName = TargetName("t" + std::to_string(n));
    target.mFailureDomain = FailureDomain(std::string(1, "abc"[n % 3]));
    target.mPool = "pool";
    target.mMemory = aMemory;
    targets.push_back(target);
  }
  return targets;
}

void SetHeldCopies(std::vector<PlannerTarget>& aTargets, const Plan& aPlan,
                   Bytes aMemory)
{
  for (PlannerTarget& target : aTargets) {
    target.mHolds.clear();
    for (const WantedCopy& copy : aPlan.mCopies) {
      if (copy.mTarget == target.mName) {
        target.mHolds.push_back(
          { copy.mModel, copy.mAdapter, copy.mVersion, aMemory, {} });
      }
    }
  }
}

std::map<ModelName, std::set<FailureDomain>> DomainsOf(
  const Plan& aPlan, const std::vector<PlannerTarget>& aTargets)
{
  std::map<ModelName, std::set<FailureDomain>> domains;
  for (const WantedCopy& copy : aPlan.mCopies) {
    const auto it =
      std::ranges::find(aTargets, copy.mTarget, &PlannerTarget::mName);
    domains[copy.mModel].insert(it->mFailureDomain);
  }
  return domains;
}

using Replica = std::tuple<ModelName, TargetName>;

std::set<Replica> ReplicasOf(const Plan& aPlan)
{
  std::set<Replica> replicas;
  for (const WantedCopy& copy : aPlan.mCopies) {
    replicas.emplace(copy.mModel, copy.mTarget);
  }
  return replicas;
}

} // namespace

TEST_CASE("every model is placed before any has a second replica")
{
  const Bundle bundle = MakeBundle(12, 10);
  for (const std::string_view name : PlannerNames()) {
    PlannerInput input;
    input.mBundle = &bundle;
    input.mTargets = MakeTargets(4, 30); // Room for exactly twelve replicas.
    DemandTable demand;
    demand[ModelName("m0")] = { 50.0, 50.0 };
    input.mDemand = &demand;
    const Plan plan = MakePlanner(name)->MakePlan(input);
    INFO(name);
    CHECK(plan.mUnplaced.empty());
    CHECK(DomainsOf(plan, input.mTargets).size() == 12);
    CHECK(plan.mCopies.size() == 12);
  }
}

TEST_CASE("replicas of a model are in at least two failure domains")
{
  const Bundle bundle = MakeBundle(6, 10);
  PlannerInput input;
  input.mBundle = &bundle;
  input.mTargets = MakeTargets(6, 30);
  const auto planner = MakePlanner("demand");
  Plan plan;
  for (int n = 0; n < 10; ++n) { // Each plan adds only a few replicas.
    plan = planner->MakePlan(input);
    SetHeldCopies(input.mTargets, plan, 10);
  }
  CHECK(plan.mCopies.size() == 18);
  for (const auto& [model, domains] : DomainsOf(plan, input.mTargets)) {
    INFO(model.Text());
    CHECK(domains.size() >= 2);
  }
}

TEST_CASE("plans converge and stay the same for unchanged inputs")
{
  const Bundle bundle = MakeBundle(20, 10);
  DemandTable demand;
  for (std::size_t n = 0; n < 20; ++n) {
    const double load = static_cast<double>(n) / 20.0;
    demand[ModelName("m" + std::to_string(n))] = { load, load };
  }
  for (const std::string_view name : PlannerNames()) {
    const auto planner = MakePlanner(name);
    PlannerInput input;
    input.mBundle = &bundle;
    input.mTargets = MakeTargets(16, 40);
    input.mDemand = &demand;
    Plan plan;
    for (int n = 0; n < 30; ++n) {
      plan = planner->MakePlan(input);
      SetHeldCopies(input.mTargets, plan, 10);
    }
    INFO(name);
    CHECK(ReplicasOf(planner->MakePlan(input)) == ReplicasOf(plan));
  }
}

TEST_CASE("a demand peak gets more replicas and idle models keep one")
{
  const Bundle bundle = MakeBundle(8, 10);
  PlannerInput input;
  input.mBundle = &bundle;
  input.mTargets =
    MakeTargets(6, 20); // Room for twelve replicas of eight models.
  DemandTable demand;
  input.mDemand = &demand;
  const auto planner = MakePlanner("demand");
  SetHeldCopies(input.mTargets, planner->MakePlan(input), 10);
  demand[ModelName("m3")] = { 4.0, 1.0 };
  Plan plan;
  for (int n = 0; n < 5; ++n) {
    plan = planner->MakePlan(input);
    SetHeldCopies(input.mTargets, plan, 10);
  }
  std::map<ModelName, int> replicas;
  for (const WantedCopy& copy : plan.mCopies) {
    ++replicas[copy.mModel];
  }
  CHECK(replicas.size() == 8);
  CHECK(replicas[ModelName("m3")] >= 4);
}

TEST_CASE("models of a leaving target are planned elsewhere")
{
  const Bundle bundle = MakeBundle(4, 10);
  PlannerInput input;
  input.mBundle = &bundle;
  input.mTargets = MakeTargets(3, 20);
  const auto planner = MakePlanner("demand");
  SetHeldCopies(input.mTargets, planner->MakePlan(input), 10);
  input.mTargets[0].mLeaving = true;
  const Plan plan = planner->MakePlan(input);
  CHECK(plan.mUnplaced.empty());
  CHECK(std::ranges::none_of(plan.mCopies, [&](const WantedCopy& aCopy) {
    return aCopy.mTarget == input.mTargets[0].mName;
  }));
}

TEST_CASE("a bundle that does not fit is refused with the missing memory")
{
  const auto targets = MakeTargets(3, 20);
  CHECK_FALSE(CheckFeasible(MakeBundle(6, 10), nullptr, targets));
  const auto tooMany = CheckFeasible(MakeBundle(7, 10), nullptr, targets);
  REQUIRE(tooMany);
  CHECK(tooMany->mMissingMemory == 10);
  const auto tooLarge = CheckFeasible(MakeBundle(1, 25), nullptr, targets);
  REQUIRE(tooLarge);
  CHECK(tooLarge->mModel == ModelName("m0"));
  CHECK(tooLarge->mMissingMemory == 5);
}

TEST_CASE("a bundle that fits only after a roll, not during it, is refused")
{
  const Bundle current = MakeBundle(3, 15);
  const Bundle next = MakeBundle(3, 15, 2);
  auto targets = MakeTargets(3, 20);
  PlannerInput input;
  input.mBundle = &current;
  input.mTargets = targets;
  SetHeldCopies(targets, MakePlanner("static-spread")->MakePlan(input), 15);
  CHECK_FALSE(CheckFeasible(next, nullptr, MakeTargets(3, 20)));
  const auto shortfall = CheckFeasible(next, &current, targets);
  REQUIRE(shortfall);
  CHECK(shortfall->mMissingMemory == 10);
  // One spare target is enough to roll the models one after the other.
  targets.push_back(MakeTargets(4, 20).back());
  CHECK_FALSE(CheckFeasible(next, &current, targets));
}
