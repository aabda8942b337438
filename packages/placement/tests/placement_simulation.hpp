#pragma once

/**
 * @file
 * Pumps controllers, the record and fake engines in simulated time, with
 * seeded faults of the messages between them.
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

/** Probabilities of faults; all zero is a calm network. */
struct SimulationFaults
{
  double mOrderLost = 0.0;
  double mOrderTwice = 0.0;
  double mReportLost = 0.0;
  double mRefused = 0.0;
  /** Per second. */
  double mLeaderChange = 0.0;
  double mTargetRestart = 0.0;
  double mTargetSilence = 0.0;
  double mDrain = 0.0;
  Duration mMaxOrderDelay = std::chrono::milliseconds(20);
  Duration mMaxReportDelay = std::chrono::milliseconds(20);
  Duration mMaxCommitDelay = std::chrono::milliseconds(50);
};

/** One leader with what it has heard and applied. */
struct SimulatedLeader
{
  std::uint64_t mTerm = 0;
  std::unique_ptr<PlacementController> mController;
  TargetRegistry mRegistry;
  /** Copy of the record as this leader saw it when it was deposed. */
  std::optional<Placement> mStaleRecord;
  Instant mDeposedAt;
};

/** The pump. It notes every violation of the invariants. */
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
  /** Ends an engine's process; it starts again five seconds later. */
  void StopEngine(const std::string& aName);

  /** Runs that long; checks the invariants after every tick. */
  void Run(Duration aTime);
  /** Runs until settled; false if it takes longer. */
  bool RunUntilSettled(Duration aLimit);

  Instant Now() const { return mNow; }
  bool IsSettled() const { return mIsSettled; }
  const Placement& Record() const { return mRecord; }
  std::vector<FakeEngine>& Engines() { return mEngines; }
  FakeEngine& Engine(const std::string& aName);
  /** The first violations of the invariants; "none" if there is none. */
  std::string Summary() const;
  /** Orders sent for the first time, by action. */
  std::size_t Sent(OrderAction aAction) const;
  std::size_t Replicas(const ModelName& aModel) const;
  /** Every model and adapter of the bundle is resident in its version. */
  bool IsBundleResident() const;
  /** Nothing resident differs from the bundle. */
  bool IsCleanedUp() const;

private:
  struct OrderInFlight
  {
    Instant mAt;
    Instant mSentAt;
    Order mOrder;
    bool mIsRefused = false;
  };
  struct Loss
  {
    ModelName mModel;
    Instant mAt;
  };
  struct ReportInFlight
  {
    Instant mAt;
    Announcement mSaid;
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
  void Check();
  void CheckServing();
  /** Models that only this engine serves may be lost with it. */
  void Excuse(const FakeEngine& aEngine);
  void ExcuseUnload(const OrderInFlight& aOrder, const FakeEngine& aEngine);

  RandomEngine mRandom;
  PlacementOptions mOptions;
  Instant mNow;
  std::uint64_t mTick = 0;
  SimulationFaults mFaults;
  /** The greatest so far, since reports outlive a change of faults. */
  Duration mMaxReportDelay{ 0 };
  Bundle mBundle;
  DemandTable mDemand;
  std::vector<FakeEngine> mEngines;
  std::map<TargetName, Instant> mMutedUntil;
  std::map<TargetName, Instant> mStopAt;
  std::map<TargetName, Instant> mStartAt;
  std::vector<SimulatedLeader> mLeaders; // the last one leads
  Placement mRecord;
  std::uint64_t mIndex = 0;
  std::vector<Proposal> mProposals;
  std::vector<OrderInFlight> mOrders;
  std::vector<ReportInFlight> mReports;
  std::map<OrderId, OrderAction> mSentOrders;
  std::vector<Instant> mModelSends;
  std::set<ModelName> mServed;
  std::vector<Loss> mLosses;
  std::vector<std::string> mViolations;
  bool mIsSettled = false;
};

} // namespace carobtide
