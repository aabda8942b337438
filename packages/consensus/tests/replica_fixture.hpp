#pragma once

/**
 * @file
 * Drives one of three replicas message by message.
 */

#include "carobtide/consensus/replicated_log.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace carobtide {

inline const GroupId kGroup(1);
inline const ReplicaId kSelf(1);
inline const ReplicaId kSecond(2);
inline const ReplicaId kThird(3);
/** After the time in which a started replica votes for nobody. */
inline const Instant kLater = Instant{} + 10s;

inline ReplicatedLog MakeReplica(std::vector<LogEntry> aEntries = {})
{
  Membership members;
  for (const auto replica : { kSelf, kSecond, kThird }) {
    members.mMembers.push_back(
      Member{ replica, DaemonName("d"), {}, MemberRole::Voter });
  }
  RecoveredState disk;
  disk.mReplica = kSelf;
  disk.mEntries = std::move(aEntries);
  disk.mHardState.mTerm =
    disk.mEntries.empty() ? 0 : disk.mEntries.back().mTerm;
  return ReplicatedLog(kGroup, std::move(disk), members, {}, Instant{}, 1);
}

inline LogEffects Deliver(ReplicatedLog& aLog, ReplicaId aFrom,
                          ConsensusMessage aMessage, Instant aNow = kLater)
{
  return aLog.Receive(
    aNow, ConsensusEnvelope{ kGroup, aFrom, kSelf, std::move(aMessage) });
}

template<class Message>
const Message* Find(const LogEffects& aEffects)
{
  const auto it =
    std::ranges::find_if(aEffects.mMessages, [](const auto& aEnvelope) {
      return std::holds_alternative<Message>(aEnvelope.mMessage);
    });
  return it == aEffects.mMessages.end() ? nullptr
                                        : std::get_if<Message>(&it->mMessage);
}

inline LogEffects Persisted(ReplicatedLog& aLog, const LogEffects& aEffects)
{
  return aLog.OnPersisted(kLater, aEffects.mPersist.mSequence);
}

/** Elects the replica with the vote of kSecond; returns the last effects. */
inline LogEffects Elect(ReplicatedLog& aLog)
{
  auto effects = aLog.Tick(kLater);
  const auto term = aLog.Term() + 1;
  effects = Deliver(aLog, kSecond, VoteReply{ term, true, true });
  REQUIRE(aLog.Role() == ReplicaRole::Candidate);
  CHECK(Find<VoteRequest>(effects) == nullptr);
  effects = Persisted(aLog, effects);
  REQUIRE(Find<VoteRequest>(effects) != nullptr);
  return Deliver(aLog, kSecond, VoteReply{ term, true, false });
}

inline LogEffects Acknowledge(ReplicatedLog& aLog, ReplicaId aFrom,
                              std::uint64_t aMatch, bool aDurable = true)
{
  AppendReply reply;
  reply.mTerm = aLog.Term();
  reply.mSuccess = true;
  reply.mMatchIndex = aMatch;
  reply.mSentAtMicros = kLater.time_since_epoch().count();
  reply.mDurable = aDurable;
  return Deliver(aLog, aFrom, reply);
}

} // namespace carobtide
