#include "residency_simulation.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace carobtide {

TEST_CASE("no order is sent while a former leader may still act")
{
  Simulation simulation(2, 4, 0);
  simulation.mPlanner = ResidencyPlanner(kStart + 3600s);
  simulation.Run(3s, {});
  for (const auto& [name, engine] : simulation.mEngines) {
    CHECK(engine.mAccepted == 0);
  }
}

TEST_CASE("every model gets a copy as far as memory allows")
{
  Simulation simulation(6, 10, 0);
  simulation.Run(30s, {});
  for (int n = 0; n < 10; ++n) {
    CHECK(simulation.CopiesOf(Simulation::Model(n)) >= 1);
  }
}

TEST_CASE("copies follow shifting demand within memory and the store's rate")
{
  const double loss = GENERATE(0.0, 0.35);
  Simulation simulation(6, 10, loss);
  simulation.Run(20s, { { Simulation::Model(0), 60 } });
  CHECK(simulation.CopiesOf(Simulation::Model(0)) >= 4);
  simulation.Run(40s, { { Simulation::Model(5), 60 } });
  CHECK(simulation.CopiesOf(Simulation::Model(5)) >= 4);
  for (int n = 0; n < 10; ++n) {
    CHECK(simulation.CopiesOf(Simulation::Model(n)) >= 1);
  }
  CHECK_FALSE(simulation.HasExceededCapacity());
  CHECK(static_cast<double>(simulation.MaxStoreLoads()) <=
        5 * kLoadsPerSecond * 1.1 + 3);
}

TEST_CASE("a requested model without a copy displaces an idle one")
{
  // Six copies fit but there are seven models, so one has no copy.
  Simulation simulation(2, 7, 0);
  simulation.Run(20s, {});
  int missing = 0;
  for (int n = 0; n < 7; ++n) {
    missing = simulation.CopiesOf(Simulation::Model(n)) == 0 ? n : missing;
  }
  REQUIRE(simulation.CopiesOf(Simulation::Model(missing)) == 0);
  simulation.Run(10s, { { Simulation::Model(missing), 2 } });
  CHECK(simulation.CopiesOf(Simulation::Model(missing)) == 1);
}

TEST_CASE("the models that are asked for and not served are counted")
{
  Simulation simulation(1, 4, 0);
  simulation.Run(2s, {});
  simulation.mLimits[Simulation::Target(0)] = { 1, 1 };
  simulation.Run(1s, {});
  CHECK(simulation.mPlanner.Missing(simulation.mNow).mCount == 0);
  // The only engine is in need and takes no order.
  simulation.Run(3s, { { Simulation::Model(3), 2 } });
  const MissingModels missing = simulation.mPlanner.Missing(simulation.mNow);
  CHECK(missing.mCount == 1);
  CHECK(missing.mLongest > 2s);
  CHECK(missing.mLongest <= 3s);
}

// Guards against counting occupied slots only: models with long prefill then
// keep a single engine whose slots are mostly free, although prefill takes all
// its time, while engines of other models are nearly idle.
TEST_CASE("a model whose prompts take an engine's time gets more engines")
{
  Simulation simulation(4, 8, 0);
  simulation.Run(8s, {});
  const ModelName heavy = Simulation::Model(0);
  const int before = simulation.CopiesOf(heavy);
  std::map<ModelName, std::uint32_t> demand;
  for (int n = 0; n < 8; ++n) {
    demand[Simulation::Model(n)] = 2;
  }
  simulation.mPrefillShare[heavy] = 0.9;
  simulation.Run(20s, demand);
  CHECK(simulation.CopiesOf(heavy) > before);
  CHECK(simulation.CopiesOf(heavy) >= 3);
  CHECK_FALSE(simulation.HasExceededCapacity());
}

