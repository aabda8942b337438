#include "carobtide/routing/target_selector.hpp"
#include "routing_fixture.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <map>
#include <new>

using namespace carobtide;
using namespace carobtide::test;

namespace {

std::size_t gAllocations = 0;

/** A selector with its tables and one model on some targets. */
struct Bench
{
  Bench()
    : mTable(FailureDomain("be-central-a"))
    , mSelector("two-choices", SlotRules{ 0.5, 0.1, 0.25, 1 }, 3)
  {
  }

  TargetEntry& Add(const std::string& aName,
                   const std::string& aDomain = "be-central-a")
  {
    mTable.Apply(At(0s), Engine(aName, { "tagger" }, aDomain));
    mRequest.mRoute = mTable.FindModelRoute(ModelName("tagger"), AdapterName());
    return mTable.At(mTable.Find(TargetName(aName)));
  }

  std::string Choose(Instant aNow = At(1s))
  {
    const TargetIndex index =
      mSelector.Choose(aNow, mRequest, mTable, mPrefixes);
    return index == kNoTarget ? "" : mTable.At(index).mName.Text();
  }

  std::map<std::string, int> ChooseMany(int aCount)
  {
    std::map<std::string, int> counts;
    for (int it = 0; it < aCount; ++it) {
      ++counts[Choose()];
    }
    return counts;
  }

  TargetTable mTable;
  TargetSelector mSelector;
  PrefixCacheIndex mPrefixes;
  SelectionRequest mRequest;
};

} // namespace

