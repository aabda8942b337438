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

PlacementSimulation MakePump(std::size_t aEngines, Bytes aMemory)
{
  PlacementSimulation pump(1);
  for (std::size_t n = 0; n < aEngines; ++n) {
    FakeEngineOptions options;
    options.mMemory = aMemory;
    options.mDomain = FailureDomain(std::string(1, "abc"[n % 3]));
    options.mChecksFencing = n % 2 == 0;
    pump.AddEngine("t" + std::to_string(n), options);
  }
  return pump;
}

} // namespace

TEST_CASE("a roll with one spare place moves replicas out of the way")
{
  // Four targets with one place each, three models: each new version needs
  // the place that the previous one left.
  PlacementSimulation pump = MakePump(4, 15);
  pump.SetBundle(MakeBundle({ 1, 1, 1 }, 10));
  REQUIRE(pump.RunUntilSettled(120s));
  pump.SetBundle(MakeBundle({ 2, 2, 2 }, 10));
  CHECK(pump.RunUntilSettled(300s));
  CHECK(pump.IsBundleResident());
  CHECK(pump.IsCleanedUp());
  CHECK(pump.Summary() == "none");
}

TEST_CASE("a roll is superseded half-way and resumed by a new leader")
{
  PlacementSimulation pump = MakePump(5, 25);
  pump.SetBundle(MakeBundle({ 1, 1, 1, 1, 1, 1 }, 10));
  REQUIRE(pump.RunUntilSettled(120s));
  pump.SetBundle(MakeBundle({ 2, 2, 2, 2, 2, 2 }, 10));
  pump.Run(4s);
  pump.ChangeLeader();
  pump.Run(4s);
  pump.SetBundle(MakeBundle({ 3, 1, 3, 1, 3, 1 }, 10));
  pump.Run(3s);
  pump.ChangeLeader();
  CHECK(pump.RunUntilSettled(300s));
  CHECK(pump.IsBundleResident());
  CHECK(pump.IsCleanedUp());
  CHECK(pump.Summary() == "none");
}

TEST_CASE("a target lost half-way does not stop a roll")
{
  PlacementSimulation pump = MakePump(6, 25);
  pump.SetBundle(MakeBundle({ 1, 1, 1, 1, 1, 1 }, 10));
  REQUIRE(pump.RunUntilSettled(120s));
  pump.SetBundle(MakeBundle({ 2, 2, 2, 2, 2, 2 }, 10));
  pump.Run(3s);
  pump.StopEngine("t2");
  CHECK(pump.RunUntilSettled(300s));
  CHECK(pump.IsBundleResident());
  CHECK(pump.Summary() == "none");
}

TEST_CASE("a leaving target's only replicas are loaded elsewhere in time")
{
  PlacementSimulation pump = MakePump(4, 25);
  pump.SetBundle(MakeBundle({ 1, 1, 1, 1, 1, 1 }, 10));
  REQUIRE(pump.RunUntilSettled(120s));
  pump.Engine("t1").SetLeaving(true);
  pump.Run(30s);
  pump.StopEngine("t1");
  CHECK(pump.IsBundleResident());
  CHECK(pump.Summary() == "none");
}

TEST_CASE("the pump sees what the invariants forbid")
{
  PlacementSimulation pump = MakePump(2, 25);
  pump.SetBundle(MakeBundle({ 1, 1 }, 10));
  REQUIRE(pump.RunUntilSettled(120s));
  REQUIRE(pump.Summary() == "none");
  SECTION("overcommitted memory")
  {
    pump.Engine("t0").Resident().push_back({ ModelName("x"), {}, 1, 20, {} });
    pump.Run(100ms);
    CHECK(pump.Summary().starts_with("overcommitted: t0"));
  }
  SECTION("a model that nobody serves")
  {
    pump.Engine("t0").Resident().clear();
    pump.Engine("t1").Resident().clear();
    pump.Run(100ms);
    CHECK(pump.Summary().starts_with("not served: m0"));
  }
  SECTION("more loads at once than the store allows")
  {
    Bundle bundle = MakeBundle({ 1, 1 }, 10);
    bundle.mStore.mMaxConcurrentLoads = 0;
    pump.SetBundle(bundle);
    Order order;
    order.mIncarnation = Incarnation(1);
    order.mModel = ModelName("y");
    pump.Engine("t1").Deliver(pump.Now(), order);
    pump.Run(100ms);
    CHECK(pump.Summary().starts_with("too many loads at once"));
  }
  SECTION("more loads in a while than the store allows")
  {
    PlacementSimulation fresh = MakePump(2, 25);
    Bundle bundle = MakeBundle({ 1, 1 }, 10);
    fresh.SetBundle(bundle);
    fresh.Run(5s);
    REQUIRE(fresh.Sent(OrderAction::Load) > 1);
    REQUIRE(fresh.Summary() == "none");
    bundle.mStore.mLoadsPerSecond = 0.0;
    fresh.SetBundle(bundle);
    fresh.Run(100ms);
    CHECK(fresh.Summary().starts_with("too many loads in ten seconds"));
  }
}
