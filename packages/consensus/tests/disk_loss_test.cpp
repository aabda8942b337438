// Disks are lost one after another, each right after the last was repaired.

#include "carobtide/consensus/membership_manager.hpp"
#include "cluster.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace carobtide;

namespace {

constexpr std::size_t kNodes = 5;
constexpr FaultPlan kFair{ 0.02, 0.02, 10ms, 8ms, 0.02 };
constexpr Duration kStep = 50ms;

MembershipPolicy QuickPolicy(std::size_t aVoters)
{
  MembershipPolicy policy;
  policy.mTargetVoters = aVoters;
  policy.mDeadVoterTimeout = 1s;
  policy.mAliveTimeout = 300ms;
  policy.mPromotionLag = 10;
  return policy;
}

/** A cluster whose leader repairs its own membership. */
class SelfRepairing
{
public:
  SelfRepairing(std::uint64_t aSeed, std::size_t aVoters)
    : mCluster(kNodes, aVoters, aSeed, Options(), kFair)
    , mVoters(aVoters)
    , mManagers(kNodes, MembershipManager(QuickPolicy(aVoters)))
  {
  }

  Cluster& Get() { return mCluster; }

  void Step()
  {
    mCluster.ProposeEverywhere("c" + std::to_string(mProposals++));
    if (const auto leader = mCluster.LeaseHolder()) {
      mCluster.WithLeader([&](Node& aNode, Instant aNow, LogEffects& aEffects) {
        const auto view = ViewOf(*aNode.mLog);
        if (const auto step =
              mManagers[*leader].Next(aNow, view, Candidates())) {
          static_cast<void>(
            aNode.mLog->ProposeMembership(aNow, step->mNext, aEffects));
        }
      });
    }
    mCluster.Run(kStep);
  }

  /** True if all voters are the target's number of running replicas. */
  bool IsRepaired()
  {
    const auto leader = mCluster.LeaseHolder();
    if (!leader) {
      return false;
    }
    const auto& log = *mCluster.At(*leader).mLog;
    const auto& membership = log.CurrentMembership();
    return log.CommitIndex() == log.LastIndex() &&
           membership.VoterCount() == mVoters &&
           std::ranges::all_of(membership.mMembers, [&](const Member& aOne) {
             return aOne.mRole == MemberRole::Learner ||
                    IsRunning(aOne.mReplica);
           });
  }

  bool HasVotersConverged()
  {
    const auto leader = mCluster.LeaseHolder();
    if (!leader) {
      return false;
    }
    const auto& members =
      mCluster.At(*leader).mLog->CurrentMembership().mMembers;
    const auto& checker = mCluster.Checker();
    return std::ranges::all_of(members, [&](const Member& aMember) {
      return aMember.mRole == MemberRole::Learner ||
             checker.AppliedIndex(aMember.mReplica) == checker.CommittedIndex();
    });
  }

  bool RepairWithin(Duration aAtMost)
  {
    const auto end = mCluster.Now() + aAtMost;
    while (!IsRepaired() && mCluster.Now() < end &&
           mCluster.Checker().Violation().empty()) {
      Step();
    }
    return IsRepaired();
  }

  /** A node that holds a voter. */
  std::size_t PickVoter()
  {
    const auto leader = *mCluster.LeaseHolder();
    const auto membership = mCluster.At(leader).mLog->CurrentMembership();
    auto node = mCluster.Pick(kNodes);
    while (!membership.IsVoter(mCluster.IdOf(node))) {
      node = mCluster.Pick(kNodes);
    }
    return node;
  }

private:
  static ReplicatedLogOptions Options()
  {
    ReplicatedLogOptions options;
    options.mSnapshotInterval = 60;
    options.mTrailingEntries = 10;
    options.mSnapshotChunkBytes = 64;
    options.mPromotionLag = 10;
    return options;
  }

  std::vector<ReplicaCandidate> Candidates() const
  {
    std::vector<ReplicaCandidate> candidates;
    for (std::size_t n = 0; n < kNodes; ++n) {
      if (mCluster.IsUp(n)) {
        const auto name = std::to_string(n);
        candidates.push_back(ReplicaCandidate{ mCluster.IdOf(n),
                                               DaemonName("d" + name),
                                               FailureDomain("f" + name) });
      }
    }
    return candidates;
  }

  bool IsRunning(ReplicaId aReplica) const
  {
    for (std::size_t n = 0; n < kNodes; ++n) {
      if (mCluster.IdOf(n) == aReplica) {
        return mCluster.IsUp(n);
      }
    }
    return false;
  }

  Cluster mCluster;
  std::size_t mVoters;
  std::vector<MembershipManager> mManagers;
  std::uint64_t mProposals = 0;
};

/** Passing faults for a while; every node runs again at the end. */
void Disturb(SelfRepairing& aGroup)
{
  Cluster& cluster = aGroup.Get();
  constexpr int kSteps = 60;
  for (int n = 0; n < kSteps; ++n) {
    const auto node = cluster.Pick(kNodes);
    switch (cluster.Pick(16)) {
      case 0:
        cluster.Isolate(node);
        break;
      case 1:
        cluster.Block(node, cluster.Pick(kNodes));
        break;
      case 2:
        cluster.Pause(node, 700ms);
        break;
      case 3:
        cluster.Crash(node, CrashPoint::AfterPersist);
        cluster.Restart(node);
        break;
      case 4:
      case 5:
        cluster.Heal();
        break;
      default:
        break;
    }
    aGroup.Step();
  }
  cluster.Heal();
}

void LoseDisks(std::uint64_t aSeed, std::size_t aVoters, bool aDaemonReturns,
               bool aDisturbed = false)
{
  CAPTURE(aSeed, aVoters, aDaemonReturns, aDisturbed);
  SelfRepairing group(aSeed, aVoters);
  Cluster& cluster = group.Get();
  REQUIRE(group.RepairWithin(5s));
  for (int loss = 0; loss < 4; ++loss) {
    const auto node = group.PickVoter();
    cluster.ReplaceDisk(node);
    if (!aDaemonReturns && loss < 2) {
      cluster.Crash(node, CrashPoint::BeforePersist);
    }
    if (aDisturbed) {
      Disturb(group);
    }
    const bool repaired = group.RepairWithin(20s);
    INFO(cluster.Checker().Violation());
    REQUIRE(cluster.Checker().Violation().empty());
    REQUIRE(repaired);
  }
  cluster.SetPlan(FaultPlan{});
  REQUIRE(cluster.RunUntil(5s, [&] { return group.HasVotersConverged(); }));
}

} // namespace

TEST_CASE("disks lost one after another lose nothing, three voters")
{
  for (std::uint64_t seed = 1; seed <= 15; ++seed) {
    LoseDisks(seed, 3, true);
    LoseDisks(seed, 3, false);
  }
}

TEST_CASE("disks lost one after another lose nothing, five voters")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    LoseDisks(seed, 5, true);
  }
}

TEST_CASE("disks lost during partitions, pauses and restarts lose nothing")
{
  for (std::uint64_t seed = 1; seed <= 15; ++seed) {
    LoseDisks(seed, 3, true, true);
    LoseDisks(seed, 5, true, true);
  }
}
