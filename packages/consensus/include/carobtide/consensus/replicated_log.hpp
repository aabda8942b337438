#pragma once

/**
 * @file
 * One replica of a replicated log: election with pre-vote and check-quorum,
 * leader lease, pipelined replication, snapshots, membership. After Ongaro
 * and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014,
 * and Ongaro's thesis (pre-vote, leadership transfer, one-at-a-time
 * membership changes).
 */

#include "carobtide/consensus/messages.hpp"
#include "carobtide/consensus/storage.hpp"
#include "carobtide/consensus/types.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carobtide {

/** Timing and size limits of a group. */
struct ReplicatedLogOptions
{
  Duration mHeartbeatInterval = std::chrono::milliseconds(50);
  /** An election starts after one to two of these without a leader. */
  Duration mElectionTimeout = std::chrono::milliseconds(300);
  /** A leader that heard no majority for this long stops acting as one. */
  Duration mLeaseDuration = std::chrono::milliseconds(250);
  std::size_t mMaxBatchEntries = 512;
  Bytes mMaxBatchBytes = kMiB;
  /** Append requests in flight to one follower. */
  std::size_t mMaxInFlight = 16;
  Bytes mSnapshotChunkBytes = 256 * kKiB;
  /** A snapshot is asked for once this many entries were applied. */
  std::uint64_t mSnapshotInterval = 10'000;
  /**
   * A snapshot is also asked for once entries of this size were applied, or of
   * the size of the latest snapshot if that is larger: otherwise writing a
   * large state would cost more than the entries that it replaces.
   */
  Bytes mSnapshotBytes = 64 * kMiB;
  /** Entries kept in memory behind a snapshot, for followers that lag. */
  std::uint64_t mTrailingEntries = 1'000;
  /** The largest size of these entries; further ones are dropped earlier. */
  Bytes mTrailingBytes = 16 * kMiB;
  /** A learner that lags by more entries than this is not promoted. */
  std::uint64_t mPromotionLag = 1'000;
  /** A dead voter is replaced by a spare after this long. */
  Duration mDeadVoterTimeout = std::chrono::seconds(10);
};

/** What a replica is at the moment. */
enum class ReplicaRole : std::uint8_t
{
  Learner,
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

inline constexpr EnumTable<ReplicaRole, 5> kReplicaRoles{ { {
  { ReplicaRole::Learner, "learner" },
  { ReplicaRole::Follower, "follower" },
  { ReplicaRole::PreCandidate, "pre-candidate" },
  { ReplicaRole::Candidate, "candidate" },
  { ReplicaRole::Leader, "leader" },
} } };

/** What the shell has to do after an event, in this order. */
struct LogEffects
{
  /** Make durable, then report with OnPersisted. Empty: nothing to do. */
  PersistBatch mPersist;
  /** Send now; these do not depend on mPersist. Losing any is allowed. */
  std::vector<ConsensusEnvelope> mMessages;
  /** Replace the state machine with this before applying mCommitted. */
  std::optional<Snapshot> mRestore;
  /** Apply in order; each entry is handed out exactly once. */
  std::vector<LogEntry> mCommitted;
  /** The state machine should be saved now: answer with OnSnapshotTaken. */
  bool mSnapshotWanted = false;
  /** Set when the role changed to or from leader. */
  bool mBecameLeader = false;
  bool mLostLeadership = false;
  /** Set when the membership in force changed. */
  bool mMembershipChanged = false;
};

/**
 * One replica of one group. Sans-I/O: takes time and events, returns effects.
 *
 * Thread safety: none; the owner guards it.
 */
class ReplicatedLog
{
public:
  /**
   * Starts a replica from what its disk holds. The first effects carry the
   * recovered snapshot, if any, as mRestore. `aInitial` is used only when
   * the disk holds neither snapshot nor entries; every initial voter must be
   * given the same. Precondition: `aRecovered.mReplica` is not zero.
   */
  ReplicatedLog(GroupId aGroup, RecoveredState aRecovered,
                const Membership& aInitial, ReplicatedLogOptions aOptions,
                Instant aNow, std::uint64_t aSeed);
  ~ReplicatedLog();
  ReplicatedLog(ReplicatedLog&&) noexcept;
  ReplicatedLog& operator=(ReplicatedLog&&) noexcept;

  /** Lets time pass; call at NextWakeup() or later. */
  LogEffects Tick(Instant aNow);

  /** Handles a message. One for another group or replica is ignored. */
  LogEffects Receive(Instant aNow, const ConsensusEnvelope& aEnvelope);

  /** Reports that every batch up to a sequence is durable. */
  LogEffects OnPersisted(Instant aNow, std::uint64_t aSequence);

  /**
   * Reports that the disk refused a batch. The replica steps down, takes no
   * part in quorums and stays up as a learner until OnPersisted reports the
   * same batch, or a restart. No batch is given out meanwhile.
   */
  LogEffects OnPersistFailed(Instant aNow, const Error& aError);

  /**
   * Appends a command on the leader; its index is returned. NotLeader on
   * other replicas and on a leader without its lease. An index handed out may
   * still be lost: wait for the entry of that index and term in mCommitted.
   */
  Result<std::uint64_t> Propose(Instant aNow, std::string aPayload,
                                LogEffects& aEffects);

  /**
   * Proposes one membership change (at most one member differs in presence
   * or role). InvalidState while another is under way, or where a learner to
   * be promoted has not caught up.
   */
  Result<std::uint64_t> ProposeMembership(Instant aNow,
                                          const Membership& aMembership,
                                          LogEffects& aEffects);

  /** Hands leadership to the most caught-up voter, or to a given one. */
  LogEffects TransferLeadership(Instant aNow,
                                std::optional<ReplicaId> aTo = std::nullopt);

  /** Gives the state machine as of an applied index. */
  LogEffects OnSnapshotTaken(Instant aNow, std::uint64_t aIndex,
                             std::string aState);

  /** When Tick should be called next. */
  Instant NextWakeup() const;

  ReplicaId Self() const;
  ReplicaRole Role() const;
  std::uint64_t Term() const;
  std::uint64_t CommitIndex() const;
  std::uint64_t LastIndex() const;
  /** First index still in the log (after the snapshot). */
  std::uint64_t FirstIndex() const;
  /** The leader as far as known; zero if unknown. */
  ReplicaId Leader() const;
  const Membership& CurrentMembership() const;

  /**
   * True on a leader that a majority has acknowledged within the lease and
   * that has committed an entry of its own term: it may answer reads and act.
   */
  bool HasLease(Instant aNow) const;

  /**
   * On the leader: when a member with a working disk last answered; nothing
   * if never since this replica became leader.
   */
  std::optional<Instant> LastContact(ReplicaId aReplica) const;

  /** On the leader: the last index known to be stored by a member. */
  std::uint64_t MatchIndex(ReplicaId aReplica) const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace carobtide
