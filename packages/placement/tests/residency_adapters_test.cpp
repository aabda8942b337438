#include "residency_simulation.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace carobtide {

TEST_CASE("adapters are loaded on demand within the adapter slots")
{
  const double loss = GENERATE(0.0, 0.35);
  Simulation simulation(2, 2, loss);
  simulation.Run(5s, {});
  for (int n = 1; n <= 9; ++n) {
    EnsureAdapter wanted;
    wanted.mService = kService;
    wanted.mModel = Simulation::Model(0);
    wanted.mAdapter = AdapterName("a" + std::to_string(n));
    for (int tries = 0; tries < 8; ++tries) {
      simulation.mPlanner.RequestAdapter(simulation.mNow, wanted);
      simulation.Run(350ms, {});
    }
    const ModelKey key{ kService, wanted.mModel, wanted.mAdapter };
    CHECK_FALSE(simulation.mPlanner.HoldersOf(key).empty());
  }
  CHECK_FALSE(simulation.HasExceededCapacity());
}

// Guards against unloading an adapter just after it was loaded (3 ms later, as
// observed), before its request could use it, to free a slot for the next one.
TEST_CASE("an adapter that was just asked for gives way to none")
{
  Simulation simulation(1, 2, 0);
  simulation.Run(5s, {});
  const auto want = [&](std::size_t aNumber) {
    EnsureAdapter wanted;
    wanted.mService = kService;
    wanted.mModel = Simulation::Model(0);
    wanted.mAdapter = AdapterName("a" + std::to_string(aNumber));
    simulation.mPlanner.RequestAdapter(simulation.mNow, wanted);
    return ModelKey{ kService, wanted.mModel, wanted.mAdapter };
  };
  // Request more adapters at once than there are slots.
  std::vector<ModelKey> keys;
  for (std::size_t n = 1; n <= kAdapterSlots + 2; ++n) {
    keys.push_back(want(n));
  }
  std::set<ModelKey> held;
  const Instant until = simulation.mNow + 300ms;
  while (simulation.mNow < until) {
    simulation.Run(10ms, {});
    for (const ModelKey& key : keys) {
      const bool isHeld = !simulation.mPlanner.HoldersOf(key).empty();
      INFO(key.mAdapter.Text());
      CHECK((isHeld || !held.contains(key)));
      if (isHeld) {
        held.insert(key);
      }
    }
  }
  CHECK(held.size() == kAdapterSlots);
}

// Load pattern: requests of a routing daemon that the leader does not hear of
// use all adapters of an engine while others are requested.
TEST_CASE("an adapter in use keeps its slot until the engine has unloaded it")
{
  Simulation simulation(1, 2, 0);
  simulation.Run(5s, {});
  const auto want = [&](std::size_t aNumber) {
    EnsureAdapter wanted;
    wanted.mService = kService;
    wanted.mModel = Simulation::Model(0);
    wanted.mAdapter = AdapterName("a" + std::to_string(aNumber));
    simulation.mPlanner.RequestAdapter(simulation.mNow, wanted);
    simulation.Run(500ms, {});
    return ModelKey{ kService, wanted.mModel, wanted.mAdapter };
  };
  for (std::size_t n = 1; n <= kAdapterSlots; ++n) {
    want(n);
  }
  FakeEngine& engine = simulation.mEngines.begin()->second;
  engine.mAdaptersInUseUntil = simulation.mNow + 5s;
  std::size_t next = kAdapterSlots + 1;
  while (simulation.mNow < engine.mAdaptersInUseUntil) {
    CHECK(simulation.mPlanner.HoldersOf(want(next++)).empty());
  }
  CHECK_FALSE(engine.mExceededCapacity);
  simulation.Run(2s, {});
  CHECK(simulation.mPlanner.HoldersOf(want(next)).size() == 1);
  CHECK_FALSE(engine.mExceededCapacity);
}

TEST_CASE("an adapter is loaded into a free slot before another is unloaded")
{
  Simulation simulation(2, 2, 0);
  simulation.Run(5s, {});
  const auto want = [&](std::size_t aNumber) {
    EnsureAdapter wanted;
    wanted.mService = kService;
    wanted.mModel = Simulation::Model(0);
    wanted.mAdapter = AdapterName("a" + std::to_string(aNumber));
    simulation.mPlanner.RequestAdapter(simulation.mNow, wanted);
    simulation.Run(500ms, {});
    return ModelKey{ kService, wanted.mModel, wanted.mAdapter };
  };
  std::vector<ModelKey> keys;
  for (std::size_t n = 1; n <= 2 * kAdapterSlots; ++n) {
    keys.push_back(want(n));
  }
  for (const ModelKey& key : keys) {
    INFO(key.mAdapter.Text());
    CHECK(simulation.mPlanner.HoldersOf(key).size() == 1);
  }
}

// Load pattern: hundreds of routing daemons ask for adapters at once. Working
// out the load of the fleet for each of them kept the leader from its other
// work.
TEST_CASE("adapter requests between steps do not work out the fleet's load")
{
  Simulation simulation(20, 20, 0);
  simulation.Run(3s, {});
  const auto before = simulation.mPlanner.LoadEvaluations();
  std::size_t orders = 0;
  Instant now = simulation.mNow;
  for (int n = 0; n < 20; ++n) {
    now += 1ms;
    simulation.mPlanner.RequestAdapter(
      now, { kService, Simulation::Model(n), AdapterName("a1") });
    orders += simulation.mPlanner.Step(now).size();
  }
  CHECK(orders >= 10);
  CHECK(simulation.mPlanner.LoadEvaluations() - before <= 1);
}

} // namespace carobtide