// Load pattern: an engine in need takes a request a second, and is the only one
// that holds a model with ordinary demand.
TEST_CASE("a model whose engine states a limit gets a copy on another one")
{
  Simulation simulation(3, 6, 0);
  const std::map<ModelName, std::uint32_t> need{ { Simulation::Model(0), 6 },
                                                 { Simulation::Model(2), 6 },
                                                 { Simulation::Model(3), 6 } };
  simulation.Run(8s, need);
  FakeEngine& limited = simulation.mEngines.at(Simulation::Target(0));
  REQUIRE(limited.Holds(Simulation::Model(0)));
  const int copies = simulation.CopiesOf(Simulation::Model(0));
  simulation.mLimits[Simulation::Target(0)] = { 1, 1 };
  simulation.Run(2s, need);
  const std::uint64_t orders = limited.mAccepted;
  simulation.Run(10s, need);
  CHECK(simulation.CopiesOf(Simulation::Model(0)) > copies);
  // An engine in need is not ordered to load or unload.
  CHECK(limited.mAccepted == orders);
  CHECK(limited.Holds(Simulation::Model(0)));
  CHECK_FALSE(simulation.HasExceededCapacity());
}

// Load pattern: hundreds of models of which a few take nearly all requests.
// Each engine is full of models that nobody requests, and a hot model with one
// holder refused its callers for the whole day.
TEST_CASE("idle last copies give way to a crowded model")
{
  Simulation simulation(28, 84, 0);
  int next = 0;
  for (auto& [name, engine] : simulation.mEngines) {
    engine.mModels.clear();
    for (int n = 0; n < 3; ++n) {
      engine.mModels.push_back({ Simulation::Model(next++), 1, {} });
    }
  }
  simulation.Run(14s, {});
  simulation.Run(
    15s, { { Simulation::Model(0), 40 }, { Simulation::Model(1), 40 } });
  CHECK(simulation.CopiesOf(Simulation::Model(0)) >= 3);
  CHECK(simulation.CopiesOf(Simulation::Model(1)) >= 3);
  CHECK_FALSE(simulation.HasExceededCapacity());
  CHECK(static_cast<double>(simulation.MaxStoreLoads()) <=
        5 * kLoadsPerSecond * 1.1 + 3);
}

// Load pattern: the minute before traffic. The deployment starts with several
// copies of the models that will be busy; they were unloaded, one after the
// other, for models that nobody had requested.
TEST_CASE("without demand, no copy is unloaded for a model that is not held")
{
  Simulation simulation(3, 5, 0);
  for (auto& [name, engine] : simulation.mEngines) {
    engine.mModels.clear();
    for (int model = 0; model < 3; ++model) {
      engine.mModels.push_back({ Simulation::Model(model), 1, {} });
    }
  }
  simulation.Run(14s, {});
  for (int model = 0; model < 3; ++model) {
    CHECK(simulation.CopiesOf(Simulation::Model(model)) == 3);
  }
  SECTION("a request for one changes that")
  {
    simulation.Run(
      10s, { { Simulation::Model(0), 4 }, { Simulation::Model(4), 4 } });
    CHECK(simulation.CopiesOf(Simulation::Model(4)) >= 1);
  }
}

// Guards against evicting models that are requested now and then for the sake
// of a hot model whose engines have room.
TEST_CASE("a model requested now and then keeps its copy while engines serve")
{
  Simulation simulation(6, 18, 0);
  int next = 0;
  for (auto& [name, engine] : simulation.mEngines) {
    engine.mModels.clear();
    for (int n = 0; n < 3; ++n) {
      engine.mModels.push_back({ Simulation::Model(next++), 1, {} });
    }
  }
  simulation.Run(5s, {});
  std::map<ModelName, std::uint32_t> demand;
  demand[Simulation::Model(0)] = 12;
  for (int n = 1; n < 18; ++n) {
    demand[Simulation::Model(n)] = 1;
  }
  simulation.Run(20s, demand);
  for (int n = 0; n < 18; ++n) {
    CHECK(simulation.CopiesOf(Simulation::Model(n)) == 1);
  }
}

// Load pattern: more rarely requested models than places. Some were never
// loaded in a whole day while others kept the copies that they had.
TEST_CASE("models that are requested rarely are served in turn")
{
  Simulation simulation(2, 12, 0);
  int next = 0;
  for (auto& [name, engine] : simulation.mEngines) {
    engine.mModels.clear();
    for (int n = 0; n < 3; ++n) {
      engine.mModels.push_back({ Simulation::Model(next++), 1, {} });
    }
  }
  std::set<int> served;
  for (int round = 0; round < 120; ++round) {
    // Each model is requested once in six seconds.
    simulation.Run(500ms, { { Simulation::Model(round % 12), 1 } });
    for (int n = 0; n < 12; ++n) {
      if (simulation.CopiesOf(Simulation::Model(n)) > 0) {
        served.insert(n);
      }
    }
  }
  CHECK(served.size() == 12);
}

