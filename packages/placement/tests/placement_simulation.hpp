#pragma once

/**
 * @file
 * Simulates controllers, the placement record and fake engines in simulated
 * time, with seeded faults in the messages between them.
 */

#include "fake_engine.hpp"

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace carobtide {

/** Probabilities of faults and maximum message delays. */
struct SimulationFaults
{
  double mOrderLost = 0.0;
  double mOrderTwice = 0.0;
  double mReportLost = 0.0;
  double mRefused = 0.0;
  /** This and the following probabilities are per second. */
  double mLeaderChange = 0.0;
  double mTargetRestart = 0.0;
  double mTargetSilence = 0.0;
  double mDrain = 0.0;
  Duration mMaxOrderDelay = std::chrono::milliseconds(20);
  Duration mMaxReportDelay = std::chrono::milliseconds(20);
  Duration mMaxCommitDelay = std::chrono::milliseconds(50);
};

/** A leader and its local state. */
struct SimulatedLeader
{
  std::uint64_t mTerm = 0;
  std::unique_ptr<PlacementController> mController;
  TargetRegistry mRegistry;
  /** The record when this leader was deposed; empty while it leads. */
  std::optional<Placement> mStaleRecord;
  Instant mDeposedAt;
};

/** Runs the simulation and records each violation of the invariants. */
class PlacementSimulation
{
public:
  PlacementSimulation(std::uint64_t aSeed, PlacementOptions aOptions = {});

  FakeEngine& AddEngine(const std::string& aName, FakeEngineOptions aOptions);
  void SetBundle(Bundle aBundle) { mBundle = std::move(aBundle); }
  void SetDemand(DemandTable aDemand) { mDemand = std::move(aDemand); }
  void SetFaults(SimulationFaults aFaults)
  {
    mFaults = aFaults;
    mMaxReportDelay = std::max(mMaxReportDelay, aFaults.mMaxReportDelay);
  }
  void ChangeLeader();
  /** Stops an engine's process and restarts it after five seconds. */
  void StopEngine(const std::string& aName);

  /** Runs for `aTime` and checks the invariants after each tick. */
  void Run(Duration aTime);
  /** Runs until settled; false if that takes longer than `aLimit`. */
  bool RunUntilSettled(Duration aLimit);

  Instant Now() const { return mNow; }
  bool IsSettled() const { return mIsSettled; }
  const Placement& Record() const { return mRecord; }
  std::vector<FakeEngine>& Engines() { return mEngines; }
  FakeEngine& Engine(const std::string& aName);
  /** The first violations as text; "none" if there are none. */
  std::string ViolationSummary() const;
  /** Number of distinct orders sent with the action. */
  std::size_t Sent(OrderAction aAction) const;
  std::size_t Replicas(const ModelName& aModel) const;
  /** True if all models and adapters are resident in their versions. */
  bool IsBundleResident() const;
  /** True if the engines hold no copy that is not in the bundle. */
  bool HoldsOnlyBundle() const;

private:
  struct OrderInFlight
  {
    Instant mAt;
    Instant mSentAt;
    Order mOrder;
    bool mIsRefused = false;
  };
  struct ReplicaLoss
  {
    ModelName mModel;
    Instant mAt;
  };
  struct ReportInFlight
  {
    Instant mAt;
    Announcement mAnnouncement;
  };
  struct Proposal
  {
    Instant mAt;
    PlacementCommand mCommand;
  };

  bool Chance(double aProbability);
  Duration Delay(Duration aMax);
  void Tick();
  void InjectFaults();
  void Announce();
  void DeliverReports();
  void Commit();
  void StepLeaders();
  void StepLeader(SimulatedLeader& aLeader, const Placement& aRecord);
  void Send(const Order& aOrder);
  void DeliverOrders();
  void CheckInvariants();
  void CheckServing();
  /** Accepts that models served only by this engine become unserved. */
  void AllowLossOf(const FakeEngine& aEngine);
  /** Accepts an unload whose leader could not know of a recent loss. */
  void AllowLossByUnload(const OrderInFlight& aOrder,
                         const FakeEngine& aEngine);

  RandomEngine mRandom;
  PlacementOptions mOptions;
  Instant mNow;
  std::uint64_t mTick = 0;
  SimulationFaults mFaults;
  /** Maximum so far; reports in flight outlive a change of mFaults. */
  Duration mMaxReportDelay{ 0 };
  Bundle mBundle;
  DemandTable mDemand;
  std::vector<FakeEngine> mEngines;
  std::map<TargetName, Instant> mSilentUntil;
  std::map<TargetName, Instant> mStopAt;
  std::map<TargetName, Instant> mStartAt;
  std::vector<SimulatedLeader> mLeaders; // the last one is current
  Placement mRecord;
  std::uint64_t mIndex = 0;
  std::vector<Proposal> mProposals;
  std::vector<OrderInFlight> mOrders;
  std::vector<ReportInFlight> mReports;
  std::map<OrderId, OrderAction> mSentOrders;
  std::vector<Instant> mModelSends;
  std::set<ModelName> mServed;
  std::vector<ReplicaLoss> mLosses;
  std::vector<std::string> mViolations;
  bool mIsSettled = false;
};

} // namespace carobtide
