// Rules of one replica, message by message.

#include "replica_fixture.hpp"

using namespace carobtide;

TEST_CASE("a vote leaves the replica only once it is durable")
{
  auto log = MakeReplica();
  const auto asked = Deliver(log, kSecond, VoteRequest{ 1, 0, 0 });
  REQUIRE(asked.mPersist.mHardState);
  CHECK(asked.mPersist.mHardState->mVotedFor == kSecond);
  CHECK(Find<VoteReply>(asked) == nullptr);
  const auto durable = Persisted(log, asked);
  REQUIRE(Find<VoteReply>(durable) != nullptr);
  CHECK(Find<VoteReply>(durable)->mGranted);
  const auto second = Deliver(log, kThird, VoteRequest{ 1, 0, 0 });
  REQUIRE(Find<VoteReply>(second) != nullptr);
  CHECK_FALSE(Find<VoteReply>(second)->mGranted);
}

TEST_CASE("an append is acknowledged only once it is durable")
{
  auto log = MakeReplica();
  AppendRequest request;
  request.mTerm = 1;
  request.mEntries = { LogEntry{ 1, 1, EntryKind::Command, "a" } };
  auto effects = Deliver(log, kSecond, request);
  CHECK(Find<AppendReply>(effects) == nullptr);
  effects = Persisted(log, effects);
  REQUIRE(Find<AppendReply>(effects) != nullptr);
  CHECK(Find<AppendReply>(effects)->mMatchIndex == 1);

  // A heartbeat is answered while the disk works, without what is not durable.
  request.mPreviousIndex = 1;
  request.mPreviousTerm = 1;
  request.mEntries = { LogEntry{ 2, 1, EntryKind::Command, "b" } };
  Deliver(log, kSecond, request);
  request.mPreviousIndex = 2;
  request.mEntries.clear();
  effects = Deliver(log, kSecond, request);
  REQUIRE(Find<AppendReply>(effects) != nullptr);
  CHECK(Find<AppendReply>(effects)->mMatchIndex == 1);
}

TEST_CASE("entries of an earlier term are committed only by a later entry")
{
  auto log = MakeReplica({ LogEntry{ 1, 1, EntryKind::Command, "old" } });
  const auto elected = Elect(log);
  REQUIRE(log.Role() == ReplicaRole::Leader);
  Persisted(log, elected);
  Acknowledge(log, kSecond, 1);
  CHECK(log.CommitIndex() == 0);
  CHECK_FALSE(log.HasLease(kLater));
  Acknowledge(log, kSecond, 2);
  CHECK(log.CommitIndex() == 2);
  CHECK(log.HasLease(kLater));
}

TEST_CASE("a replica whose disk failed counts in no quorum and never votes")
{
  auto leader = MakeReplica();
  Persisted(leader, Elect(leader));
  Acknowledge(leader, kSecond, 1, false);
  CHECK(leader.CommitIndex() == 0);
  CHECK_FALSE(leader.LastContact(kSecond));
  Acknowledge(leader, kThird, 1);
  CHECK(leader.CommitIndex() == 1);

  auto failed = MakeReplica();
  const Error error{ ErrorCode::DiskFull, "log.persist", "", "" };
  failed.OnPersistFailed(kLater, error);
  const auto asked = Deliver(failed, kSecond, VoteRequest{ 1, 0, 0 });
  const auto* reply = Find<VoteReply>(asked);
  CHECK((reply == nullptr || !reply->mGranted));
  const auto probed =
    Deliver(failed, kSecond, VoteRequest{ 2, 0, 0, true, false });
  REQUIRE(Find<VoteReply>(probed) != nullptr);
  CHECK_FALSE(Find<VoteReply>(probed)->mGranted);
  failed.Tick(kLater + 10s);
  CHECK(failed.Role() == ReplicaRole::Learner);

  // It still follows, so that its daemon knows what is in force.
  AppendRequest request;
  request.mTerm = 2;
  request.mCommitIndex = 1;
  request.mEntries = { LogEntry{ 1, 2, EntryKind::Command, "a" } };
  const auto followed = Deliver(failed, kSecond, request);
  CHECK(followed.mCommitted.size() == 1);
  REQUIRE(Find<AppendReply>(followed) != nullptr);
  CHECK_FALSE(Find<AppendReply>(followed)->mDurable);
}

