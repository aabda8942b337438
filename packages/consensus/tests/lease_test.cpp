// Scenarios in which a second leader could act beside the first.

#include "cluster.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

namespace {

constexpr FaultPlan kQuick{ 0, 0, 2ms, 4ms, 0.02 };
constexpr std::uint64_t kSeeds = 25;

/** Three replicas with a leader; the other two by position. */
struct Trio
{
  explicit Trio(std::uint64_t aSeed)
    : mCluster(3, 3, aSeed, {}, kQuick)
  {
    REQUIRE(mCluster.RunUntil(
      5s, [&] { return mCluster.LeaseHolder().has_value(); }));
    mLeader = *mCluster.LeaseHolder();
    mFirst = (mLeader + 1) % 3;
    mSecond = (mLeader + 2) % 3;
  }

  void RequireSafe()
  {
    INFO(mCluster.Checker().Violation());
    REQUIRE(mCluster.Checker().Violation().empty());
  }

  Cluster mCluster;
  std::size_t mLeader = 0;
  std::size_t mFirst = 0;
  std::size_t mSecond = 0;
};

} // namespace

TEST_CASE("a voter that hears the leader elects no other")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Trio trio(seed);
    trio.mCluster.Block(trio.mLeader, trio.mFirst);
    trio.mCluster.Block(trio.mFirst, trio.mLeader);
    const auto term = trio.mCluster.At(trio.mLeader).mLog->Term();
    trio.mCluster.Run(2s);
    trio.RequireSafe();
    CHECK(trio.mCluster.LeaseHolder() == trio.mLeader);
    CHECK(trio.mCluster.At(trio.mLeader).mLog->Term() == term);
  }
}

TEST_CASE("a restarted voter keeps the promise of its former process")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Trio trio(seed);
    Cluster& cluster = trio.mCluster;
    cluster.Block(trio.mLeader, trio.mFirst);
    cluster.Block(trio.mFirst, trio.mLeader);
    const Node& first = cluster.At(trio.mFirst);
    cluster.RunUntil(
      2s, [&] { return first.mLog->Role() == ReplicaRole::PreCandidate; });
    // The candidate tries again within the lease that this voter granted.
    const auto before = first.mLog->NextWakeup() - 60ms;
    cluster.RunUntil(
      2s, [&] { return cluster.LocalTimeOf(trio.mFirst) >= before; });
    cluster.Crash(trio.mSecond, CrashPoint::BeforePersist);
    cluster.Restart(trio.mSecond);
    cluster.Block(trio.mLeader, trio.mSecond);
    cluster.Block(trio.mSecond, trio.mLeader);
    cluster.Run(2s);
    trio.RequireSafe();
  }
}

TEST_CASE("a leader that ordered a transfer no longer acts as one")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Trio trio(seed);
    Cluster& cluster = trio.mCluster;
    cluster.Run(200ms);
    cluster.Block(trio.mFirst, trio.mLeader);
    cluster.Block(trio.mSecond, trio.mLeader);
    cluster.WithLeader([&](Node& aNode, Instant aNow, LogEffects& aEffects) {
      aEffects =
        aNode.mLog->TransferLeadership(aNow, cluster.IdOf(trio.mFirst));
    });
    CHECK_FALSE(cluster.LeaseHolder());
    REQUIRE(cluster.RunUntil(
      100ms, [&] { return cluster.LeaseHolder() == trio.mFirst; }));
    cluster.Run(1s);
    trio.RequireSafe();
  }
}

TEST_CASE("a leader that hears no majority stops acting within the lease")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Trio trio(seed);
    Cluster& cluster = trio.mCluster;
    cluster.Isolate(trio.mLeader);
    const Node& leader = cluster.At(trio.mLeader);
    cluster.RunUntil(270ms, [] { return false; });
    CHECK_FALSE(leader.mLog->HasLease(cluster.LocalTimeOf(trio.mLeader)));
    REQUIRE(cluster.RunUntil(2s, [&] {
      const auto holder = cluster.LeaseHolder();
      return holder && holder != trio.mLeader;
    }));
    CHECK(leader.mLog->Role() != ReplicaRole::Leader);
    trio.RequireSafe();
  }
}
