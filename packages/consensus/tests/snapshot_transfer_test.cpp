#include "carobtide/consensus/replicated_log.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace carobtide;

namespace {

const GroupId kGroup(1);
const ReplicaId kLeader(1);
const ReplicaId kLearner(2);

/** A leader with one learner, whose log before entry 21 is compacted. */
class CompactedLeader
{
public:
  CompactedLeader()
  {
    RecoveredState disk;
    disk.mReplica = kLeader;
    const Membership members{
      { Member{ kLeader, DaemonName("a"), {}, MemberRole::Voter },
        Member{ kLearner, DaemonName("b"), {}, MemberRole::Learner } }
    };
    ReplicatedLogOptions options;
    options.mTrailingEntries = 0;
    options.mSnapshotChunkBytes = 10;
    mLog.emplace(kGroup, disk, members, options, Instant{}, 1);
    Settle(mLog->Tick(Instant{}));
    for (int n = 0; n < 19; ++n) {
      LogEffects effects;
      REQUIRE(mLog->Propose(Instant{}, "x", effects));
      Settle(std::move(effects));
    }
    Settle(mLog->OnSnapshotTaken(Instant{}, 20, std::string(35, 's')));
  }

  /** Hands in a message of the learner; returns the chunk sent in answer. */
  std::optional<SnapshotRequest> Answer(ConsensusMessage aMessage)
  {
    auto effects =
      mLog->Receive(Instant{}, ConsensusEnvelope{ kGroup, kLearner, kLeader,
                                                  std::move(aMessage) });
    const auto it =
      std::ranges::find_if(effects.mMessages, [](const auto& aEnvelope) {
        return std::holds_alternative<SnapshotRequest>(aEnvelope.mMessage);
      });
    if (it == effects.mMessages.end()) {
      return std::nullopt;
    }
    return std::get<SnapshotRequest>(it->mMessage);
  }

  /** The learner says that its log is empty. */
  std::optional<SnapshotRequest> AnswerProbe()
  {
    AppendReply reply;
    reply.mTerm = mLog->Term();
    reply.mSuccess = true;
    return Answer(reply);
  }

  std::optional<SnapshotRequest> Want(std::uint64_t aAnswered,
                                      std::uint64_t aNext)
  {
    return Answer(SnapshotReply{ mLog->Term(), 20, aAnswered, aNext, false });
  }

private:
  void Settle(LogEffects aEffects)
  {
    while (!aEffects.mPersist.IsEmpty()) {
      aEffects = mLog->OnPersisted(Instant{}, aEffects.mPersist.mSequence);
    }
  }

  std::optional<ReplicatedLog> mLog;
};

} // namespace

TEST_CASE("a snapshot goes out in chunks, each one when it is asked for")
{
  CompactedLeader leader;
  const auto first = leader.AnswerProbe();
  REQUIRE(first);
  CHECK(first->mIndex == 20);
  CHECK(first->mOffset == 0);
  CHECK_FALSE(first->mLast);
  CHECK(leader.Want(0, 10)->mOffset == 10);
  CHECK(leader.Want(10, 20)->mOffset == 20);
  const auto last = leader.Want(20, 30);
  CHECK(last->mChunk.size() == 5);
  CHECK(last->mLast);
}

TEST_CASE("a follower that restarted gets the chunks it lost again")
{
  CompactedLeader leader;
  REQUIRE(leader.AnswerProbe());
  REQUIRE(leader.Want(0, 10));
  REQUIRE(leader.Want(10, 20));
  // A late copy of the first chunk reached the restarted process.
  CHECK_FALSE(leader.Want(0, 10));
  const auto again = leader.Want(20, 10);
  REQUIRE(again);
  CHECK(again->mOffset == 10);
}
