#pragma once

/**
 * @file
 * A daemon around the decision classes: the log with the three replicated
 * aggregates, the leader's duties, the router and the claim flows.
 */

#include "carobtide/bundle.hpp"
#include "carobtide/consensus.hpp"
#include "carobtide/consensus/membership_manager.hpp"
#include "carobtide/ledger.hpp"
#include "carobtide/placement.hpp"
#include "carobtide/routing.hpp"
#include "simulation.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace carobtide::matrix {

class World;
class TargetProcess;

using Command = std::variant<BundleCommand, LedgerCommand, PlacementCommand>;

/** How a command that was handed to the leader ended. */
enum class AskEnd : std::uint8_t
{
  Decided,
  /** It was not proposed. */
  Refused,
  Uncertain,
};

struct AskResult
{
  AskEnd mEnd = AskEnd::Uncertain;
  std::uint64_t mIndex = 0;
  BundleOutcome mBundle;
  LedgerOutcome mLedger;
};

using AskReply = std::function<void(const AskResult&)>;

/** What a daemon tells the others twice a second. */
struct Push
{
  std::size_t mDaemon = 0;
  std::uint64_t mClaimant = 0;
  ReplicaId mReplica;
  bool mLeads = false;
  Epoch mEpoch;
  std::string mText;
};

/** The process of one daemon. */
class DaemonProcess : public Process
{
public:
  DaemonProcess(World& aWorld, std::size_t aIndex, bool aHasDisk,
                Membership aInitial);

  void OnStart() override;
  void OnKill() override;
  bool HasDisk() const override { return mHasDisk; }
  void LoseDisk() override;
  std::size_t Domain() const override { return mIndex % 3; }

  /** A request for a model. */
  void OnModelRequest(RequestId aRequest, const ModelName& aModel);
  /** A request that may not be repeated. */
  void OnOrderRequest(const std::string& aKey, std::uint64_t aSubmission);
  /** A command for the leader; the reply may never come. */
  void Ask(Step aStep, Command aCommand, AskReply aReply);
  /** Finishes what is in flight and ends. */
  void StopPlanned();
  void Receive(const ConsensusEnvelope& aEnvelope);
  void OnAnnouncement(Announcement aSaid);

  /** What comes back on the connection of an attempt. */
  void OnChunk(std::uint64_t aBoot, AttemptId aAttempt, RequestId aWritten,
               std::uint32_t aNumber);
  void OnAnswerEnd(std::uint64_t aBoot, AttemptId aAttempt);
  void OnOrderAnswer(std::uint64_t aBoot, AttemptId aAttempt,
                     const std::string& aBody);
  void OnRejected(std::uint64_t aBoot, AttemptId aAttempt);
  void OnBroken(std::uint64_t aBoot, AttemptId aAttempt);

  ProcessId Id() const { return mId; }
  std::size_t Index() const { return mIndex; }
  ReplicaId Replica() const { return mReplica; }
  bool IsReady() const { return mIsReady && !mIsStopping; }
  bool Leads() const;
  Instant StartedAt() const { return mStartedAt; }
  const BundleRegistry& Bundles() const { return mBundles; }
  const Ledger& GetLedger() const { return mLedger; }
  const Placement& GetPlacement() const { return mPlacement; }
  const ReplicatedLog* Log() const { return mLog ? &*mLog : nullptr; }
  bool IsReachable(const ModelName& aModel) const
  {
    return mRouter->IsReachable(aModel);
  }
  std::size_t InFlight() const { return mAttempts.size() + mFlows.size(); }
  void ProposeRogue(const Order& aOrder);

private:
  /** One attempt on a connection of its own. */
  struct Attempt
  {
    RequestId mRequest;
    TargetName mTarget;
    std::uint32_t mChunks = 0;
  };
  struct ModelRequest
  {
    ModelName mModel;
    std::uint32_t mChunks = 0;
  };
  struct Flow
  {
    std::unique_ptr<ClaimFlow> mFlow;
    std::string mKey;
    bool mWasAnswered = false;
  };
  struct Waiter
  {
    std::uint64_t mTerm = 0;
    AskReply mReply;
  };
  struct Peer
  {
    std::uint64_t mClaimant = 0;
    ReplicaId mReplica;
    Instant mHeardAt;
  };

  Instant Now() const;
  std::string Name() const { return "d" + std::to_string(mIndex); }
  void Tick();
  void SendPush();
  void OnPush(const Push& aPush);
  void NoteConfiguration();
  void StopIfDone();

  // The log.
  void Apply(LogEffects aEffects);
  void Persist(const PersistBatch& aBatch);
  void FinishPersist(const PersistBatch& aBatch, bool aKillAfter);
  void Restore(const Snapshot& aSnapshot);
  std::string SaveState() const;
  void ApplyEntry(const LogEntry& aEntry);
  AskResult ApplyCommand(std::uint64_t aIndex, const Command& aCommand);
  std::optional<std::uint64_t> Propose(const Command& aCommand,
                                       AskReply aReply);

  // The leader.
  void Lead();
  void StepPlacement();
  void StepMembership();
  void StepLedger();
  void ProposePlacement(const PlacementCommand& aCommand);
  void SendOrder(const Order& aOrder);

  // Requests.
  void Perform(const RouterEffects& aEffects);
  void Dispatch(const DispatchAttempt& aEffect);
  void Refused(AttemptId aAttempt);
  void EndAttempt(AttemptId aAttempt, AttemptEnd aEnd);
  void OnTimeout(AttemptId aAttempt, std::uint32_t aChunks);
  void EndFlowRequest(RequestId aRequest, const ClaimEvent& aEvent);
  void HandleFlow(std::uint64_t aSubmission, const ClaimEvent& aEvent);
  void PerformFlow(std::uint64_t aSubmission, const ClaimEffects& aEffects);
  void ProposeSettling(std::uint64_t aSubmission,
                       const LedgerCommand& aCommand);
  void AdmitOrder(std::uint64_t aSubmission);
  void CloseConnection(AttemptId aAttempt);

  World& mWorld;
  std::size_t mIndex;
  ProcessId mId;
  bool mHasDisk;
  bool mWasStarted = false;
  Membership mInitial;
  ReplicaId mReplica;
  std::unique_ptr<LogStorage> mStorage;

  // Lost with the process.
  std::uint64_t mBoot = 0;
  std::uint64_t mClaimant = 0;
  Instant mStartedAt;
  bool mIsReady = false;
  bool mIsStopping = false;
  Instant mStopSince;
  std::optional<ReplicatedLog> mLog;
  std::uint64_t mApplied = 0;
  BundleRegistry mBundles;
  Ledger mLedger;
  Placement mPlacement;
  Epoch mRouterEpoch;
  std::map<std::uint64_t, Waiter> mWaiters;
  std::map<std::size_t, Peer> mPeers;
  std::optional<std::size_t> mLeaderHint;
  Instant mNextPush;
  Instant mNextDuty;
  Instant mNextLedgerDuty;
  TargetRegistry mTargets;
  std::unique_ptr<Router> mRouter;
  std::unique_ptr<PlacementController> mController;
  std::unique_ptr<MembershipManager> mMembers;
  std::uint64_t mControllerTerm = 0;
  Instant mLeadsSince;
  std::map<AttemptId, Attempt> mAttempts;
  std::map<RequestId, ModelRequest> mModelRequests;
  std::map<RequestId, std::uint64_t> mOrderRequests;
  std::map<std::uint64_t, Flow> mFlows;
};

} // namespace carobtide::matrix
