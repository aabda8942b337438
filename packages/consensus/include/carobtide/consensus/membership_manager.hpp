#pragma once

/**
 * @file
 * Keeps the voters of a group at their target number, alive and spread over
 * failure domains, one membership change at a time.
 */

#include "carobtide/consensus/replicated_log.hpp"

#include <map>
#include <optional>
#include <vector>

namespace carobtide {

/** A daemon with a working disk that could hold a replica. */
struct ReplicaCandidate
{
  /** The identity on its disk; a lost disk comes with a new one. */
  ReplicaId mReplica;
  DaemonName mDaemon;
  FailureDomain mFailureDomain;
};

/** What the leader knows of one other member. */
struct MemberStatus
{
  std::optional<Instant> mLastContact;
  std::uint64_t mMatchIndex = 0;
};

/** The leader's view of its group. */
struct MembershipView
{
  ReplicaId mSelf;
  std::uint64_t mTerm = 0;
  std::uint64_t mLastIndex = 0;
  Membership mMembership;
  /** Every member except the leader. */
  std::map<ReplicaId, MemberStatus> mStatus;
};

/** Reads the view off a leader. */
MembershipView ViewOf(const ReplicatedLog& aLog);

/** The kinds of membership change. */
enum class MembershipStep : std::uint8_t
{
  AddLearner,
  Promote,
  Remove,
};

inline constexpr EnumTable<MembershipStep, 3> kMembershipSteps{ { {
  { MembershipStep::AddLearner, "add-learner" },
  { MembershipStep::Promote, "promote" },
  { MembershipStep::Remove, "remove" },
} } };

/** One change to propose. */
struct MembershipProposal
{
  MembershipStep mStep = MembershipStep::AddLearner;
  Member mMember;
  /** The membership after the change, for ReplicatedLog::ProposeMembership. */
  Membership mNext;
};

/** Goals and timeouts of a group's membership. */
struct MembershipPolicy
{
  /** Odd. Fewer are kept where fewer daemons have a disk. */
  std::size_t mTargetVoters = 3;
  /** A member silent for this long is dead and is replaced by a spare. */
  Duration mDeadVoterTimeout = std::chrono::seconds(10);
  /** A member heard within this time counts as alive. */
  Duration mAliveTimeout = std::chrono::seconds(1);
  /** A learner that lags by more entries is not promoted. */
  std::uint64_t mPromotionLag = 100;
  /** Every candidate becomes a learner, needed as a voter or not. */
  bool mEveryoneLearns = false;
};

/**
 * Proposes the next single change. Sans-I/O; run it on the leader, every
 * second or so, and hand the proposal to ReplicatedLog::ProposeMembership.
 *
 * A spare is added and promoted before the dead voter that it replaces is
 * removed, so that the number of voters that hold the log never drops. No
 * change is proposed that would leave the new voters without a live quorum.
 * Where no spare exists a dead voter stays, unless the group is larger than
 * three and a smaller one tolerates more failures.
 *
 * Thread safety: none; the owner guards it.
 */
class MembershipManager
{
public:
  explicit MembershipManager(MembershipPolicy aPolicy);

  /**
   * The change that is due, if any. `aCandidates` are the daemons with a disk
   * that are reachable now.
   */
  std::optional<MembershipProposal> Next(
    Instant aNow, const MembershipView& aView,
    const std::vector<ReplicaCandidate>& aCandidates);

private:
  /** One evaluation; defined with the implementation. */
  class Evaluation;

  void NoteMembers(Instant aNow, const MembershipView& aView);

  MembershipPolicy mPolicy;
  std::uint64_t mTerm = 0;
  /** When a member was first seen in this term. */
  std::map<ReplicaId, Instant> mFirstSeen;
};

} // namespace carobtide
