#pragma once

/**
 * @file
 * Known targets, indexed by the models, adapters and pools that they serve.
 */

#include "carobtide/base.hpp"
#include "carobtide/bundle.hpp"
#include "carobtide/placement/announcement.hpp"
#include "carobtide/routing/latency_tracker.hpp"

#include <cstdint>
#include <limits>
#include <span>
#include <unordered_map>
#include <vector>

namespace carobtide {

/** Position of a target in the table; stable while the target is known. */
using TargetIndex = std::uint32_t;
/**
 * Position of a route: a model, a model with an adapter, or a pool. Stable for
 * the lifetime of the table.
 */
using RouteIndex = std::uint32_t;

inline constexpr TargetIndex kNoTarget =
  std::numeric_limits<TargetIndex>::max();
inline constexpr RouteIndex kNoRoute = std::numeric_limits<RouteIndex>::max();

/** State of one target as known to this router. */
struct TargetEntry
{
  TargetName mName;
  Endpoint mAddress;
  FailureDomain mFailureDomain;
  Incarnation mIncarnation;
  /** Process that this one replaced; its late announcements are ignored. */
  Incarnation mPreviousIncarnation;
  /** Sequence number of the last announcement that was applied. */
  std::uint64_t mSequence = 0;
  TargetKind mKind = TargetKind::Engine;
  std::string mPool;
  std::vector<ResidentModel> mResident;
  /** Routes that list this target. */
  std::vector<RouteIndex> mRoutes;
  /** Requests that the target runs at the same time. */
  std::uint32_t mSlots = 1;
  std::uint32_t mAccelerators = 1;
  /** Requests running and waiting, and the time at which that was measured. */
  std::uint32_t mReported = 0;
  Instant mReportedAt;
  Instant mLastAnnouncementAt;
  /** Attempts of this daemon in flight, and the long ones among them. */
  std::uint32_t mOwnInFlight = 0;
  std::uint32_t mOwnLong = 0;
  /** The same for all other daemons together, from their hints. */
  std::uint32_t mPeerInFlight = 0;
  std::uint32_t mPeerLong = 0;
  /** Backoff after refused connections: nothing is sent before this time. */
  Instant mAvoidUntil;
  /**
   * True after a connection was refused or lost at mConnectionLostAt, until a
   * later announcement arrives.
   */
  bool mAwaitsAnnouncement = false;
  Instant mConnectionLostAt;
  /** Time of the last probe while the target was slow. */
  Instant mProbedAt;
  /** Consecutive refused connections. */
  std::uint32_t mRefusals = 0;
  LatencyTracker mLatency;
  /** True if it is in this daemon's failure domain. */
  bool mLocal = false;
  /** True if its announcements have stopped. */
  bool mSilent = false;
  bool mLeaving = false;
  /**
   * Reserved for the isolated run of one request that is suspected of crashing
   * targets; nothing else is sent.
   */
  bool mExclusive = false;
  /** False for a free entry. */
  bool mInUse = false;

  /** Slowness last reported by another daemon, and when it was received. */
  double mPeerSlowness = 1.0;
  Instant mPeerSlownessAt;

  /**
   * Ratio of the target's latency to the expected latency as measured by this
   * daemon. A peer's higher value is used instead if it was received recently
   * and after this daemon's last sample.
   */
  double Slowness(Instant aNow) const;

  /** True unless the target is unknown, silent or leaving. */
  bool TakesWork() const { return mInUse && !mSilent && !mLeaving; }

  /**
   * False during the backoff after a refused connection and until an
   * announcement follows a refused or lost one.
   */
  bool IsReachable(Instant aNow) const
  {
    return !mAwaitsAnnouncement && mAvoidUntil <= aNow;
  }
};

/** Effect of an announcement on the table. */
struct TargetUpdate
{
  TargetIndex mIndex = kNoTarget;
  /** False if the announcement was out of date and was ignored. */
  bool mApplied = false;
  /** True if the announcement comes from a new process of a known target. */
  bool mRestarted = false;
  /** True if the target may have been added to or removed from routes. */
  bool mRoutesChanged = false;
};

/** The targets of one route that take work, best tier first. */
struct RouteTargets
{
  /** Hold the version of the bundle in force, in this failure domain. */
  std::span<const TargetIndex> mLocal;
  /** The same in other failure domains. */
  std::span<const TargetIndex> mRemote;
  /** Hold another version; used if none of the above has a free slot. */
  std::span<const TargetIndex> mFallback;

  bool IsEmpty() const
  {
    return mLocal.empty() && mRemote.empty() && mFallback.empty();
  }
};

/**
 * Table of targets and routes.
 *
 * A leaving or silent target is on no route once the call that reports it has
 * returned. The lists of a route are rebuilt by the first lookup after a
 * change; other lookups do not allocate.
 *
 * Thread safety: none; the owning router serializes access.
 */
class TargetTable
{
public:
  /** aLocal is the failure domain of this daemon. */
  explicit TargetTable(FailureDomain aLocal);