// Counts allocations of this test program.
void* operator new(std::size_t aSize)
{
  ++gAllocations;
  if (void* memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

void operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void operator delete(void* aMemory, std::size_t /*aSize*/) noexcept
{
  std::free(aMemory);
}

TEST_CASE("a choice allocates nothing")
{
  Bench bench;
  for (int it = 0; it < 100; ++it) {
    bench.Add("t" + std::to_string(it),
              it % 2 == 0 ? "be-central-a" : "be-central-b");
  }
  const std::vector<std::uint64_t> prompt{ 1, 2, 3 };
  bench.mPrefixes.Insert(At(0s), 5, 3);
  bench.mRequest.mPrefixHashes = prompt;
  CHECK(!bench.Choose().empty());
  const std::size_t before = gAllocations;
  TargetIndex last = kNoTarget;
  for (int it = 0; it < 1000; ++it) {
    last = bench.mSelector.Choose(At(1s), bench.mRequest, bench.mTable,
                                  bench.mPrefixes);
  }
  const std::size_t after = gAllocations;
  CHECK(last != kNoTarget);
  CHECK(after == before);
}

TEST_CASE("the same failure domain comes first and spills when loaded")
{
  Bench bench;
  TargetEntry& near = bench.Add("near");
  bench.Add("far", "be-central-b");
  CHECK(bench.ChooseMany(200)["near"] == 200);
  bench.mTable.At(0).mOwnInFlight = near.mSlots / 2;
  CHECK(bench.ChooseMany(200)["far"] == 200);
}

TEST_CASE("a slowed target is shunned, but not if it is the only one")
{
  Bench bench;
  bench.Add("slow");
  bench.mTable.At(0).mLatency.ObservePending(At(1s), 10.0);
  CHECK(bench.Choose() == "slow");
  bench.mTable.At(0).mOwnInFlight = 5;
  CHECK(bench.Choose() == "slow");
  bench.mTable.At(0).mOwnInFlight = 0;
  TargetEntry& other = bench.Add("other");
  CHECK(bench.ChooseMany(200)["other"] == 200);
  // Even if the healthy one is full, urgent work waits for it at first.
  other.mOwnInFlight = other.mSlots;
  bench.mRequest.mClass = WorkClass::ShortStandard;
  CHECK(bench.Choose().empty());
  bench.mRequest.mWaitedRatio = 12.0;
  CHECK(bench.Choose() == "slow");
  // Patient work takes the slots that the slowed target is worth.
  bench.mRequest = SelectionRequest{
    bench.mRequest.mRoute, WorkClass::Batch, {}, {}, 0.0, false
  };
  CHECK(bench.Choose() == "slow");
  bench.mTable.At(0).mOwnInFlight = 1;
  CHECK(bench.Choose().empty());
}

TEST_CASE("a shunned target is probed now and then, only while idle")
{
  Bench bench;
  bench.Add("slow");
  bench.Add("other");
  CHECK(bench.mSelector.FindProbe(At(1s), bench.mRequest, bench.mTable) ==
        kNoTarget);
  TargetEntry& slow = bench.mTable.At(0);
  slow.mLatency.ObservePending(At(1s), 10.0);
  CHECK(bench.mSelector.FindProbe(At(1s), bench.mRequest, bench.mTable) == 0);
  slow.mProbedAt = At(1s);
  CHECK(bench.mSelector.FindProbe(At(1s), bench.mRequest, bench.mTable) ==
        kNoTarget);
  CHECK(bench.mSelector.FindProbe(At(2s), bench.mRequest, bench.mTable) == 0);
  slow.mOwnInFlight = 1;
  CHECK(bench.mSelector.FindProbe(At(2s), bench.mRequest, bench.mTable) ==
        kNoTarget);
}

TEST_CASE("long work that waited may leave its share, not the reserve's")
{
  Bench bench;
  TargetEntry& target = bench.Add("a");
  target.mOwnInFlight = 4;
  target.mOwnLong = 4;
  bench.mRequest.mClass = WorkClass::LongStandard;
  CHECK(bench.Choose().empty());
  bench.mRequest.mWaitedRatio = 1.0;
  CHECK(bench.Choose() == "a");
  target.mOwnInFlight = 7;
  CHECK(bench.Choose().empty());
}

TEST_CASE("a cached prefix draws work, up to a bound")
{
  Bench bench;
  for (int it = 0; it < 8; ++it) {
    bench.Add("t" + std::to_string(it));
  }
  const std::vector<std::uint64_t> prompt{ 1, 2, 3, 4 };
  bench.mPrefixes.Insert(At(0s), 6, 4);
  bench.mRequest.mPrefixHashes = prompt;
  CHECK(bench.ChooseMany(100)["t6"] == 100);
  bench.mTable.At(6).mOwnInFlight = 4;
  CHECK(bench.ChooseMany(100)["t6"] < 10);
}

TEST_CASE("a target that refused connections or is exclusive gets nothing")
{
  Bench bench;
  bench.Add("a");
  bench.mTable.At(0).mAvoidUntil = At(2s);
  CHECK(bench.Choose(At(1s)).empty());
  CHECK(bench.Choose(At(2s)) == "a");
  bench.mTable.At(0).mExclusive = true;
  CHECK(bench.Choose(At(2s)).empty());
}

TEST_CASE("a full window does not hide a free target of a large route")
{
  Bench bench;
  for (int it = 0; it < 200; ++it) {
    bench.Add("t" + std::to_string(it)).mOwnInFlight = it == 150 ? 0 : 20;
  }
  CHECK(bench.ChooseMany(50)["t150"] == 50);
}

TEST_CASE("six routers do not herd on one late report")
{
  constexpr int kTargets = 12;
  std::map<TargetName, int> load;
  std::vector<std::unique_ptr<Router>> routers;
  for (std::uint64_t it = 0; it < 6; ++it) {
    RouterOptions options = Options();
    options.mSeed = it + 1;
    options.mDaemons = 6;
    routers.push_back(std::make_unique<Router>(options));
    for (int target = 0; target < kTargets; ++target) {
      Announcement engine = Engine("t" + std::to_string(target), { "tagger" });
      // The report says that only the first target is idle.
      engine.mLoad.mRunning = target == 0 ? 0 : 3;
      engine.mLoad.mAge = 1500ms;
      routers.back()->OnAnnouncement(At(0s), engine);
    }
  }
  std::uint64_t id = 0;
  for (int round = 0; round < 6; ++round) {
    for (const auto& router : routers) {
      const auto sent =
        Only<DispatchAttempt>(router->Admit(At(0s), ModelRequest(++id)));
      REQUIRE(sent.size() == 1);
      ++load[sent[0].mTarget];
    }
  }
  // 36 requests over 12 targets: 3 each if spread evenly.
  CHECK(load[TargetName("t0")] <= 9);
  CHECK(load.size() >= 10);
}
