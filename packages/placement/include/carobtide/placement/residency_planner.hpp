#pragma once

/**
 * @file
 * Decides which engines hold which models and adapters, for deployments whose
 * engines accept orders only with a matching count of earlier orders.
 */

#include "carobtide/catalog.hpp"
#include "carobtide/fleet.hpp"
#include "carobtide/placement/demand_estimate.hpp"
#include "carobtide/placement/engine_speeds.hpp"
#include "carobtide/placement/engine_tracker.hpp"
#include "carobtide/placement/store_budget.hpp"
#include "carobtide/placement/wakeup_risk.hpp"

#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace carobtide {

/** Effect: request a report from an engine. */
struct RequestEngineReport
{
  TargetName mTarget;
  Incarnation mIncarnation;
  Endpoint mAddress;
};

/** Effect: send an order. Its load from the store is already accounted. */
struct IssueOrder
{
  ResidencyOrder mOrder;
  /** Why the order is sent, for the log. */
  std::string mReason;
  /** Speed of the engine that planning counted with; 1 if unknown. */
  double mSpeed = 1;
};

using ResidencyEffect = std::variant<RequestEngineReport, IssueOrder>;

/** Models that are requested and that no engine holds or loads. */
struct MissingModels
{
  std::size_t mCount = 0;
  /** How long the one that is missing longest has been. */
  Duration mLongest{ 0 };
};

/**
 * Plans the loads and unloads of models and adapters on the leader. Sans-I/O.
 *
 * It handles demand that moves to other models within seconds, requests for a
 * model that no engine holds, adapters requested one by one, and engines that
 * join empty or leave at short notice. A copy is unloaded for another one only
 * if the demand gained exceeds the demand lost by a margin. Models that nobody
 * requests keep a copy as far as memory allows, since any of them may be
 * requested next; see WakeupRisk for what that copy is worth.
 *
 * Need and capacity are in slots at mean speed: an engine's capacity is its
 * slots times its speed, and demand, which is reported in occupied slots, is
 * multiplied by the mean speed of the engines that serve the model. Without
 * measured speeds all engines count as equal.
 *
 * Thread safety: none; the caller must synchronize access.
 */
class ResidencyPlanner
{
public:
  /** Plans nothing before `aActiveAt`, while a former leader may still act. */
  explicit ResidencyPlanner(Instant aActiveAt);

  /** Replaces the catalog; nothing is planned until one is set. */
  void SetCatalog(std::shared_ptr<const Catalog> aCatalog);

  /** Tracks an engine by its latest record; forgets it once it is gone. */
  void OnTarget(Instant aNow, const FleetRecord& aRecord);

  /** True if it counts with what the engine holds. */
  bool Tracks(const TargetName& aTarget) const
  {
    return mEngines.contains(aTarget);
  }

  /** Nothing is known of a target any more. */
  void OnForgotten(const TargetName& aTarget);

  /**
   * Targets that the planner counts otherwise than these records, which are all
   * that are known: engines without a record, of another incarnation or phase,
   * or engines that it lacks. None as long as it is told of every change.
   */
  std::vector<TargetName> FindDiffering(
    const std::vector<const FleetRecord*>& aRecords) const;

  /** Handles a routing daemon's demand report. */
  void OnDemand(Instant aNow, const DemandReport& aReport);

  /** Handles the result of a RequestEngineReport; nullopt if it failed. */
  void OnReport(Instant aNow, const TargetName& aTarget,
                Incarnation aIncarnation, Instant aRequestedAt,
                const std::optional<EngineReport>& aReport);

  /** Leaves a process of an engine alone until a time, as it asked for. */
  void OnPause(const TargetName& aTarget, Incarnation aIncarnation,
               Instant aUntil);

  /** Handles the answer to an order. */
  void OnAnswer(Instant aNow, const TargetName& aTarget, OrderId aOrder,
                ResidencyAnswer aAnswer);

  /**
   * Takes the measured speeds of engines, see EngineSpeeds. Call before Step;
   * speeds that are not repeated expire.
   */
  void OnSpeeds(Instant aNow, const std::vector<EngineSpeed>& aSpeeds);

  /** Requests an adapter on one more target; expires after a short time. */
  void RequestAdapter(Instant aNow, const EnsureAdapter& aRequest);

  /** Usable targets that hold the adapter. */
  std::vector<TargetName> HoldersOf(const ModelKey& aKey) const;

  /** Plans the next effects. Call every 100 ms and after each answer. */
  std::vector<ResidencyEffect> Step(Instant aNow);

  /** Models and adapters that each engine can serve, and its next model. */
  std::vector<Residency> Map() const;

  /** Number of engines with an order that is not completed. */
  std::size_t OrdersUnderWay() const;

  /** Models that are requested and that no engine holds or loads. */
  MissingModels Missing(Instant aNow) const;

  /** Number of engines with a known speed. */
  std::size_t KnownSpeeds() const { return mSpeeds.Known(); }

  /** Slots at mean speed of the usable engines of each catalog service. */
  std::map<ServiceName, double> Capacities() const;

