#include "placement_simulation.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

namespace {

Bundle MakeBundle(const std::vector<std::uint32_t>& aVersions, Bytes aMemory)
{
  Bundle bundle;
  bundle.mVersion = aVersions.front();
  for (std::size_t n = 0; n < aVersions.size(); ++n) {
    ModelSpec model;
    model.mName = ModelName("m" + std::to_string(n));
    model.mVersion = aVersions[n];
    model.mPool = "pool";
    model.mMemory = aMemory;
    bundle.mModels.push_back(model);
  }
  return bundle;
}

PlacementSimulation MakeSimulation(std::size_t aEngines, Bytes aMemory)
{
  PlacementSimulation simulation(1);
  for (std::size_t n = 0; n < aEngines; ++n) {
    FakeEngineOptions options;
    options.mMemory = aMemory;
    options.mDomain = FailureDomain(std::string(1, "abc"[n % 3]));
    options.mChecksFencing = n % 2 == 0;
    simulation.AddEngine("t" + std::to_string(n), options);
  }
  return simulation;
}

} // namespace

TEST_CASE("a roll with room for one spare replica relocates replicas")
{
  // Three models on four targets that hold one replica each: every new version
  // needs the memory that the previous unload freed.
  PlacementSimulation simulation = MakeSimulation(4, 15);
  simulation.SetBundle(MakeBundle({ 1, 1, 1 }, 10));
  REQUIRE(simulation.RunUntilSettled(120s));
  simulation.SetBundle(MakeBundle({ 2, 2, 2 }, 10));
  CHECK(simulation.RunUntilSettled(300s));
  CHECK(simulation.IsBundleResident());
  CHECK(simulation.HoldsOnlyBundle());
  CHECK(simulation.ViolationSummary() == "none");
}

TEST_CASE("a new leader completes a roll that was superseded half-way")
{
  PlacementSimulation simulation = MakeSimulation(5, 25);
  simulation.SetBundle(MakeBundle({ 1, 1, 1, 1, 1, 1 }, 10));
  REQUIRE(simulation.RunUntilSettled(120s));
  simulation.SetBundle(MakeBundle({ 2, 2, 2, 2, 2, 2 }, 10));
  simulation.Run(4s);
  simulation.ChangeLeader();
  simulation.Run(4s);
  simulation.SetBundle(MakeBundle({ 3, 1, 3, 1, 3, 1 }, 10));
  simulation.Run(3s);
  simulation.ChangeLeader();
  CHECK(simulation.RunUntilSettled(300s));
  CHECK(simulation.IsBundleResident());
  CHECK(simulation.HoldsOnlyBundle());
  CHECK(simulation.ViolationSummary() == "none");
}

TEST_CASE("a roll completes after a target is lost")
{
  PlacementSimulation simulation = MakeSimulation(6, 25);
  simulation.SetBundle(MakeBundle({ 1, 1, 1, 1, 1, 1 }, 10));
  REQUIRE(simulation.RunUntilSettled(120s));
  simulation.SetBundle(MakeBundle({ 2, 2, 2, 2, 2, 2 }, 10));
  simulation.Run(3s);
  simulation.StopEngine("t2");
  CHECK(simulation.RunUntilSettled(300s));
  CHECK(simulation.IsBundleResident());
  CHECK(simulation.ViolationSummary() == "none");
}

TEST_CASE(
  "sole replicas on a leaving target are loaded elsewhere before it stops")
{
  PlacementSimulation simulation = MakeSimulation(4, 25);
  simulation.SetBundle(MakeBundle({ 1, 1, 1, 1, 1, 1 }, 10));
  REQUIRE(simulation.RunUntilSettled(120s));
  simulation.Engine("t1").SetLeaving(true);
  simulation.Run(30s);
  simulation.StopEngine("t1");
  CHECK(simulation.IsBundleResident());
  CHECK(simulation.ViolationSummary() == "none");
}

TEST_CASE("the simulation detects violations of the invariants")
{
  PlacementSimulation simulation = MakeSimulation(2, 25);
  simulation.SetBundle(MakeBundle({ 1, 1 }, 10));
  REQUIRE(simulation.RunUntilSettled(120s));
  REQUIRE(simulation.ViolationSummary() == "none");
  SECTION("overcommitted memory")
  {
    simulation.Engine("t0").Resident().push_back(
      { ModelName("x"), {}, 1, 20, {} });
    simulation.Run(100ms);
    CHECK(simulation.ViolationSummary().starts_with("overcommitted: t0"));
  }
  SECTION("a model without a serving replica")
  {
    simulation.Engine("t0").Resident().clear();
    simulation.Engine("t1").Resident().clear();
    simulation.Run(100ms);
    CHECK(simulation.ViolationSummary().starts_with("not served: m0"));
  }
  SECTION("more concurrent loads than the store allows")
  {
    Bundle bundle = MakeBundle({ 1, 1 }, 10);
    bundle.mStore.mMaxConcurrentLoads = 0;
    simulation.SetBundle(bundle);
    Order order;
    order.mIncarnation = Incarnation(1);
    order.mModel = ModelName("y");
    simulation.Engine("t1").Deliver(simulation.Now(), order);
    simulation.Run(100ms);
    CHECK(simulation.ViolationSummary().starts_with("too many loads at once"));
  }
  SECTION("a higher load rate than the store allows")
  {
    PlacementSimulation fresh = MakeSimulation(2, 25);
    Bundle bundle = MakeBundle({ 1, 1 }, 10);
    fresh.SetBundle(bundle);
    fresh.Run(5s);
    REQUIRE(fresh.Sent(OrderAction::Load) > 1);
    REQUIRE(fresh.ViolationSummary() == "none");
    bundle.mStore.mLoadsPerSecond = 0.0;
    fresh.SetBundle(bundle);
    fresh.Run(100ms);
    CHECK(
      fresh.ViolationSummary().starts_with("too many loads in ten seconds"));
  }
}
