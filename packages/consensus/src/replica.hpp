#pragma once

/**
 * @file
 * The implementation of ReplicatedLog. Its functions are grouped by job:
 * election.cpp, replication.cpp (leader), follower.cpp, snapshot_transfer.cpp,
 * membership_change.cpp and leadership.cpp (lease and transfer).
 */

#include "carobtide/consensus/replicated_log.hpp"
#include "durability_tracker.hpp"
#include "log_buffer.hpp"
#include "membership_history.hpp"
#include "progress.hpp"

#include <map>
#include <set>

namespace carobtide {

/**
 * State of one replica. Every public function sets the time first and ends
 * in TakeEffects().
 *
 * Thread safety: none; the owner guards it.
 */
class ReplicatedLog::Impl
{
public:
  Impl(GroupId aGroup, RecoveredState aRecovered, const Membership& aInitial,
       ReplicatedLogOptions aOptions, Instant aNow, std::uint64_t aSeed);

  LogEffects Tick(Instant aNow);
  LogEffects Receive(Instant aNow, const ConsensusEnvelope& aEnvelope);
  LogEffects OnPersisted(Instant aNow, std::uint64_t aSequence);
  LogEffects OnPersistFailed(Instant aNow, const Error& aError);
  Result<std::uint64_t> Propose(Instant aNow, std::string aPayload,
                                LogEffects& aEffects);
  Result<std::uint64_t> ProposeMembership(Instant aNow,
                                          const Membership& aMembership,
                                          LogEffects& aEffects);
  LogEffects TransferLeadership(Instant aNow, std::optional<ReplicaId> aTo);
  LogEffects OnSnapshotTaken(Instant aNow, std::uint64_t aIndex,
                             std::string aState);

  Instant NextWakeup() const;
  ReplicaId Self() const { return mSelf; }
  ReplicaRole Role() const;
  std::uint64_t Term() const { return mHardState.mTerm; }
  std::uint64_t CommitIndex() const { return mCommitIndex; }
  std::uint64_t LastIndex() const { return mLog.LastIndex(); }
  std::uint64_t FirstIndex() const { return mLog.BaseIndex() + 1; }
  ReplicaId Leader() const { return mLeader; }
  const Membership& CurrentMembership() const { return mHistory.Current(); }
  bool HasLease(Instant aNow) const;
  std::optional<Instant> LastContact(ReplicaId aReplica) const;
  std::uint64_t MatchIndex(ReplicaId aReplica) const;

private:
  /** An append that was accepted but is not durable yet. */
  struct OwedReply
  {
    ReplicaId mTo;
    std::uint64_t mMatched = 0;
    std::int64_t mSentAtMicros = 0;
  };

  /** A snapshot being received. */
  struct IncomingSnapshot
  {
    std::uint64_t mIndex = 0;
    std::uint64_t mLeaderTerm = 0;
    std::string mState;
  };

  /** A leadership transfer under way. */
  struct PendingTransfer
  {
    ReplicaId mTo;
    Instant mDeadline;
    /** Once TimeoutNow is out, the lease of this term is given up. */
    bool mOrdered = false;
  };

  // replica.cpp
  void Advance(Instant aNow);
  LogEffects TakeEffects();
  void CollectCommitted();
  void Send(ReplicaId aTo, ConsensusMessage aMessage);
  void SendOnceDurable(ReplicaId aTo, ConsensusMessage aMessage);
  void AppendEntry(LogEntry aEntry);
  bool IsLeader() const { return mRole == ReplicaRole::Leader; }
  bool IsVoter() const { return mHistory.Current().IsVoter(mSelf); }
  Error MakeError(ErrorCode aCode, const char* aStep, const char* aWhy) const;

  // election.cpp
  void ResetElectionTimer();
  void SetTerm(std::uint64_t aTerm);
  void BecomeFollower(std::uint64_t aTerm, ReplicaId aLeader);
  void StartPreVote();
  void StartElection(bool aTransfer);
  void RequestVotes(const VoteRequest& aRequest);
  void CountVotes();
  bool MayCampaign() const;
  bool IsUpToDate(const VoteRequest& aRequest) const;
  bool IsLeaderFresh() const;
  bool MayGrant(ReplicaId aFrom, const VoteRequest& aRequest) const;
  void OnElectionTimeout();
  void Handle(ReplicaId aFrom, const VoteRequest& aRequest);
  void Handle(ReplicaId aFrom, const VoteReply& aReply);

