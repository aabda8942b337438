#include "carobtide/routing/caller_table.hpp"
#include "carobtide/routing/peer_hints.hpp"
#include "carobtide/routing/prefix_cache_index.hpp"
#include "carobtide/routing/target_table.hpp"
#include "routing_fixture.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;
using namespace carobtide::test;

namespace {

ResidentModel Adapter(const std::string& aModel, const std::string& aAdapter)
{
  return { ModelName(aModel), AdapterName(aAdapter), 1, 0, OrderId() };
}

Bundle BundleOf(std::uint32_t aVersion)
{
  Bundle bundle;
  ModelSpec model;
  model.mName = ModelName("tagger");
  model.mVersion = aVersion;
  model.mAdapters.push_back({ AdapterName("calf"), 1, 0 });
  bundle.mModels.push_back(model);
  return bundle;
}

} // namespace

TEST_CASE("an adapter's holders are preferred, its model's are the fallback")
{
  TargetTable table(FailureDomain("be-central-a"));
  table.SetBundle(BundleOf(1));
  const AdapterName calf("calf");
  table.Apply(At(0s), Engine("a", { "tagger" }));
  const RouteIndex route = table.FindModelRoute(ModelName("tagger"), calf);
  CHECK(table.Targets(route).mLocal.size() == 1);
  Announcement holder = Engine("b", { "tagger" });
  holder.mResident.push_back(Adapter("tagger", "calf"));
  table.Apply(At(0s), holder);
  REQUIRE(table.Targets(route).mLocal.size() == 1);
  CHECK(table.At(table.Targets(route).mLocal[0]).mName == TargetName("b"));
  table.MarkSilent(TargetName("b"));
  REQUIRE(table.Targets(route).mLocal.size() == 1);
  CHECK(table.At(table.Targets(route).mLocal[0]).mName == TargetName("a"));
}

TEST_CASE("an adapter without its model's weights is not routed to")
{
  TargetTable table(FailureDomain("be-central-a"));
  table.SetBundle(BundleOf(1));
  Announcement holder = Engine("b", {});
  holder.mResident.push_back(Adapter("tagger", "calf"));
  table.Apply(At(0s), holder);
  const RouteIndex route =
    table.FindModelRoute(ModelName("tagger"), AdapterName("calf"));
  CHECK(table.Targets(route).IsEmpty());
}

TEST_CASE("the version in force comes first, another one is the fallback")
{
  TargetTable table(FailureDomain("be-central-a"));
  table.Apply(At(0s), Engine("old", { "tagger" }));
  Announcement fresh = Engine("new", { "tagger" }, "be-central-b");
  fresh.mResident[0].mVersion = 2;
  table.Apply(At(0s), fresh);
  table.SetBundle(BundleOf(2));
  const RouteTargets lists =
    table.Targets(table.FindModelRoute(ModelName("tagger"), AdapterName()));
  CHECK(lists.mLocal.empty());
  CHECK(lists.mRemote.size() == 1);
  CHECK(lists.mFallback.size() == 1);
}

TEST_CASE("late announcements of a process that was replaced are ignored")
{
  TargetTable table(FailureDomain("be-central-a"));
  Announcement first = Engine("a", { "tagger" });
  table.Apply(At(0s), first);
  Announcement second = Engine("a", { "lister" });
  second.mIncarnation = Incarnation(2);
  CHECK(table.Apply(At(1s), second).mRestarted);
  first.mSequence = 9;
  CHECK_FALSE(table.Apply(At(2s), first).mApplied);
  Announcement older = second;
  older.mSequence = 0;
  CHECK_FALSE(table.Apply(At(2s), older).mApplied);
  const RouteIndex route =
    table.FindModelRoute(ModelName("tagger"), AdapterName());
  CHECK(table.Targets(route).IsEmpty());
}

TEST_CASE("targets that stay silent are removed and their index is reused")
{
  TargetTable table(FailureDomain("be-central-a"));
  table.Apply(At(0s), Engine("a", { "tagger" }));
  table.MarkSilent(TargetName("a"));
  table.ForgetSilent(At(10s));
  CHECK(table.TargetCount() == 0);
  table.Apply(At(11s), Engine("b", { "tagger" }));
  CHECK(table.Size() == 1);
  const RouteIndex route =
    table.FindModelRoute(ModelName("tagger"), AdapterName());
  CHECK(table.Targets(route).mLocal.size() == 1);
}

