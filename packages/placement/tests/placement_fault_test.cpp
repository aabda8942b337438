#include "placement_simulation.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

namespace {

constexpr std::size_t kEngines = 6;

Bundle MakeBundle(std::size_t aModels, std::uint32_t aVersion = 1)
{
  Bundle bundle;
  bundle.mName = "desk";
  bundle.mVersion = aVersion;
  for (std::size_t n = 0; n < aModels; ++n) {
    ModelSpec model;
    model.mName = ModelName("m" + std::to_string(n));
    model.mVersion = aVersion;
    model.mPool = "pool";
    model.mMemory = 20 + static_cast<Bytes>(n % 3) * 5;
    for (std::size_t i = 0; i < n % 3; ++i) {
      model.mAdapters.push_back(
        { AdapterName("a" + std::to_string(i)), aVersion, 1 });
    }
    bundle.mModels.push_back(model);
  }
  bundle.mStore.mMaxConcurrentLoads = 3;
  bundle.mStore.mAdapterConcurrency = 5;
  return bundle;
}

void AddEngines(PlacementSimulation& aSimulation, Bytes aMemory,
                bool aMixed = true)
{
  for (std::size_t n = 0; n < kEngines; ++n) {
    FakeEngineOptions options;
    options.mMemory = aMemory;
    options.mDomain = FailureDomain(std::string(1, "abc"[n % 3]));
    options.mChecksFencing = aMixed && n % 2 == 0;
    aSimulation.AddEngine("t" + std::to_string(n), options);
  }
}

DemandTable MakeDemand(std::uint64_t aSeed, std::size_t aModels)
{
  RandomEngine random(aSeed);
  std::uniform_real_distribution<double> load(0.0, 1.2);
  DemandTable demand;
  for (std::size_t n = 0; n < aModels; ++n) {
    const double fast = load(random);
    demand[ModelName("m" + std::to_string(n))] = { fast, fast };
  }
  return demand;
}

SimulationFaults MakeFaults()
{
  SimulationFaults faults;
  faults.mOrderLost = 0.2;
  faults.mOrderTwice = 0.3;
  faults.mReportLost = 0.2;
  faults.mRefused = 0.05;
  faults.mLeaderChange = 0.1;
  faults.mTargetRestart = 0.005;
  faults.mTargetSilence = 0.01;
  faults.mDrain = 0.005;
  faults.mMaxOrderDelay = std::chrono::seconds(6);
  faults.mMaxReportDelay = std::chrono::seconds(3);
  faults.mMaxCommitDelay = std::chrono::seconds(2);
  return faults;
}

} // namespace

TEST_CASE("a bundle becomes resident without faults")
{
  for (const std::string_view planner : PlannerNames()) {
    PlacementOptions options;
    options.mPlanner = planner;
    PlacementSimulation simulation(1, options);
    AddEngines(simulation, 100);
    simulation.SetBundle(MakeBundle(10));
    INFO(planner);
    CHECK(simulation.RunUntilSettled(120s));
    CHECK(simulation.IsBundleResident());
    CHECK(simulation.ViolationSummary() == "none");
  }
}

TEST_CASE("an unload settles one order lifetime after the copy is gone")
{
  PlacementSimulation simulation(1);
  AddEngines(simulation, 60, false);
  simulation.SetBundle(MakeBundle(4));
  REQUIRE(simulation.RunUntilSettled(120s));
  simulation.SetBundle(MakeBundle(4, 2));
  // Resending an executed unload would restart its lifetime each time.
  std::map<OrderId, Instant> opened;
  Duration longest{ 0 };
  for (int tick = 0; tick < 600; ++tick) {
    simulation.Run(100ms);
    for (const auto& [id, order] : simulation.Record().OpenOrders()) {
      if (order.mAction == OrderAction::Unload) {
        const Instant since =
          opened.emplace(id, simulation.Now()).first->second;
        longest = std::max(longest, simulation.Now() - since);
      }
    }
  }
  REQUIRE(simulation.Sent(OrderAction::Unload) > 0);
  CHECK(longest / 1ms < PlacementOptions{}.mOrderLifetime / 1ms + 3000);
}

namespace {

/** Runs faults, changing demand and two rolls, then settles without faults. */
void RunFaults(std::uint64_t aSeed)
{
  PlacementSimulation simulation(aSeed);
  AddEngines(simulation, 60 + static_cast<Bytes>(aSeed % 4) * 15);
  const Bundle first = MakeBundle(9);
  simulation.SetBundle(first);
  simulation.SetFaults(MakeFaults());
  for (std::uint64_t n = 0; n < 6; ++n) {
    simulation.SetDemand(MakeDemand(aSeed * 100 + n, 9));
    simulation.Run(15s);
  }
  simulation.SetBundle(MakeBundle(9, 2));
  simulation.Run(30s);
  simulation.SetBundle(MakeBundle(9, 3));
  simulation.Run(30s);
  INFO("seed " << aSeed);
  CHECK(simulation.ViolationSummary() == "none");
  simulation.SetFaults({});
  simulation.SetDemand({});
  simulation.Run(30s); // Ends open drains and delivers late messages.
  CHECK(simulation.RunUntilSettled(400s));
  CHECK(simulation.IsBundleResident());
  CHECK(simulation.HoldsOnlyBundle());
  CHECK(simulation.ViolationSummary() == "none");
}

} // namespace

TEST_CASE("memory, serving and store limits hold under faults")
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    RunFaults(seed);
  }
}

TEST_CASE("planning terminates if two models displace each other repeatedly")
{
  RunFaults(361);
}

TEST_CASE(
  "a load duplicated after its unload does not exceed the store's limit")
{
  RunFaults(66);
}
