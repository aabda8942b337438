#pragma once

/**
 * @file
 * Decides which engines hold which models and adapters, on deployments whose
 * engines take orders bound to their own count of orders.
 */

#include "carobtide/catalog.hpp"
#include "carobtide/fleet.hpp"
#include "carobtide/placement/demand_estimate.hpp"
#include "carobtide/placement/engine_tracker.hpp"
#include "carobtide/placement/store_budget.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace carobtide {

/** Ask an engine for its account. */
struct RequestEngineReport
{
  TargetName mTarget;
  Incarnation mIncarnation;
  Endpoint mAddress;
};

/** Send an order, with the load on the store noted already. */
struct IssueOrder
{
  ResidencyOrder mOrder;
  /** For the log: why. */
  std::string mReason;
};

using ResidencyEffect = std::variant<RequestEngineReport, IssueOrder>;

/**
 * The leader's decisions on residency. Sans-I/O.
 *
 * Load patterns it answers: demand that moves to other models within seconds;
 * a model asked for that no engine holds; adapters asked for one by one;
 * engines that come empty or leave at short notice. Every model keeps a place
 * as far as there is room, and a model leaves an engine only when another
 * engine holds it or when a model that is asked for has no place at all.
 *
 * Thread safety: none; the owner guards it.
 */
class ResidencyPlanner
{
public:
  /** Becomes active at `aActiveAt`: before, a former leader may still act. */
  explicit ResidencyPlanner(Instant aActiveAt);

  void SetCatalog(std::shared_ptr<const Catalog> aCatalog);

  /** Takes the newest record of a target. */
  void OnTarget(Instant aNow, const FleetRecord& aRecord);

  void OnDemand(Instant aNow, const DemandReport& aReport);

  void OnReport(Instant aNow, const TargetName& aTarget,
                Incarnation aIncarnation, Instant aAskedAt,
                const std::optional<EngineReport>& aReport);

  void OnAnswer(Instant aNow, const TargetName& aTarget, OrderId aOrder,
                ResidencyAnswer aAnswer);

  /** An adapter is wanted on a target, or on one more than hold it. */
  void RequestAdapter(Instant aNow, const EnsureAdapter& aWanted);

  /** Usable targets that hold an adapter. */
  std::vector<TargetName> HoldersOf(const ModelKey& aKey) const;

  /** Lets time pass; call every 100 ms and after each answer. */
  std::vector<ResidencyEffect> Step(Instant aNow);

  /** What all engines hold for requests. */
  std::vector<Residency> Map() const;

  /** Engines with an order that has not come to its end. */
  std::size_t OrdersUnderWay() const;

private:
  using Service = CatalogService;

  /** The engines of one service and figures worked out once a step. */
  struct Board
  {
    const Service* mService = nullptr;
    std::vector<EngineTracker*> mEngines;
    /** Engines on which a model serves or comes. */
    std::map<ModelName, std::vector<const EngineTracker*>> mHolders;
    /** Slots that a model takes on an engine. */
    std::map<std::pair<ModelName, const EngineTracker*>, double> mParts;
    /** Slots taken on an engine by all its models. */
    std::map<const EngineTracker*, double> mLoad;
    /** Slots taken on an engine if all took the same. */
    double mMeanLoad = 0;

    std::size_t CopiesOf(const ModelName& aModel) const;
    double PartOf(const ModelName& aModel, const EngineTracker* aEngine) const;
  };

  /** A way to make room for a model on an engine. */
  struct Seat
  {
    EngineTracker* mEngine = nullptr;
    /** Empty if there is room already. */
    ModelName mVictim;
    double mCost = 0;
  };

  /** An engine for an adapter, and what must give way to it there. */
  struct AdapterPlace
  {
    EngineTracker* mEngine = nullptr;
    std::optional<ModelKey> mVictim;
  };

  /** Time an unload takes when nothing runs. */
  static constexpr Duration kUnloadTime = std::chrono::milliseconds(50);

  Board MakeBoard(const Service& aService);
  /** Shares needs out as routing does: to the least loaded holders. */
  void ShareOut(Board& aBoard) const;
  void PlanReports(Instant aNow, std::vector<ResidencyEffect>& aEffects);
  void PlanResends(Instant aNow, std::vector<ResidencyEffect>& aEffects);
  void PlanAdapters(Instant aNow, Board& aBoard,
                    std::vector<ResidencyEffect>& aEffects);
  /** The best engine that holds the model only and has a place to give. */
  AdapterPlace FindAdapterPlace(Instant aNow, Board& aBoard,
                                const ModelKey& aKey) const;
  /** Of the adapters that nobody uses, the one asked for longest ago. */
  std::optional<ModelKey> SpareAdapter(Instant aNow,
                                       const ServiceName& aService,
                                       const EngineTracker& aEngine) const;
  static std::size_t AdaptersOn(const EngineTracker& aEngine);
  void PlanModels(Instant aNow, Board& aBoard,
                  std::vector<ResidencyEffect>& aEffects);
  bool PlanCopy(Instant aNow, Board& aBoard, const CatalogModel& aModel,
                bool aUrgent, const char* aReason,
                std::vector<ResidencyEffect>& aEffects);
  std::optional<Seat> FindSeat(Instant aNow, const Board& aBoard,
                               const CatalogModel& aModel, bool aUrgent);
  std::optional<Seat> SeatOn(Instant aNow, const Board& aBoard,
                             EngineTracker& aEngine, const CatalogModel& aModel,
                             bool aUrgent) const;
  double FreeMegabytes(const Service& aService,
                       const EngineTracker& aEngine) const;
  /** Load of the least loaded engine that holds a model. */
  double PressureOf(const Board& aBoard, const ModelName& aModel) const;
  Duration LoadTime(const EngineTracker& aEngine,
                    const CatalogModel& aModel) const;
  bool IsStoreLoad(const EngineTracker& aEngine,
                   const CatalogModel& aModel) const;
  void Issue(Instant aNow, EngineTracker& aEngine, ResidencyAction aAction,
             const ModelName& aModel, const AdapterName& aAdapter,
             Duration aExpectedTime, const char* aReason,
             std::vector<ResidencyEffect>& aEffects);
  std::size_t BusyModels(const Board& aBoard) const;

  Instant mActiveAt;
  std::shared_ptr<const Catalog> mCatalog;
  std::map<TargetName, EngineTracker> mEngines;
  DemandEstimate mDemand;
  std::map<ServiceName, TokenBucket> mStores;
  /** Adapters wanted on one more engine, and until when. */
  std::map<ModelKey, Instant> mWanted;
  /** Models that take a seat once their victim is gone. */
  std::map<TargetName, ModelName> mNext;
  Instant mNextStep;
  std::uint64_t mNextOrder = 1;
};

} // namespace carobtide