TEST_CASE("a peer's hints replace its earlier ones and expire")
{
  TargetTable table(FailureDomain("be-central-a"));
  table.Apply(At(0s), Engine("a", { "tagger" }));
  PeerHints peers;
  const TargetName name("a");
  peers.Replace(At(0s), DaemonName("p"), { { name, 3, 1 } }, table);
  peers.Replace(At(0s), DaemonName("q"), { { name, 2, 0 } }, table);
  CHECK(table.At(0).mPeerInFlight == 5);
  CHECK(table.At(0).mPeerLong == 1);
  peers.Replace(At(1s), DaemonName("p"), {}, table);
  CHECK(table.At(0).mPeerInFlight == 2);
  CHECK_FALSE(peers.Expire(At(1s), table));
  CHECK(peers.Expire(At(2s), table));
  CHECK(table.At(0).mPeerInFlight == 0);
}

TEST_CASE(
  "the prefix index finds the longest match, expires, and has a fixed size")
{
  PrefixCacheIndex index;
  const std::vector<std::uint64_t> prompt{ 11, 12, 13, 14 };
  index.Insert(At(0s), 1, 12);
  index.Insert(At(0s), 2, 14);
  PrefixMatches found = index.Find(At(1s), prompt);
  CHECK(found.ShareOf(1) == Approx(0.5));
  CHECK(found.ShareOf(2) == Approx(1.0));
  CHECK(found.ShareOf(3) == 0.0);
  index.Erase(2, 14);
  CHECK(index.Find(At(1s), prompt).ShareOf(2) == 0.0);
  CHECK(index.Find(At(500s), prompt).mCount == 0);
  const std::size_t bytes = index.MemoryBytes();
  for (std::uint64_t it = 0; it < 200'000; ++it) {
    index.Insert(At(2s), 1, it);
  }
  CHECK(index.MemoryBytes() == bytes);
}

TEST_CASE("callers: concurrency and token limits return a retry delay")
{
  Bundle bundle;
  CallerSpec spec;
  spec.mName = CallerName("reseller");
  spec.mMaxConcurrent = 2;
  spec.mMaxTokensPerSecond = 100;
  bundle.mCallers.push_back(spec);
  CallerTable callers;
  callers.SetBundle(bundle);
  const CallerIndex caller = callers.Intern(CallerName("reseller"));
  callers.OnAdmitted(At(0s), caller, 10.0);
  CHECK(callers.Check(At(0s), caller).mAllowed);
  callers.OnAdmitted(At(0s), caller, 10.0);
  CHECK_FALSE(callers.Check(At(0s), caller).mAllowed);
  callers.OnEnded(caller, 10.0, 600.0);
  const LimitDecision verdict = callers.Check(At(0s), caller);
  CHECK_FALSE(verdict.mAllowed);
  CHECK(verdict.mRetryAfter >= 4s);
  CHECK(callers.Check(At(0s) + verdict.mRetryAfter, caller).mAllowed);
}

TEST_CASE("callers: usage is divided by the share and decays")
{
  Bundle bundle;
  CallerSpec spec;
  spec.mName = CallerName("big");
  spec.mShare = 4.0;
  bundle.mCallers.push_back(spec);
  CallerTable callers;
  callers.SetBundle(bundle);
  const CallerIndex big = callers.Intern(CallerName("big"));
  const CallerIndex small = callers.Intern(CallerName("small"));
  const PriorityClass standard = PriorityClass::Standard;
  callers.Charge(At(0s), big, standard, 8.0);
  callers.Charge(At(0s), small, standard, 4.0);
  CHECK(callers.Usage(At(0s), big, standard) <
        callers.Usage(At(0s), small, standard));
  CHECK(callers.Usage(At(0s), big, PriorityClass::Batch) == 0.0);
  CHECK(callers.Usage(At(0s) + CallerTable::kUsageHalfLife, small, standard) ==
        Approx(2.0));
}