TEST_CASE("a leader whose disk fails names a successor")
{
  auto log = MakeReplica();
  Persisted(log, Elect(log));
  Acknowledge(log, kThird, 1);
  const Error error{ ErrorCode::DiskFull, "log.persist", "", "" };
  const auto effects = log.OnPersistFailed(kLater, error);
  CHECK(effects.mLostLeadership);
  CHECK(Find<TimeoutNow>(effects) != nullptr);
}

TEST_CASE("messages for another group or replica change nothing")
{
  auto log = MakeReplica();
  log.Receive(kLater, ConsensusEnvelope{ GroupId(2), kSecond, kSelf,
                                         VoteRequest{ 9, 0, 0 } });
  log.Receive(kLater, ConsensusEnvelope{ kGroup, kSecond, kThird,
                                         VoteRequest{ 9, 0, 0 } });
  CHECK(log.Term() == 0);
}

TEST_CASE("a malformed append is ignored")
{
  auto log = MakeReplica();
  AppendRequest request;
  request.mTerm = 1;
  SECTION("a gap in the entries")
  {
    request.mEntries = { LogEntry{ 1, 1, EntryKind::Command, "a" },
                         LogEntry{ 3, 1, EntryKind::Command, "b" } };
  }
  SECTION("a membership that cannot be decoded")
  {
    request.mEntries = { LogEntry{ 1, 1, EntryKind::Membership, "?" } };
  }
  SECTION("an entry of a later term")
  {
    request.mEntries = { LogEntry{ 1, 2, EntryKind::Command, "a" } };
  }
  const auto effects = Deliver(log, kSecond, request);
  CHECK(log.LastIndex() == 0);
  CHECK(Find<AppendReply>(effects) == nullptr);
}

TEST_CASE("an append never replaces what is committed")
{
  auto log = MakeReplica();
  AppendRequest request;
  request.mTerm = 1;
  request.mCommitIndex = 1;
  request.mEntries = { LogEntry{ 1, 1, EntryKind::Command, "a" } };
  Deliver(log, kSecond, request);
  REQUIRE(log.CommitIndex() == 1);
  request.mTerm = 2;
  request.mEntries[0].mTerm = 2;
  Deliver(log, kThird, request);
  CHECK(log.LastIndex() == 1);
  CHECK(log.CommitIndex() == 1);
}

TEST_CASE("an acknowledgement beyond the log is ignored")
{
  auto log = MakeReplica();
  Persisted(log, Elect(log));
  Acknowledge(log, kSecond, 50);
  CHECK(log.MatchIndex(kSecond) == 0);
  CHECK(log.CommitIndex() == 0);
  CHECK_FALSE(log.Tick(kLater + 60ms).mMessages.empty());
}

TEST_CASE("a commit notice is not answered, a heartbeat is")
{
  auto log = MakeReplica();
  AppendRequest request;
  request.mTerm = 1;
  request.mEntries = { LogEntry{ 1, 1, EntryKind::Command, "a" } };
  Persisted(log, Deliver(log, kSecond, request));
  request.mPreviousIndex = 1;
  request.mPreviousTerm = 1;
  request.mCommitIndex = 1;
  request.mEntries.clear();
  request.mCommitNotice = true;
  const auto noticed = Deliver(log, kSecond, request);
  CHECK(noticed.mCommitted.size() == 1);
  CHECK(noticed.mMessages.empty());
  request.mCommitNotice = false;
  CHECK(Find<AppendReply>(Deliver(log, kSecond, request)) != nullptr);
}
