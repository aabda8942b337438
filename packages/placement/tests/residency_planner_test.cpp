#include "carobtide/placement/residency_planner.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };
const ServiceName kService("lm");
constexpr double kModelMb = 70;
constexpr double kEngineMb = 230;
constexpr std::uint32_t kAdapterSlots = 4;
constexpr double kLoadsPerSecond = 2;

/** Simulates an engine that accepts orders only with a matching count. */
class FakeEngine
{
public:
  struct TimedOrder
  {
    Instant mAt;
    ResidencyOrder mOrder;
  };

  ResidencyAnswer Take(Instant aNow, const ResidencyOrder& aOrder)
  {
    Finish(aNow);
    if (mRunning || aOrder.mAccepted != mAccepted) {
      return ResidencyAnswer::Conflict;
    }
    ++mAccepted;
    if (!aOrder.mAdapter.IsEmpty()) {
      auto model = Find(aOrder.mModel);
      if (model == mModels.end()) {
        return ResidencyAnswer::Refused;
      }
      if (aOrder.mAction == ResidencyAction::Unload) {
        if (aNow < mAdaptersInUseUntil) {
          mUnloading.push_back(aOrder);
          return ResidencyAnswer::Accepted;
        }
        std::erase(model->mAdapters, aOrder.mAdapter);
        return ResidencyAnswer::Done;
      }
      std::erase(model->mAdapters, aOrder.mAdapter);
      model->mAdapters.push_back(aOrder.mAdapter);
      std::size_t adapters = 0;
      for (const HeldModel& held : mModels) {
        adapters += held.mAdapters.size();
      }
      mExceededCapacity = mExceededCapacity || adapters > kAdapterSlots;
      return ResidencyAnswer::Accepted;
    }
    const bool isLoad = aOrder.mAction == ResidencyAction::Load;
    mRunning = TimedOrder{ aNow + (isLoad ? 2000ms : 300ms), aOrder };
    if (isLoad) {
      mExceededCapacity =
        mExceededCapacity ||
        static_cast<double>(mModels.size() + 1) * kModelMb > kEngineMb;
      if (!mOnDisk.contains(aOrder.mModel)) {
        mStoreLoads.push_back(aNow);
      }
    }
    return ResidencyAnswer::Accepted;
  }

  void Finish(Instant aNow)
  {
    if (aNow >= mAdaptersInUseUntil) {
      for (const ResidencyOrder& order : std::exchange(mUnloading, {})) {
        if (const auto model = Find(order.mModel); model != mModels.end()) {
          std::erase(model->mAdapters, order.mAdapter);
        }
      }
    }
    if (!mRunning || aNow < mRunning->mAt) {
      return;
    }
    const ModelName& model = mRunning->mOrder.mModel;
    if (mRunning->mOrder.mAction == ResidencyAction::Load) {
      mModels.push_back({ model, 1, {} });
      mOnDisk.insert(model);
    } else {
      std::erase_if(mModels, [&](const HeldModel& aModel) {
        return aModel.mName == model;
      });
    }
    mRunning.reset();
  }

  std::vector<HeldModel>::iterator Find(const ModelName& aModel)
  {
    return std::ranges::find(mModels, aModel, &HeldModel::mName);
  }

  bool Holds(const ModelName& aModel) { return Find(aModel) != mModels.end(); }

  std::vector<HeldModel> mModels;
  std::set<ModelName> mOnDisk;
  std::uint64_t mAccepted = 0;
  std::optional<TimedOrder> mRunning;
  std::deque<TimedOrder> mDelayedOrders;
  std::vector<Instant> mStoreLoads;
  bool mExceededCapacity = false;
  /** Adapters are unloaded when the requests that use them have ended. */
  Instant mAdaptersInUseUntil;
  std::vector<ResidencyOrder> mUnloading;
  std::uint64_t mHeartbeats = 0;
};

/** Simulates a planner, engines and a network with loss and delay. */
class Simulation
{
public:
  Simulation(int aEngines, int aModels, double aLossShare)
    : mPlanner(kStart)
    , mLossShare(aLossShare)
  {
    auto catalog = std::make_shared<Catalog>();
    catalog->mVersion = 1;
    CatalogService service;
    service.mName = kService;
    service.mEngine.emplace();
    service.mEngine->mMegabytes = kEngineMb;
    service.mEngine->mAdapterSlots = kAdapterSlots;
    service.mEngine->mLoadsPerSecond = kLoadsPerSecond;
    for (int n = 0; n < aModels; ++n) {
      CatalogModel model;
      model.mName = Model(n);
      model.mMegabytes = kModelMb;
      model.mStoreLoad = 2000ms;
      model.mDiskLoad = 400ms;
      model.mMemoryLoad = 200ms;
      model.mAdapters = 9;
      model.mAdapterMegabytes = 1;
      service.mEngine->mModels.push_back(model);
    }
    catalog->mServices.push_back(service);
    mPlanner.SetCatalog(catalog);
    for (int n = 0; n < aEngines; ++n) {
      FakeEngine& engine = mEngines[Target(n)];
      const int first = n % aModels;
      for (const int model : { first, (first + 1) % aModels }) {
        engine.mModels.push_back({ Model(model), 1, {} });
        engine.mOnDisk.insert(Model(model));
      }
    }
  }

  static ModelName Model(int aN) { return ModelName("m" + std::to_string(aN)); }
  static TargetName Target(int aN)
  {
    return TargetName("t" + std::to_string(aN));
  }