  /** How often the load of all engines was worked out, the dearest part. */
  std::uint64_t LoadEvaluations() const { return mLoadEvaluations; }

private:
  using Service = CatalogService;

  /** The engines of one service and the load figures of one step. */
  struct ServiceSnapshot
  {
    const Service* mService = nullptr;
    std::vector<EngineTracker*> mEngines;
    /** Engines on which a model serves, is being loaded or will be loaded. */
    std::map<ModelName, std::vector<const EngineTracker*>> mHolders;
    /** Speeds of engines that differ from the mean. */
    std::unordered_map<const EngineTracker*, double> mSpeeds;
    /** Sum of the speeds of all engines. */
    double mTotalSpeed = 0;
    /** Slots at mean speed that a model uses on an engine. */
    std::unordered_map<const EngineTracker*,
                       std::unordered_map<ModelName, double>>
      mShares;
    /**
     * Slots at mean speed of an engine that all its models use or its limit
     * withholds.
     */
    std::unordered_map<const EngineTracker*, double> mLoad;
    /** Slots at mean speed that limits withhold, over all engines. */
    double mWithheld = 0;
    /** Slots that models use, divided by the speeds of all engines. */
    double mMeanLoad = 0;
    /** Slots of an engine of mean speed. */
    double mSlots = 1;
    /** Memory free for models on each engine. */
    std::map<const EngineTracker*, double> mFreeMegabytes;
    /** Models that each engine serves, as far as the catalog lists them. */
    std::map<const EngineTracker*, std::vector<const CatalogModel*>> mServing;
    /**
     * Slots at mean speed that each model needs, and the value of its first
     * copy.
     */
    std::unordered_map<ModelName, double> mNeed;
    std::unordered_map<ModelName, double> mFirstCopyValue;

    std::size_t CopiesOf(const ModelName& aModel) const;
    double ShareOf(const ModelName& aModel, const EngineTracker* aEngine) const;
    double NeedOf(const ModelName& aModel) const;
    /** Speed of an engine; 1 if unknown. */
    double SpeedOf(const EngineTracker* aEngine) const;
    /** Load of an engine divided by its speed: how busy it is, in slots. */
    double LevelOf(const EngineTracker* aEngine) const;
  };

  /** An engine on which a model can be loaded, and what it costs. */
  struct LoadCandidate
  {
    EngineTracker* mEngine = nullptr;
    /** The model to unload first; empty if there is enough free memory. */
    ModelName mVictim;
    /** In slots at mean speed. */
    double mCost = 0;
    /** Cost including what the engine's speed is worth to other models. */
    double mRank = 0;
  };

  /** A load that waits for an unload. */
  struct PendingLoad
  {
    ModelName mModel;
    /** When the model should serve. */
    Instant mReadyAt;
  };

  /** Streams that wait for a copy on an engine of their software. */
  struct WaitingStreams
  {
    Instant mSince;
    Instant mReportedAt;
    std::uint32_t mCount = 0;
  };

  /** Service, model and software. */
  using SoftwareKey = std::tuple<ServiceName, ModelName, SoftwareVersion>;

  /** An engine for an adapter, and the adapter to unload there first. */
  struct AdapterCandidate
  {
    EngineTracker* mEngine = nullptr;
    std::optional<ModelKey> mVictim;
  };

  /** Time that an unload takes when no request is running. */
  static constexpr Duration kUnloadTime = std::chrono::milliseconds(50);
  /** Time until the requests that run on an evicted model have ended. */
  static constexpr Duration kDrainTime = std::chrono::milliseconds(1500);

