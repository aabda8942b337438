// Which membership changes a leader accepts.

#include "replica_fixture.hpp"

using namespace carobtide;

namespace {

const ReplicaId kSpare(4);

Member Spare(MemberRole aRole)
{
  return Member{ kSpare, DaemonName("d"), {}, aRole };
}

/** A leader that has committed its first entry with both followers alive. */
ReplicatedLog MakeReadyLeader()
{
  auto log = MakeReplica();
  Persisted(log, Elect(log));
  Acknowledge(log, kSecond, 1);
  Acknowledge(log, kThird, 1);
  REQUIRE(log.HasLease(kLater));
  return log;
}

ErrorCode Propose(ReplicatedLog& aLog, const Membership& aNext,
                  Instant aNow = kLater)
{
  LogEffects effects;
  const auto proposed = aLog.ProposeMembership(aNow, aNext, effects);
  if (!effects.mPersist.IsEmpty()) {
    Persisted(aLog, effects);
  }
  return proposed.Code();
}

Membership With(const ReplicatedLog& aLog, const Member& aMember)
{
  auto next = aLog.CurrentMembership();
  std::erase_if(next.mMembers, [&](const Member& aOther) {
    return aOther.mReplica == aMember.mReplica;
  });
  next.mMembers.push_back(aMember);
  return next;
}

Membership Without(const ReplicatedLog& aLog, ReplicaId aReplica)
{
  auto next = aLog.CurrentMembership();
  std::erase_if(next.mMembers, [&](const Member& aOther) {
    return aOther.mReplica == aReplica;
  });
  return next;
}

} // namespace

TEST_CASE("a leader changes nothing before it committed in its own term")
{
  auto log = MakeReplica();
  Persisted(log, Elect(log));
  CHECK(Propose(log, With(log, Spare(MemberRole::Learner))) ==
        ErrorCode::NotLeader);
  Acknowledge(log, kSecond, 1);
  CHECK(Propose(log, With(log, Spare(MemberRole::Learner))) == ErrorCode::Ok);
}

TEST_CASE("a change waits until the one before it is committed")
{
  auto log = MakeReadyLeader();
  REQUIRE(Propose(log, With(log, Spare(MemberRole::Learner))) == ErrorCode::Ok);
  CHECK(Propose(log, Without(log, kThird)) == ErrorCode::InvalidState);
  Acknowledge(log, kSecond, 2);
  CHECK(Propose(log, Without(log, kThird)) == ErrorCode::Ok);
}

TEST_CASE("a change touches one member, and a new one starts as a learner")
{
  auto log = MakeReadyLeader();
  auto swapped = Without(log, kThird);
  swapped.mMembers.push_back(Spare(MemberRole::Learner));
  CHECK(Propose(log, swapped) == ErrorCode::InvalidState);
  CHECK(Propose(log, With(log, Spare(MemberRole::Voter))) ==
        ErrorCode::InvalidState);
  auto twice = With(log, Spare(MemberRole::Learner));
  twice.mMembers.push_back(Spare(MemberRole::Learner));
  CHECK(Propose(log, twice) == ErrorCode::InvalidState);
  CHECK(log.LastIndex() == 1);
}

TEST_CASE("a learner is promoted only once it has caught up")
{
  auto log = MakeReadyLeader();
  REQUIRE(Propose(log, With(log, Spare(MemberRole::Learner))) == ErrorCode::Ok);
  Acknowledge(log, kSecond, 2);
  CHECK(Propose(log, With(log, Spare(MemberRole::Voter))) ==
        ErrorCode::InvalidState);
  Acknowledge(log, kSpare, 2);
  CHECK(Propose(log, With(log, Spare(MemberRole::Voter))) == ErrorCode::Ok);
  CHECK(log.CurrentMembership().VoterCount() == 4);
}

TEST_CASE("a change that leaves no live quorum is refused")
{
  auto log = MakeReplica();
  Persisted(log, Elect(log));
  Acknowledge(log, kSecond, 1);
  // kThird never answered: without kSecond one of two would be alive.
  CHECK(Propose(log, Without(log, kSecond)) == ErrorCode::InvalidState);
  CHECK(Propose(log, Without(log, kThird)) == ErrorCode::Ok);
}

TEST_CASE("a leader that is removed steps down once that is committed")
{
  auto log = MakeReadyLeader();
  REQUIRE(Propose(log, Without(log, kSelf)) == ErrorCode::Ok);
  CHECK(log.Role() == ReplicaRole::Leader);
  Acknowledge(log, kSecond, 2);
  // Two of the two that are left must store it; the leader does not count.
  CHECK(log.Role() == ReplicaRole::Leader);
  const auto effects = Acknowledge(log, kThird, 2);
  CHECK(log.Role() == ReplicaRole::Learner);
  CHECK(Find<TimeoutNow>(effects) != nullptr);
  CHECK(log.CommitIndex() == 2);
}