  /** Advances time with the given demand per model, in slots. */
  void Run(Duration aTime, const std::map<ModelName, std::uint32_t>& aNeed)
  {
    const Instant end = mNow + aTime;
    while (mNow < end) {
      mNow += 50ms;
      for (auto& [name, engine] : mEngines) {
        Deliver(engine);
      }
      if (mNow >= mNextHeartbeat) {
        mNextHeartbeat = mNow + 1s;
        SendHeartbeats();
      }
      DemandReport report;
      report.mFrom = Endpoint{ "10.0.0.1", 1 };
      for (const auto& [model, slots] : aNeed) {
        DemandItem item;
        item.mService = kService;
        item.mModel = model;
        item.mArrivals = 1;
        item.mInFlight = slots;
        if (const auto it = mPrefillShare.find(model);
            it != mPrefillShare.end()) {
          // The estimate treats shorter report intervals as this long.
          constexpr double kIntervalMicros = 100'000;
          item.mReading =
            static_cast<std::uint64_t>(it->second * kIntervalMicros);
        }
        report.mModels.push_back(item);
      }
      report.mStreams = mWaitingStreams;
      mPlanner.OnDemand(mNow, report);
      for (const ResidencyEffect& effect : mPlanner.Step(mNow)) {
        std::visit([this](const auto& aEffect) { Perform(aEffect); }, effect);
      }
    }
  }

  int CopiesOf(const ModelName& aModel)
  {
    return static_cast<int>(std::ranges::count_if(
      mEngines, [&](auto& aItem) { return aItem.second.Holds(aModel); }));
  }

  bool HasExceededCapacity() const
  {
    return std::ranges::any_of(mEngines, [](const auto& aItem) {
      return aItem.second.mExceededCapacity;
    });
  }

  /** Maximum number of store loads started within any 5 s. */
  std::size_t MaxStoreLoads() const
  {
    std::vector<Instant> all;
    for (const auto& [name, engine] : mEngines) {
      all.insert(all.end(), engine.mStoreLoads.begin(),
                 engine.mStoreLoads.end());
    }
    std::ranges::sort(all);
    std::size_t most = 0;
    for (std::size_t from = 0, to = 0; to < all.size(); ++to) {
      while (all[to] - all[from] >= Duration(5s)) {
        ++from;
      }
      most = std::max(most, to - from + 1);
    }
    return most;
  }

  Instant mNow = kStart;
  /** Share of an engine's time that each model's prompts need for prefill. */
  std::map<ModelName, double> mPrefillShare;
  /** Streams that only one software version may go on with. */
  std::vector<StreamDemand> mWaitingStreams;
  /** The limits of engines that state one. */
  std::map<TargetName, RateLimit> mLimits;
  /** The software of engines that state one. */
  std::map<TargetName, SoftwareVersion> mSoftware;
  ResidencyPlanner mPlanner;
  std::map<TargetName, FakeEngine> mEngines;

private:
  void SendHeartbeats()
  {
    for (auto& [name, engine] : mEngines) {
      engine.Finish(mNow);
      FleetRecord record;
      record.mLast.mTarget = name;
      record.mLast.mIncarnation = Incarnation(1);
      record.mLast.mSequence = ++engine.mHeartbeats;
      record.mLast.mService = kService;
      if (const auto it = mSoftware.find(name); it != mSoftware.end()) {
        record.mLast.mSoftware = it->second;
      }
      if (const auto it = mLimits.find(name); it != mLimits.end()) {
        record.mLimit = it->second;
      }
      record.mLast.mEngine = true;
      record.mLast.mSlots = 16;
      record.mLast.mModels = engine.mModels;
      record.mLast.mOnDisk = { engine.mOnDisk.begin(), engine.mOnDisk.end() };
      mPlanner.OnTarget(mNow, record);
    }
  }

  void Deliver(FakeEngine& aEngine)
  {
    aEngine.Finish(mNow);
    while (!aEngine.mDelayedOrders.empty() &&
           mNow >= aEngine.mDelayedOrders.front().mAt) {
      aEngine.Take(mNow, aEngine.mDelayedOrders.front().mOrder);
      aEngine.mDelayedOrders.pop_front();
    }
  }

  void Perform(const RequestEngineReport& aAsk)
  {
    FakeEngine& engine = mEngines.at(aAsk.mTarget);
    engine.Finish(mNow);
    EngineReport report;
    report.mBusy = engine.mRunning.has_value();
    report.mAccepted = engine.mAccepted;
    report.mModels = engine.mModels;
    mPlanner.OnReport(mNow, aAsk.mTarget, aAsk.mIncarnation, mNow, report);
  }

  void Perform(const IssueOrder& aIssue)
  {
    const ResidencyOrder& order = aIssue.mOrder;
    FakeEngine& engine = mEngines.at(order.mTarget);
    if (std::bernoulli_distribution(mLossShare)(mRandom)) {
      engine.mDelayedOrders.push_back({ mNow + 6s, order });
      mPlanner.OnAnswer(mNow, order.mTarget, order.mId,
                        ResidencyAnswer::Unknown);
      return;
    }
    const auto answer = engine.Take(mNow, order);
    mPlanner.OnAnswer(mNow, order.mTarget, order.mId, answer);
  }

  double mLossShare;
  RandomEngine mRandom{ 7 };
  Instant mNextHeartbeat = kStart;
};

} // namespace

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