  /** Speed of an engine's current process. */
  double SpeedOf(const EngineTracker& aEngine) const;
  ServiceSnapshot MakeSnapshot(const Service& aService);
  /**
   * Converts needs from occupied slots, as reported, to slots at mean speed.
   * The load of a model is split to a common level of load divided by speed, so
   * that its engines have equally many requests in flight and the plain mean of
   * their speeds applies. Models that no engine serves keep the reported need.
   */
  static void ConvertNeeds(ServiceSnapshot& aSnapshot);
  /** Distributes demand as routing does: to the least loaded holders. */
  void DistributeLoad(ServiceSnapshot& aSnapshot) const;
  void PlanReports(Instant aNow, std::vector<ResidencyEffect>& aEffects);
  void PlanResends(Instant aNow, std::vector<ResidencyEffect>& aEffects);
  /** Plans by the loads of the last snapshot. */
  void PlanAdapters(Instant aNow, const Service& aService,
                    std::vector<ResidencyEffect>& aEffects);
  /** The least loaded engine with the model where the adapter can be loaded. */
  AdapterCandidate FindAdapterCandidate(Instant aNow, const Service& aService,
                                        const ModelKey& aKey);
  /** The least recently requested of the unused adapters. */
  std::optional<ModelKey> FindEvictableAdapter(
    Instant aNow, const ServiceName& aService,
    const EngineTracker& aEngine) const;
  void PlanModels(Instant aNow, ServiceSnapshot& aSnapshot,
                  std::vector<ResidencyEffect>& aEffects);
  /** Loads the models whose victims are unloaded. */
  void PlanPendingLoads(Instant aNow, ServiceSnapshot& aSnapshot,
                        std::vector<ResidencyEffect>& aEffects);
  void NoteWaitingStreams(Instant aNow, const DemandReport& aReport);
  /** Plans copies for streams that only one software version may go on with. */
  void PlanForStreams(Instant aNow, ServiceSnapshot& aSnapshot,
                      std::vector<ResidencyEffect>& aEffects);
  /** Plans the copy of a candidate. */
  void PlanCopy(Instant aNow, ServiceSnapshot& aSnapshot,
                const CatalogModel& aModel, const LoadCandidate& aCandidate,
                const char* aReason, std::vector<ResidencyEffect>& aEffects);
  /**
   * The engine that ranks first among those on which a copy of this gain costs
   * less than aCostBound; of one software version only if aSoftware is not
   * null.
   */
  std::optional<LoadCandidate> FindLoadCandidate(
    Instant aNow, const ServiceSnapshot& aSnapshot, const CatalogModel& aModel,
    double aGain, const SoftwareVersion* aSoftware = nullptr,
    double aCostBound = std::numeric_limits<double>::infinity());
  std::optional<LoadCandidate> EvaluateEngine(Instant aNow,
                                              const ServiceSnapshot& aSnapshot,
                                              EngineTracker& aEngine,
                                              const CatalogModel& aModel,
                                              double aGain) const;
  /** Demand, in slots, that a model's first copy serves or may soon serve. */
  double FirstCopyValue(const Service& aService,
                        const CatalogModel& aModel) const;
  /** Grows while a requested model is held nowhere. */
  double Aging(Instant aNow, const ModelKey& aModel);
  /** Demand, in slots, that one more copy of a crowded model serves. */
  double CrowdedGain(const ServiceSnapshot& aSnapshot,
                     const ModelName& aModel) const;
  /** Demand, in slots, that is lost without a copy on an engine. */
  double EvictionLoss(const ServiceSnapshot& aSnapshot,
                      const CatalogModel& aModel,
                      const EngineTracker& aEngine) const;
  /** Memory free for models, less the reserve for adapters. */
  double FreeMegabytes(const Service& aService, const EngineTracker& aEngine,
                       double aReserve) const;
  /** Memory of as many of the largest adapters as an engine has slots. */
  static double AdapterReserve(const Service& aService);
  /** Null if the catalog does not list the model. */
  const CatalogModel* FindModel(const Service& aService,
                                const ModelName& aModel) const;
  /** Fills in the memory and the demand; only planning of models needs them. */
  void AddModelFacts(ServiceSnapshot& aSnapshot) const;
  /** The models in the order in which a step considers them. */
  std::vector<const CatalogModel*> ModelsInOrder(
    const ServiceSnapshot& aSnapshot);
  /** The least level of the engines that hold a model, in slots. */
  double LeastHolderLevel(const ServiceSnapshot& aSnapshot,
                          const ModelName& aModel) const;
  Duration LoadTime(const EngineTracker& aEngine,
                    const CatalogModel& aModel) const;
  bool IsStoreLoad(const EngineTracker& aEngine,
                   const CatalogModel& aModel) const;
  void Issue(Instant aNow, EngineTracker& aEngine, ResidencyAction aAction,
             const ModelName& aModel, const AdapterName& aAdapter,
             Duration aExpectedTime, const char* aReason,
             std::vector<ResidencyEffect>& aEffects);
  /** Number of engines on which a model is being loaded or unloaded. */
  std::size_t CountChangingEngines(const ServiceSnapshot& aSnapshot) const;

  Instant mActiveAt;
  std::shared_ptr<const Catalog> mCatalog;
  /** The models of mCatalog by service and name. */
  std::map<ServiceName, std::unordered_map<ModelName, const CatalogModel*>>
    mModels;
  /** Where the turn of the models with little demand begins. */
  std::size_t mTurn = 0;
  std::map<TargetName, EngineTracker> mEngines;
  /** Levels of the engines by the last snapshot, in slots. */
  std::unordered_map<TargetName, double> mEngineLevels;
  std::uint64_t mLoadEvaluations = 0;
  EngineSpeeds mSpeeds;
  DemandEstimate mDemand;
  std::map<ServiceName, TokenBucket> mStoreBudgets;
  std::map<ServiceName, WakeupRisk> mWakeups;
  /** Requested models without a copy, and since when they have none. */
  std::map<ModelKey, Instant> mMissingSince;
  /** Adapters requested on one more engine, and when each request expires. */
  std::map<ModelKey, Instant> mRequestedAdapters;
  std::map<SoftwareKey, WaitingStreams> mWaitingStreams;
  /** Models to load on a target once the evicted model is unloaded. */
  std::map<TargetName, PendingLoad> mPendingLoads;
  Instant mNextStep;
  std::uint64_t mNextOrder = 1;
};

} // namespace carobtide
