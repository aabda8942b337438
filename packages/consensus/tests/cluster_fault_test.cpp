// Replicas under seeded faults; safety after every event, progress at the end.

#include "cluster.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

namespace {

/** Small limits, so that short runs reach every path. */
ReplicatedLogOptions SmallOptions()
{
  ReplicatedLogOptions options;
  options.mMaxBatchEntries = 4;
  options.mMaxInFlight = 3;
  options.mSnapshotChunkBytes = 16;
  options.mSnapshotInterval = 40;
  options.mTrailingEntries = 8;
  return options;
}

constexpr FaultPlan kRough{ 0.1, 0.1, 60ms, 30ms, 0.05 };
constexpr FaultPlan kFair{ 0.02, 0.02, 10ms, 8ms, 0.05 };
constexpr FaultPlan kCalm{ 0, 0, 2ms, 4ms, 0.05 };

/** Injects one random fault; `aDown` counts the nodes that are not running. */
void InjectFault(Cluster& aCluster)
{
  const auto node = aCluster.Pick(aCluster.Size());
  const auto other = aCluster.Pick(aCluster.Size());
  switch (aCluster.Pick(8)) {
    case 0:
      aCluster.Crash(node, CrashPoint::BeforePersist);
      break;
    case 1:
      aCluster.Crash(node, CrashPoint::AfterPersist);
      break;
    case 2:
      aCluster.Pause(node, Duration(1000 * (50 + aCluster.Pick(1500))));
      break;
    case 3:
      aCluster.Isolate(node);
      break;
    case 4:
      aCluster.Block(node, other);
      break;
    case 5:
      aCluster.FailDisk(node);
      break;
    case 6:
      aCluster.WithLeader(
        [&](Node& aLeader, Instant aNow, LogEffects& aEffects) {
          aEffects = aLeader.mLog->TransferLeadership(aNow);
        });
      break;
    default:
      aCluster.Heal();
      break;
  }
}

void RestartSome(Cluster& aCluster, double aChance)
{
  for (std::size_t n = 0; n < aCluster.Size(); ++n) {
    const bool stopped = !aCluster.IsUp(n) || aCluster.At(n).mDiskFails;
    if (stopped && aCluster.Chance(aChance)) {
      aCluster.Crash(n, CrashPoint::BeforePersist);
      aCluster.Restart(n);
    }
  }
}

void RequireProgress(Cluster& aCluster)
{
  aCluster.SetPlan(kCalm);
  aCluster.Heal();
  RestartSome(aCluster, 1);
  // A proposal may still be lost to a change of leaders; not every one may.
  bool converged = false;
  for (int n = 0; n < 5 && !converged; ++n) {
    const auto last = "last." + std::to_string(n);
    aCluster.RunUntil(3s, [&] { return aCluster.LeaseHolder().has_value(); });
    aCluster.ProposeEverywhere(last);
    converged = aCluster.RunUntil(2s, [&] {
      return aCluster.Checker().IsCommitted(last) && aCluster.IsConverged();
    });
  }
  REQUIRE(aCluster.Checker().Violation().empty());
  REQUIRE(converged);
}

void RunFaults(std::size_t aNodes, std::uint64_t aSeed, int aRounds)
{
  CAPTURE(aNodes, aSeed);
  Cluster cluster(aNodes, aNodes, aSeed, SmallOptions(),
                  aSeed % 2 == 0 ? kRough : kFair);
  for (int round = 0; round < aRounds; ++round) {
    for (int n = 0; n < 12; ++n) {
      cluster.ProposeEverywhere(std::to_string(round) + "." +
                                std::to_string(n));
      cluster.Run(Duration(1000 * cluster.Pick(80)));
    }
    if (cluster.Chance(0.4)) {
      cluster.Heal();
    }
    InjectFault(cluster);
    RestartSome(cluster, 0.6);
    INFO(cluster.Checker().Violation());
    REQUIRE(cluster.Checker().Violation().empty());
  }
  RequireProgress(cluster);
}

} // namespace

// Reported by operators: the disks of voters were full for some seconds, one
// after another, and changes were refused from then on.
TEST_CASE("disks that were full one after another count again")
{
  const std::uint64_t seed = GENERATE(range(1, 6));
  CAPTURE(seed);
  Cluster cluster(3, 3, seed, SmallOptions(), kFair);
  REQUIRE(
    cluster.RunUntil(5s, [&] { return cluster.LeaseHolder().has_value(); }));
  for (std::size_t n = 0; n < 7; ++n) {
    const std::size_t node = n % cluster.Size();
    cluster.FailDisk(node);
    for (int write = 0; write < 4; ++write) {
      cluster.ProposeEverywhere(std::to_string(n) + "." +
                                std::to_string(write));
      cluster.Run(500ms);
    }
    cluster.HealDisk(node);
    cluster.Run(1s);
  }
  RequireProgress(cluster);
}

TEST_CASE("three replicas keep every property under faults")
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    RunFaults(3, seed, 30);
  }
}

TEST_CASE("five replicas keep every property under faults")
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    RunFaults(5, seed, 30);
  }
}