  // leadership.cpp
  void BecomeLeader();
  void UpdateQuorumContact();
  void CheckQuorum();
  void CheckTransfer();
  std::optional<ReplicaId> ChooseSuccessor() const;
  void Handle(ReplicaId aFrom, const TimeoutNow& aRequest);

  // replication.cpp
  void SendHeartbeats();
  void SendHeartbeat(ReplicaId aTo, Progress& aProgress);
  void SendEntriesToAll();
  void SendEntries(ReplicaId aTo, Progress& aProgress);
  AppendRequest MakeAppend(std::uint64_t aPrevious) const;
  void AdvanceCommit();
  void OnCommitted();
  void HandleAcknowledgement(ReplicaId aFrom, Progress& aProgress,
                             const AppendReply& aReply);
  void Handle(ReplicaId aFrom, const AppendReply& aReply);

  // follower.cpp
  void ObserveLeader(ReplicaId aLeader);
  void RefuseStaleLeader(ReplicaId aFrom, std::int64_t aSentAtMicros);
  bool IsAcceptable(const AppendRequest& aRequest) const;
  bool MatchesLog(ReplicaId aFrom, const AppendRequest& aRequest);
  void Store(const AppendRequest& aRequest);
  void TruncateFrom(std::uint64_t aIndex);
  void Acknowledge(ReplicaId aTo, std::uint64_t aMatched,
                   std::int64_t aSentAtMicros, bool aAtOnce);
  void SendOwedReply();
  void SendAppendReply(ReplicaId aTo, std::uint64_t aMatched,
                       std::int64_t aSentAtMicros);
  void Handle(ReplicaId aFrom, const AppendRequest& aRequest);

  // snapshot_transfer.cpp
  void SendChunk(ReplicaId aTo, Progress& aProgress);
  void ResendChunk(ReplicaId aTo, Progress& aProgress);
  bool TakeChunk(const SnapshotRequest& aRequest);
  void Install(const SnapshotRequest& aRequest);
  void Handle(ReplicaId aFrom, const SnapshotRequest& aRequest);
  void Handle(ReplicaId aFrom, const SnapshotReply& aReply);

  // membership_change.cpp
  void TrackMembers();
  const char* WhyNotAllowed(const Membership& aNext) const;
  const char* WhyNotPromoted(ReplicaId aReplica) const;
  bool HasLiveQuorum(const Membership& aMembership) const;
  void OnMembershipCommitted();

  GroupId mGroup;
  ReplicaId mSelf;
  ReplicatedLogOptions mOptions;
  RandomEngine mRandom;
  Instant mNow;

  HardState mHardState;
  std::shared_ptr<const Snapshot> mSnapshot;
  LogBuffer mLog;
  MembershipHistory mHistory;
  DurabilityTracker mDurability;
  bool mDiskFailed = false;

  ReplicaRole mRole = ReplicaRole::Follower;
  ReplicaId mLeader;
  std::uint64_t mCommitIndex = 0;
  std::uint64_t mAppliedIndex = 0;
  std::uint64_t mSnapshotAskedAt = 0;
  /** Payloads applied since a snapshot was asked for or installed. */
  Bytes mBytesSinceAsked = 0;
  Instant mElectionDeadline;
  /** When a leader was last heard; a restart counts, for the old promises. */
  Instant mLeaderHeardAt;
  std::set<ReplicaId> mVotes;
  std::vector<ConsensusEnvelope> mHeldForHardState;
  std::optional<OwedReply> mOwedReply;
  std::optional<IncomingSnapshot> mIncoming;

  // On the leader only.
  std::map<ReplicaId, Progress> mProgress;
  std::uint64_t mTermStartIndex = 0;
  Instant mNextHeartbeat;
  Instant mLeaderSince;
  /** A majority has answered requests sent at this time or later. */
  Instant mQuorumContact = Instant::min();
  std::optional<PendingTransfer> mTransfer;
  std::vector<std::uint64_t> mMatchScratch;
  std::vector<Instant> mContactScratch;

  LogEffects mEffects;
};

} // namespace carobtide
