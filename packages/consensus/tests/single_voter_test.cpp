#include "carobtide/consensus/replicated_log.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

namespace {

Membership SingleVoter()
{
  return Membership{ { Member{ ReplicaId(7), DaemonName("a"),
                               FailureDomain("x"), MemberRole::Voter } } };
}

ReplicatedLog MakeSingle(RecoveredState aState)
{
  aState.mReplica = ReplicaId(7);
  return ReplicatedLog(GroupId(1), std::move(aState), SingleVoter(), {},
                       Instant{}, 1);
}

} // namespace

TEST_CASE("a single voter leads once its vote is durable")
{
  auto log = MakeSingle({});
  CHECK(log.NextWakeup() == Instant{});
  const auto vote = log.Tick(Instant{});
  REQUIRE(vote.mPersist.mHardState);
  CHECK(log.Role() == ReplicaRole::Candidate);

  const auto elected = log.OnPersisted(Instant{}, vote.mPersist.mSequence);
  CHECK(elected.mBecameLeader);
  REQUIRE(elected.mPersist.mEntries.size() == 1);
  CHECK_FALSE(log.HasLease(Instant{}));

  const auto ready = log.OnPersisted(Instant{}, elected.mPersist.mSequence);
  CHECK(ready.mCommitted.size() == 1);
  CHECK(log.HasLease(Instant{} + 1s));
}

TEST_CASE("a single voter commits a command once it is durable")
{
  auto log = MakeSingle({});
  auto effects = log.Tick(Instant{});
  effects = log.OnPersisted(Instant{}, effects.mPersist.mSequence);
  effects = log.OnPersisted(Instant{}, effects.mPersist.mSequence);

  LogEffects first;
  REQUIRE(log.Propose(Instant{}, "one", first).ValueOrThrow() == 2);
  REQUIRE(log.Propose(Instant{}, "two", first).ValueOrThrow() == 3);
  CHECK(first.mCommitted.empty());
  // The second command gathers behind the batch in flight.
  CHECK(first.mPersist.mEntries.size() == 1);
  const auto second = log.OnPersisted(Instant{}, first.mPersist.mSequence);
  REQUIRE(second.mCommitted.size() == 1);
  CHECK(second.mCommitted[0].mPayload == "one");
  const auto third = log.OnPersisted(Instant{}, second.mPersist.mSequence);
  REQUIRE(third.mCommitted.size() == 1);
  CHECK(third.mCommitted[0].mPayload == "two");
}

TEST_CASE("a failed disk ends leadership and keeps the replica up")
{
  auto log = MakeSingle({});
  auto effects = log.Tick(Instant{});
  effects = log.OnPersisted(Instant{}, effects.mPersist.mSequence);
  const Error full{ ErrorCode::DiskFull, "log.persist", "disk", "" };
  effects = log.OnPersistFailed(Instant{}, full);
  CHECK(effects.mLostLeadership);
  CHECK(log.Role() == ReplicaRole::Learner);
  effects = log.Tick(Instant{} + 10s);
  CHECK(log.Role() == ReplicaRole::Learner);
  CHECK(effects.mPersist.IsEmpty());
  LogEffects refused;
  CHECK(log.Propose(Instant{} + 10s, "x", refused).Code() ==
        ErrorCode::NotLeader);
}
