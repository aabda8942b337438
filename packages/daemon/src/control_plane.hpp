#pragma once

/**
 * @file
 * The daemon's side of the control log: drives the replica, applies what is
 * committed, proposes commands or forwards them to the leader.
 */

#include "carobtide/consensus.hpp"
#include "carobtide/settings.hpp"
#include "carobtide/transport.hpp"
#include "command_waiter.hpp"
#include "control_state.hpp"
#include "event_log.hpp"
#include "initial_membership.hpp"
#include "leader_duties.hpp"
#include "metrics.hpp"
#include "peer_messages.hpp"
#include "storage_worker.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace carobtide {

/** What the operators' status shows of the control log. */
struct ControlStatus
{
  bool mHasReplica = false;
  ReplicaId mReplica;
  ReplicaRole mRole = ReplicaRole::Learner;
  std::uint64_t mTerm = 0;
  std::uint64_t mCommitIndex = 0;
  std::uint64_t mLastIndex = 0;
  bool mHasLease = false;
  DaemonName mLeader;
  Epoch mEpoch;
  std::size_t mLedgerKeys = 0;
  std::size_t mOpenOrders = 0;
  Membership mMembership;
};

/** A new bundle came into force on this daemon. */
struct BundleChange
{
  Epoch mEpoch;
  std::shared_ptr<const Bundle> mBundle;
  /** True if it came through the log, false if a peer told it. */
  bool mFromLog = false;
};

/** Called with the control mutex held; must not call back. */
using BundleHandler = std::function<void(const BundleChange&)>;

/**
 * Replica, state machine, target registry and leader's duties of one daemon.
 *
 * Thread safety: all methods from any thread. Its mutex comes first in the
 * daemon's lock order: control, then router, then event log.
 */
class ControlPlane
{
public:
  /** Every argument must outlive it. */
  ControlPlane(const DaemonSettings& aSettings, std::uint64_t aIncarnation,
               WorkerPool& aWorkers, EventLog& aEvents, Metrics& aMetrics,
               BundleHandler aOnBundle);
  ~ControlPlane();

  /** Sets where messages go. Called once, before anything else runs. */
  void Attach(PeerNetwork& aNetwork);

  /** Opens the data folder and finds the replica's identity, if any. */
  Result<Unit> OpenStorage();

  /** Gives an empty disk its identity. Precondition: it has none. */
  Result<Unit> SetIdentity(ReplicaId aReplica);

  /** Starts the replica. Precondition: OpenStorage, and an identity. */
  void StartReplica();

  /** The answer to a peer's probe. */
  BootstrapStatus GetBootstrapStatus() const;

  /** Lets time pass. Call about every 10 ms. */
  void Tick();

  void OnConsensus(std::string_view aPayload, const std::string& aPeer);
  void OnHeartbeat(const HeartbeatMessage& aMessage);

  /** Notes who leads, as heard from a peer. */
  void OnLeaderHint(const DaemonName& aLeader);

  /** Commits a command wherever the leader is and waits for its outcome.
   *
   * NoQuorum: certainly not committed. OutcomeUnknown: it may be, now or
   * later.
   */
  boost::asio::awaitable<Result<ControlOutcome>> Execute(ControlBody aBody);

  /** Executes a command that a peer forwarded, on the leader only. */
  boost::asio::awaitable<ControlReply> ExecuteForwarded(std::string aCommand);

  /** Takes an announcement; the registry says what it changed. */
  TargetChange OnAnnouncement(const Announcement& aAnnouncement);

  /** Targets that went silent since the last call. */
  std::vector<TargetName> ExpireTargets();

  /** Bundle in force if newer than aKnown. */
  BundleInForce GetBundle(Epoch aKnown) const;

  /** Takes the bundle in force from a peer; false if it is not newer. */
  bool AdoptBundle(const BundleInForce& aBundle);

  /** Nothing if the bundle fits the targets known here. */
  std::optional<Shortfall> CheckFit(const Bundle& aBundle) const;

  /** Hands leadership to another voter before this process stops. */
  void HandOverLeadership();

  /** Proposes a change of members; on the leader only. */
  Result<Unit> ChangeMembers(const Membership& aMembership);

  ControlStatus Status() const;
  Epoch CurrentEpoch() const;
  std::shared_ptr<const Bundle> CurrentBundle() const;

  /** Runs a function on the state and the registry under the mutex. */
  template<class Function>
  auto Read(Function aFunction) const
  {
    const std::lock_guard lock(mMutex);
    return aFunction(mState, mTargets);
  }

private:
  /** What one try to commit a command came to. */
  struct TryResult
  {
    /** Ok, NotLeader (certainly not proposed) or OutcomeUnknown. */
    ErrorCode mCode = ErrorCode::NotLeader;
    ControlOutcome mOutcome;
  };

  boost::asio::awaitable<TryResult> TryOnce(std::uint64_t aNonce,
                                            std::string aCommand);
  boost::asio::awaitable<TryResult> TryHere(std::uint64_t aNonce,
                                            std::string aCommand);
  boost::asio::awaitable<TryResult> TryRemote(Endpoint aLeader,
                                              std::string aCommand);
  TryResult TakeReply(const Result<std::string>& aReply);

  /** The methods below need the mutex held. */
  bool IsLeading() const;
  void HandleEffects(LogEffects aEffects);
  void PerformEffects(LogEffects& aEffects, std::vector<LogEffects>& aMore);
  void ApplyEntry(const LogEntry& aEntry);
  void SendMessages(const std::vector<ConsensusEnvelope>& aMessages);
  void NoteBundleChange(bool aFromLog);
  void NoteRoleChange(const LogEffects& aEffects);
  void RecordCommand(const AppliedCommand& aApplied);
  void RunLeaderDuties(Instant aNow);
  void RunMembership(Instant aNow);
  std::vector<ReplicaCandidate> FindCandidates(Instant aNow) const;
  void ProposeUnattended(ControlBody aBody);
  DaemonName LeaderName() const;
  DaemonName DaemonOf(ReplicaId aReplica) const;
  std::optional<Endpoint> LeaderAddress() const;
  std::optional<Endpoint> AddressOf(const DaemonName& aDaemon) const;

  void OnDurable(std::uint64_t aSequence);
  void OnStorageFailure(const Error& aError);

  const DaemonSettings& mSettings;
  const std::uint64_t mIncarnation;
  WorkerPool& mWorkers;
  EventLog& mEvents;
  Metrics& mMetrics;
  BundleHandler mOnBundle;
  PeerNetwork* mNetwork = nullptr;

  /** Guards everything below. */
  mutable std::mutex mMutex;
  RandomEngine mRandom;
  ControlState mState;
  TargetRegistry mTargets;
  std::unique_ptr<LogStorage> mStorage;
  RecoveredState mRecovered;
  ReplicaId mReplica;
  std::optional<ReplicatedLog> mLog;
  std::uint64_t mAppliedIndex = 0;
  CommandWaiters mWaiters;
  std::unique_ptr<LeaderDuties> mDuties;
  MembershipManager mMembers;
  Instant mNextMembership;
  PeerTable mPeers;
  DaemonName mLeaderHint;
  Epoch mAnnouncedEpoch;
  bool mHandingOver = false;
  /** Last, so that its thread ends before what its callbacks use. */
  std::unique_ptr<StorageWorker> mWorker;
};

} // namespace carobtide