// Load pattern: demand comes back to a model that an engine held before. From
// that engine's disk it serves in a fifth of the time.
TEST_CASE("a crowded model is loaded where its weights are on disk")
{
  Simulation simulation(4, 12, 0);
  int next = 0;
  for (auto& [name, engine] : simulation.mEngines) {
    engine.mModels.clear();
    engine.mOnDisk.clear();
    for (int n = 0; n < 3; ++n) {
      engine.mModels.push_back({ Simulation::Model(next++), 1, {} });
    }
  }
  FakeEngine& before = simulation.mEngines.at(Simulation::Target(3));
  before.mOnDisk.insert(Simulation::Model(0));
  simulation.Run(1s, {});
  // The engine that held the model before is busier than the others.
  const std::map<ModelName, std::uint32_t> demand{
    { before.mModels[0].mName, 1 }, { Simulation::Model(0), 18 }
  };
  while (simulation.CopiesOf(Simulation::Model(0)) < 2 &&
         simulation.mNow < kStart + 20s) {
    simulation.Run(50ms, demand);
  }
  CHECK(before.Holds(Simulation::Model(0)));
}

// Load pattern: 204 engines and 445 models. A step that looked for an engine
// for every model took longer than the interval between steps, and the answers
// to its orders timed out unread.
TEST_CASE("a step plans a bounded number of loads and each model has its turn")
{
  constexpr int kModels = 180;
  constexpr std::uint64_t kMaxOrders = 32;
  Simulation simulation(100, kModels, 0);
  for (auto& [name, engine] : simulation.mEngines) {
    for (int n = 0; n < kModels; ++n) {
      engine.mOnDisk.insert(Simulation::Model(n));
    }
  }
  const auto accepted = [&] {
    std::uint64_t count = 0;
    for (const auto& [name, engine] : simulation.mEngines) {
      count += engine.mAccepted;
    }
    return count;
  };
  std::uint64_t before = 0;
  while (simulation.mNow < kStart + 20s) {
    simulation.Run(50ms, {});
    CHECK(accepted() - before <= kMaxOrders);
    before = accepted();
  }
  for (int n = 0; n < kModels; ++n) {
    CHECK(simulation.CopiesOf(Simulation::Model(n)) >= 1);
  }
}

// Load pattern: half of the engines run a newer version, and streams of the
// older one are taken up whose model only newer engines still hold.
TEST_CASE("a model is loaded on the software that streams wait for")
{
  const SoftwareVersion older("v1");
  Simulation simulation(6, 3, 0);
  for (int n = 0; n < 6; ++n) {
    simulation.mSoftware[Simulation::Target(n)] =
      n < 3 ? older : SoftwareVersion("v2");
  }
  const ModelName model = Simulation::Model(0);
  const auto olderCopies = [&] {
    int copies = 0;
    for (int n = 0; n < 3; ++n) {
      copies += simulation.mEngines.at(Simulation::Target(n)).Holds(model);
    }
    return copies;
  };
  for (int n = 0; n < 3; ++n) {
    auto& held = simulation.mEngines.at(Simulation::Target(n)).mModels;
    std::erase_if(held,
                  [&](const HeldModel& aHeld) { return aHeld.mName == model; });
  }
  const std::map<ModelName, std::uint32_t> need{ { model, 1 } };
  SECTION("where none holds it")
  {
    simulation.mWaitingStreams = { { kService, model, older, 2 } };
    simulation.Run(5s, need);
    CHECK(olderCopies() >= 1);
    CHECK_FALSE(simulation.HasExceededCapacity());
  }
  SECTION("also if the one that holds it does not serve")
  {
    simulation.mEngines.at(Simulation::Target(0))
      .mModels.push_back({ model, 1, {} });
    simulation.mWaitingStreams = { { kService, model, older, 2 } };
    simulation.Run(5s, need);
    CHECK(olderCopies() == 2);
  }
}

} // namespace carobtide
