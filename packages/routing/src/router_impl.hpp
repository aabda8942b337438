#pragma once

/**
 * @file
 * Implementation of Router, split over router_admission, router_attempts,
 * router_hedging, router_suspects and router_views.
 */

#include "carobtide/routing/caller_table.hpp"
#include "carobtide/routing/crash_detector.hpp"
#include "carobtide/routing/length_predictor.hpp"
#include "carobtide/routing/peer_hints.hpp"
#include "carobtide/routing/prefix_cache_index.hpp"
#include "carobtide/routing/quarantine.hpp"
#include "carobtide/routing/request_queue.hpp"
#include "carobtide/routing/route_stats.hpp"
#include "carobtide/routing/router.hpp"
#include "carobtide/routing/suspect_queue.hpp"
#include "carobtide/routing/target_selector.hpp"
#include "carobtide/routing/target_table.hpp"
#include "carobtide/routing/traffic_budget.hpp"
#include "request_table.hpp"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace carobtide {

class Router::Impl
{
public:
  explicit Impl(RouterOptions aOptions);

  // Admission and queue.
  void SetBundle(std::shared_ptr<const Bundle> aBundle);
  RouterEffects OnAnnouncement(Instant aNow, const Announcement& aTarget);
  RouterEffects OnTargetSilent(Instant aNow, const TargetName& aTarget);
  RouterEffects Admit(Instant aNow, const RequestFacts& aFacts);
  RouterEffects OnCallerGone(Instant aNow, RequestId aRequest);
  RouterEffects Tick(Instant aNow);

  // Attempts.
  RouterEffects OnFirstByte(Instant aNow, AttemptId aAttempt);
  void OnTokens(Instant aNow, AttemptId aAttempt, std::uint32_t aTokens);
  RouterEffects OnFinished(Instant aNow, AttemptId aAttempt, AttemptEnd aEnd,
                           bool aDelivered);

  // Suspects.
  RouterEffects OnCrashReport(Instant aNow, const CrashReport& aReport);
  RouterEffects OnQuarantine(Instant aNow, const Digest& aFingerprint);

  // Peers and views: router_views.cpp.
  void OnPeerHints(Instant aNow, const DaemonName& aPeer,
                   const std::vector<InFlightHint>& aHints);
  std::vector<InFlightHint> Hints() const;
  void OnCacheEvent(Instant aNow, const CacheEvent& aEvent);
  DemandTable Demand(Instant aNow) const;
  bool IsReachable(const ModelName& aModel);
  RouterStats Stats() const;

private:
  /** A target that is reserved for a suspect while its attempts finish. */
  struct Isolation
  {
    RequestId mRequest;
    TargetIndex mTarget = kNoTarget;
    Instant mSince;
  };

  /** A queue key, ordered by its caller's usage, least first. */
  struct HeapEntry
  {
    double mUsage = 0.0;
    QueueKey mKey;

    auto operator<=>(const HeapEntry&) const = default;
  };

  // Admission and queue: router_admission.cpp.
  RouteIndex FindRoute(const RequestFacts& aFacts) const;
  void Refuse(RequestId aRequest, ErrorCode aCode, Duration aRetryAfter,
              std::string_view aDetail, RouterEffects& aEffects);
  /** Ends a request: refuses it if it has had no attempt, else fails it. */
  void RefuseOrFail(Instant aNow, RequestId aRequest, ErrorCode aCode,
                    std::string_view aDetail, RouterEffects& aEffects);
  /** Adds the record of an admitted request, with its expected length. */
  RequestRecord& CreateRecord(Instant aNow, const RequestFacts& aFacts,
                              RouteIndex aRoute, CallerIndex aCaller);
  void Enqueue(RequestRecord& aRequest, bool aFront);
  /** True if the request fits; may displace a less entitled request. */
  bool EnsureQueueRoom(Instant aNow, const QueueKey& aKey,
                       RouterEffects& aEffects);
  /** Expected seconds until the request is dispatched. */
  double WaitSeconds(const RequestRecord& aRequest) const;
  /** A caller's share relative to those with requests in the same queue. */
  double ShareAmongWaiting(const QueueKey& aKey) const;
  bool CanMeetDeadlines(Instant aNow, const RequestRecord& aRequest,
                        double aWaitSeconds) const;
  Duration RetryAfter(double aWaitSeconds);
  /** Dispatches queued requests of a target's routes; kNoTarget: all routes. */
  void Drain(Instant aNow, TargetIndex aTarget, RouterEffects& aEffects);
  void DrainClass(Instant aNow, WorkClass aClass, RouterEffects& aEffects);
  /** Handles a key's first request; false if no target has room for it. */
  bool DispatchFront(Instant aNow, const QueueKey& aKey,
                     RouterEffects& aEffects);
  void DropExpired(Instant aNow, RouterEffects& aEffects);
  void PromoteBatch(Instant aNow);
  void RecordDemand(Instant aNow, const RequestRecord& aRequest);

