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

/** A selector with its tables and targets that hold one model. */
struct SelectorFixture
{
  SelectorFixture()
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

// Counts the allocations of the test program.
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
  SelectorFixture fixture;
  for (int it = 0; it < 100; ++it) {
    fixture.Add("t" + std::to_string(it),
                it % 2 == 0 ? "be-central-a" : "be-central-b");
  }
  const std::vector<std::uint64_t> prompt{ 1, 2, 3 };
  fixture.mPrefixes.Insert(At(0s), 5, 3);
  fixture.mRequest.mPrefixHashes = prompt;
  CHECK(!fixture.Choose().empty());
  const std::size_t before = gAllocations;
  TargetIndex last = kNoTarget;
  for (int it = 0; it < 1000; ++it) {
    last = fixture.mSelector.Choose(At(1s), fixture.mRequest, fixture.mTable,
                                    fixture.mPrefixes);
  }
  const std::size_t after = gAllocations;
  CHECK(last != kNoTarget);
  CHECK(after == before);
}

TEST_CASE("the same failure domain is preferred until it is loaded")
{
  SelectorFixture fixture;
  TargetEntry& near = fixture.Add("near");
  fixture.Add("far", "be-central-b");
  CHECK(fixture.ChooseMany(200)["near"] == 200);
  fixture.mTable.At(0).mOwnInFlight = near.mSlots / 2;
  CHECK(fixture.ChooseMany(200)["far"] == 200);
}

TEST_CASE("a slow target is avoided unless it is the only one")
{
  SelectorFixture fixture;
  fixture.Add("slow");
  fixture.mTable.At(0).mLatency.ObservePending(At(1s), 10.0);
  CHECK(fixture.Choose() == "slow");
  fixture.mTable.At(0).mOwnInFlight = 5;
  CHECK(fixture.Choose() == "slow");
  fixture.mTable.At(0).mOwnInFlight = 0;
  TargetEntry& other = fixture.Add("other");
  CHECK(fixture.ChooseMany(200)["other"] == 200);
  // Standard work waits for a full healthy target before it uses a slow one.
  other.mOwnInFlight = other.mSlots;
  fixture.mRequest.mClass = WorkClass::ShortStandard;
  CHECK(fixture.Choose().empty());
  fixture.mRequest.mWaitedRatio = 12.0;
  CHECK(fixture.Choose() == "slow");
  // Batch work uses the slow target's slots divided by its slowness.
  fixture.mRequest = SelectionRequest{
    fixture.mRequest.mRoute, WorkClass::Batch, {}, {}, 0.0, false
  };
  CHECK(fixture.Choose() == "slow");
  fixture.mTable.At(0).mOwnInFlight = 1;
  CHECK(fixture.Choose().empty());
}

TEST_CASE("a slow target is probed at intervals and only while idle")
{
  SelectorFixture fixture;
  fixture.Add("slow");
  fixture.Add("other");
  CHECK(fixture.mSelector.FindProbe(At(1s), fixture.mRequest, fixture.mTable) ==
        kNoTarget);
  TargetEntry& slow = fixture.mTable.At(0);
  slow.mLatency.ObservePending(At(1s), 10.0);
  CHECK(fixture.mSelector.FindProbe(At(1s), fixture.mRequest, fixture.mTable) ==
        0);
  slow.mProbedAt = At(1s);
  CHECK(fixture.mSelector.FindProbe(At(1s), fixture.mRequest, fixture.mTable) ==
        kNoTarget);
  CHECK(fixture.mSelector.FindProbe(At(2s), fixture.mRequest, fixture.mTable) ==
        0);
  slow.mOwnInFlight = 1;
  CHECK(fixture.mSelector.FindProbe(At(2s), fixture.mRequest, fixture.mTable) ==
        kNoTarget);
}

TEST_CASE("aged long work may exceed its share but not use the reserve")
{
  SelectorFixture fixture;
  TargetEntry& target = fixture.Add("a");
  target.mOwnInFlight = 4;
  target.mOwnLong = 4;
  fixture.mRequest.mClass = WorkClass::LongStandard;
  CHECK(fixture.Choose().empty());
  fixture.mRequest.mWaitedRatio = 1.0;
  CHECK(fixture.Choose() == "a");
  target.mOwnInFlight = 7;
  CHECK(fixture.Choose().empty());
}

TEST_CASE("a cached prefix is preferred up to a load limit")
{
  SelectorFixture fixture;
  for (int it = 0; it < 8; ++it) {
    fixture.Add("t" + std::to_string(it));
  }
  const std::vector<std::uint64_t> prompt{ 1, 2, 3, 4 };
  fixture.mPrefixes.Insert(At(0s), 6, 4);
  fixture.mRequest.mPrefixHashes = prompt;
  CHECK(fixture.ChooseMany(100)["t6"] == 100);
  fixture.mTable.At(6).mOwnInFlight = 4;
  CHECK(fixture.ChooseMany(100)["t6"] < 10);
}

TEST_CASE("a target in backoff or in exclusive use is not chosen")
{
  SelectorFixture fixture;
  fixture.Add("a");
  fixture.mTable.At(0).mAvoidUntil = At(2s);
  CHECK(fixture.Choose(At(1s)).empty());
  CHECK(fixture.Choose(At(2s)) == "a");
  fixture.mTable.At(0).mExclusive = true;
  CHECK(fixture.Choose(At(2s)).empty());
}

TEST_CASE("a free target outside the scan window is found")
{
  SelectorFixture fixture;
  for (int it = 0; it < 200; ++it) {
    fixture.Add("t" + std::to_string(it)).mOwnInFlight = it == 150 ? 0 : 20;
  }
  CHECK(fixture.ChooseMany(50)["t150"] == 50);
}

TEST_CASE("six routers do not all choose the target of one stale report")
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
      // According to the reports, only the first target is idle.
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
  // 36 requests over 12 targets: 3 per target if spread evenly.
  CHECK(load[TargetName("t0")] <= 9);
  CHECK(load.size() >= 10);
}
