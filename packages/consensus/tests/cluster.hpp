#pragma once

/**
 * @file
 * An in-memory pump that runs replicas under faults, from one seed.
 */

#include "carobtide/consensus/replicated_log.hpp"
#include "history_checker.hpp"

#include <functional>
#include <map>
#include <queue>
#include <set>

namespace carobtide {

/** How hostile a run is. */
struct FaultPlan
{
  double mLoss = 0;
  double mDuplicate = 0;
  Duration mMaxDelay = 2ms;
  Duration mMaxPersist = 4ms;
  /** Largest deviation of a replica's clock rate from 1. */
  double mDrift = 0;
};

/** What the disk holds when a process dies with a batch in flight. */
enum class CrashPoint : std::uint8_t
{
  BeforePersist,
  AfterPersist,
};

/** One daemon's place: its disk, its clock, and its process while it runs. */
struct Node
{
  RecoveredState mDisk;
  std::optional<ReplicatedLog> mLog;
  std::optional<PersistBatch> mInFlight;
  /** Grows with each start, so that events of a dead process are dropped. */
  std::uint64_t mIncarnation = 0;
  std::uint64_t mState = 0;
  double mRate = 1;
  Duration mOffset{};
  Instant mPausedUntil;
  bool mDiskFails = false;
};

/**
 * Runs replicas 1 to N of one group. Time moves from event to event; after
 * each one the checker sees what happened.
 *
 * Thread safety: none.
 */
class Cluster
{
public:
  Cluster(std::size_t aNodes, std::size_t aVoters, std::uint64_t aSeed,
          ReplicatedLogOptions aOptions, FaultPlan aPlan);

  /** Runs events for some time, or until the checker objects. */
  void Run(Duration aFor);
  /** Runs until a condition holds; false if it does not in time. */
  bool RunUntil(Duration aAtMost, const std::function<bool()>& aCondition);

  void Crash(std::size_t aNode, CrashPoint aPoint);
  void Restart(std::size_t aNode);
  /** Loses a disk: the node comes back empty, under a new replica id. */
  void ReplaceDisk(std::size_t aNode);
  void Pause(std::size_t aNode, Duration aFor);
  /** The next batch is refused, and again until HealDisk. */
  void FailDisk(std::size_t aNode);
  /** The disk has room again; the batch that was refused is written. */
  void HealDisk(std::size_t aNode);
  /** Cuts messages from one node to another, this direction only. */
  void Block(std::size_t aFrom, std::size_t aTo);
  void Isolate(std::size_t aNode);
  void Heal();
  void SetPlan(const FaultPlan& aPlan) { mPlan = aPlan; }

  /** Proposes on every node that says it has the lease. */
  void ProposeEverywhere(const std::string& aPayload);
  /** Calls a function with the log of the node that has the lease. */
  bool WithLeader(
    const std::function<void(Node&, Instant, LogEffects&)>& aCall);

  std::size_t Size() const { return mNodes.size(); }
  Node& At(std::size_t aNode) { return mNodes[aNode]; }
  bool IsUp(std::size_t aNode) const { return mNodes[aNode].mLog.has_value(); }
  std::optional<std::size_t> LeaseHolder() const;
  ReplicaId IdOf(std::size_t aNode) const
  {
    return mNodes[aNode].mDisk.mReplica;
  }
  HistoryChecker& Checker() { return mChecker; }
  RandomEngine& Random() { return mRandom; }
  Instant Now() const { return mNow; }
  Instant LocalTimeOf(std::size_t aNode) const
  {
    return LocalTime(mNodes[aNode]);
  }
  bool Chance(double aProbability);
  std::uint64_t Pick(std::uint64_t aBelow);
  std::uint64_t MessagesSent() const { return mMessagesSent; }
  /** True if every running node applied all that is committed. */
  bool IsConverged() const;

private:
  struct Event
  {
    Instant mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mAct;
  };
  struct Later
  {
    bool operator()(const Event& aLeft, const Event& aRight) const
    {
      return std::tie(aLeft.mAt, aLeft.mOrder) >
             std::tie(aRight.mAt, aRight.mOrder);
    }
  };

  Instant LocalTime(const Node& aNode) const;
  Instant GlobalTime(const Node& aNode, Instant aLocal) const;
  void Schedule(Duration aAfter, std::function<void()> aAct);
  /** Schedules on a node: waits out a pause, drops after a crash. */
  void ScheduleOn(std::size_t aNode, Duration aAfter,
                  std::function<void()> aAct);
  void Start(std::size_t aNode);
  void ArmTimer(std::size_t aNode);
  void Apply(std::size_t aNode, LogEffects aEffects);
  void ApplyState(Node& aNode, const LogEffects& aEffects);
  void StartPersist(std::size_t aNode, PersistBatch aBatch);
  void FinishPersist(std::size_t aNode);
  void NoteStored(const Node& aNode, const PersistBatch& aBatch);
  void Transmit(std::size_t aFrom, const ConsensusEnvelope& aEnvelope);
  void CheckLeases();
  std::optional<std::size_t> NodeOf(ReplicaId aReplica) const;

  ReplicatedLogOptions mOptions;
  FaultPlan mPlan;
  Membership mInitial;
  RandomEngine mRandom;
  Instant mNow{ 1s };
  std::uint64_t mNextOrder = 0;
  std::uint64_t mNextReplica;
  std::uint64_t mMessagesSent = 0;
  std::vector<Node> mNodes;
  std::set<std::pair<std::size_t, std::size_t>> mBlocked;
  std::priority_queue<Event, std::vector<Event>, Later> mEvents;
  HistoryChecker mChecker;
};

} // namespace carobtide