  // Attempts: router_attempts.cpp.
  TargetIndex Select(Instant aNow, const RequestRecord& aRequest);
  AttemptId Dispatch(Instant aNow, RequestRecord& aRequest, TargetIndex aTarget,
                     RouterEffects& aEffects);
  void RemoveAttempt(Instant aNow, AttemptId aAttempt);
  void CancelOthers(Instant aNow, RequestRecord& aRequest, AttemptId aWinner,
                    RouterEffects& aEffects);
  void EndRequest(Instant aNow, RequestId aRequest, RouterEffects& aEffects);
  void LearnFromAnswer(Instant aNow, const AttemptRecord& aAttempt,
                       const RequestRecord& aRequest);
  void BackOff(Instant aNow, TargetIndex aTarget);
  void RetryOrFail(Instant aNow, RequestRecord& aRequest, AttemptEnd aEnd,
                   bool aDelivered, RouterEffects& aEffects);
  /** Queues a request again, at the front or, for a suspect, to run alone. */
  void Requeue(Instant aNow, RequestRecord& aRequest, RouterEffects& aEffects);
  void Fail(Instant aNow, RequestId aRequest, ErrorCode aCode,
            std::string_view aDetail, RouterEffects& aEffects);
  double ExpectedFirstByte(const RequestRecord& aRequest) const;
  RouteStats& StatsOf(RouteIndex aRoute);
  const RouteStats& StatsOf(RouteIndex aRoute) const;

  // Hedges and probes: router_hedging.cpp.
  void ObservePendingAttempts(Instant aNow);
  void StartHedges(Instant aNow, RouterEffects& aEffects);
  bool MayHedge(const RequestRecord& aRequest) const;
  Duration HedgeDelay(Instant aNow, const RequestRecord& aRequest) const;
  /** Time without progress divided by the expected time. */
  double LatenessOf(Instant aNow, const AttemptRecord& aAttempt,
                    const RequestRecord& aRequest) const;
  void StartProbe(Instant aNow, RequestRecord& aRequest,
                  RouterEffects& aEffects);

  // Suspects: router_suspects.cpp.
  void HandleLostConnection(Instant aNow, const AttemptRecord& aAttempt,
                            RequestRecord& aRequest, bool aDelivered,
                            RouterEffects& aEffects);
  void ApplyCrashDecision(Instant aNow, const CrashDecision& aDecision,
                          RouterEffects& aEffects);
  void QuarantineContent(Instant aNow, const Digest& aFingerprint,
                         RouterEffects& aEffects);
  void EndQuarantinedRequests(Instant aNow, const Digest& aFingerprint,
                              RouterEffects& aEffects);
  void QueueSuspect(Instant aNow, RequestRecord& aRequest,
                    RouterEffects& aEffects);
  void RunNextSuspect(Instant aNow, RouterEffects& aEffects);
  TargetIndex SelectIsolationTarget(Instant aNow,
                                    const RequestRecord& aRequest);
  void ReleaseIsolation(RequestId aRequest);

  RouterOptions mOptions;
  RandomEngine mRandom;
  std::shared_ptr<const Bundle> mBundle;
  TargetTable mTargets;
  TargetSelector mSelector;
  CallerTable mCallers;
  LengthPredictor mLengths;
  PrefixCacheIndex mPrefixes;
  PeerHints mPeers;
  RequestQueue mQueue;
  TrafficBudget mRetryBudget;
  TrafficBudget mHedgeBudget;
  Quarantine mQuarantine;
  CrashDetector mCrashDetector;
  SuspectQueue mSuspects;
  std::optional<Isolation> mIsolation;
  RequestTable mRequests;
  AttemptTable mAttempts;
  std::vector<RouteStats> mRouteStats;
  std::map<ModelName, DemandMeter> mDemand;
  // Buffers reused between calls.
  std::vector<QueueKey> mKeys;
  std::vector<RouteIndex> mDrainRoutes;
  std::vector<HeapEntry> mHeap;
  std::set<RouteIndex> mFullRoutes;

  Instant mLastTick;
  Instant mNextMaintenance;
  Instant mNextFullDrain;
  std::uint64_t mLastAttempt = 0;
  RouterStats mStats;
};

/** Converts a duration to seconds. */
inline double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/** Converts seconds to a duration; limited to a year, so that it fits. */
inline Duration FromSeconds(double aSeconds)
{
  constexpr double kYear = 365.0 * 24 * 3600;
  const double seconds = aSeconds < kYear ? aSeconds : kYear;
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

} // namespace carobtide