  /** Sets the models, adapters, versions and service pools in force. */
  void SetBundle(const Bundle& aBundle);

  /** Adds or updates a target; ignores announcements that are out of date. */
  TargetUpdate Apply(Instant aNow, const Announcement& aAnnouncement);

  /**
   * Takes a target off all routes until its next announcement. Returns its
   * index, or kNoTarget if it is unknown.
   */
  TargetIndex MarkSilent(const TargetName& aName);

  /**
   * Removes silent targets whose last announcement came before aBefore. Targets
   * with attempts of this daemon in flight and reserved ones are kept.
   */
  void ForgetSilent(Instant aBefore);

  /**
   * Finds the route of a model, or of a model with an adapter if aAdapter is
   * not empty. An unknown adapter gives the route of its model; an unknown
   * model gives kNoRoute.
   */
  RouteIndex FindModelRoute(const ModelName& aModel,
                            const AdapterName& aAdapter) const;

  /** Finds the route of a service's pool; kNoRoute if it is unknown. */
  RouteIndex FindServiceRoute(const ServiceName& aService) const;

  /**
   * Targets of a route that take work. An adapter that no such target holds
   * gives the targets of its model. The spans are valid until the table
   * changes.
   *
   * Precondition: aRoute was returned by this table and is not kNoRoute.
   */
  RouteTargets Targets(RouteIndex aRoute);

  /** True if a target of the route is reachable, with or without free slots. */
  bool HasReachable(Instant aNow, RouteIndex aRoute);

  /**
   * Makes a target unreachable after a refused or lost connection. It stays
   * unreachable until a new process announces itself or an announcement arrives
   * so late that it must have been sent after aNow.
   */
  void AwaitAnnouncement(Instant aNow, TargetIndex aTarget);

  /**
   * Appends the routes of a model's adapters to aOut; none if aBase is not the
   * route of a model.
   */
  void AppendAdapters(RouteIndex aBase, std::vector<RouteIndex>& aOut) const;

  /** Entry of a target. Precondition: aIndex < Size(). */
  TargetEntry& At(TargetIndex aIndex) { return mTargets[aIndex]; }
  const TargetEntry& At(TargetIndex aIndex) const { return mTargets[aIndex]; }
  /** Index of a target; kNoTarget if it is unknown. */
  TargetIndex Find(const TargetName& aName) const;

  std::size_t TargetCount() const { return mByName.size(); }
  std::size_t RouteCount() const { return mRoutes.size(); }
  /** Number of entries, including those that are not in use. */
  std::size_t Size() const { return mTargets.size(); }

private:
  struct Holder
  {
    TargetIndex mTarget = kNoTarget;
    std::uint32_t mVersion = 0;
  };

  struct Route
  {
    std::vector<Holder> mHolders;
    std::vector<TargetIndex> mLocal;
    std::vector<TargetIndex> mRemote;
    std::vector<TargetIndex> mFallback;
    /** Version of the bundle in force; 0 accepts every version. */
    std::uint32_t mWantedVersion = 0;
    /** For an adapter, the route of its model; used while no target holds it.
     */
    RouteIndex mBase = kNoRoute;
    /** For a model, the routes of its adapters. */
    std::vector<RouteIndex> mAdapters;
    /** True if the lists must be rebuilt from mHolders. */
    bool mDirty = true;
  };

  struct ModelRoutes
  {
    RouteIndex mBase = kNoRoute;
    std::unordered_map<AdapterName, RouteIndex> mAdapters;
  };

  RouteIndex NewRoute();
  RouteIndex InternModel(const ModelName& aModel, const AdapterName& aAdapter);
  RouteIndex InternPool(const std::string& aPool);
  TargetIndex Allocate(const TargetName& aName);
  /** Moves a target to the routes of what it holds now. */
  void UpdateRoutes(TargetIndex aIndex);
  void RemoveFromRoutes(TargetIndex aIndex);
  void AddToRoute(TargetIndex aIndex, RouteIndex aRoute,
                  std::uint32_t aVersion);
  void MarkDirty(const TargetEntry& aTarget);
  void Rebuild(Route& aRoute);

  FailureDomain mLocalDomain;
  std::vector<TargetEntry> mTargets;
  std::vector<TargetIndex> mFreeEntries;
  std::unordered_map<TargetName, TargetIndex> mByName;
  std::vector<Route> mRoutes;
  std::unordered_map<ModelName, ModelRoutes> mModels;
  std::unordered_map<std::string, RouteIndex> mPools;
  std::unordered_map<ServiceName, RouteIndex> mServices;
};

} // namespace carobtide
