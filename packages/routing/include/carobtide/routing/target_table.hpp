#pragma once

/**
 * @file
 * The targets that a router may choose from, indexed by what they hold.
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
/** Position of a route: a model, a model with an adapter, or a pool. */
using RouteIndex = std::uint32_t;

inline constexpr TargetIndex kNoTarget =
  std::numeric_limits<TargetIndex>::max();
inline constexpr RouteIndex kNoRoute = std::numeric_limits<RouteIndex>::max();

/** What the router knows of one target. */
struct TargetEntry
{
  TargetName mName;
  Endpoint mAddress;
  FailureDomain mFailureDomain;
  Incarnation mIncarnation;
  /** The process before this one; its late announcements are ignored. */
  Incarnation mPreviousIncarnation;
  std::uint64_t mSequence = 0;
  TargetKind mKind = TargetKind::Engine;
  std::string mPool;
  std::vector<ResidentModel> mResident;
  /** Routes that list this target. */
  std::vector<RouteIndex> mRoutes;
  std::uint32_t mSlots = 1;
  std::uint32_t mAccelerators = 1;
  /** Running plus waiting as last reported, and when that was so. */
  std::uint32_t mReported = 0;
  Instant mReportedAt;
  Instant mHeardAt;
  /** This daemon's attempts there; long ones also counted apart. */
  std::uint32_t mOwnInFlight = 0;
  std::uint32_t mOwnLong = 0;
  /** Sums of what peers hinted. */
  std::uint32_t mPeerInFlight = 0;
  std::uint32_t mPeerLong = 0;
  /** After refused connections nothing is sent before this time. */
  Instant mAvoidUntil;
  /** Refused or lost a connection at mConnectionLostAt and was not heard of
   * since. */
  bool mAwaitsAnnouncement = false;
  Instant mConnectionLostAt;
  /** When a shunned target was last tried again. */
  Instant mProbedAt;
  /** Consecutive refused connections. */
  std::uint32_t mRefusals = 0;
  LatencyTracker mLatency;
  bool mLocal = false;
  bool mSilent = false;
  bool mLeaving = false;
  /** Reserved for one suspect request; nothing else is sent. */
  bool mExclusive = false;
  bool mUsed = false;

  /** Slowness that a peer observed last, and when it said so. */
  double mPeerSlowness = 1.0;
  Instant mPeerSlownessAt;

  /**
   * Own slowness, or a peer's if that is worse, just heard and newer than any
   * sample of this daemon.
   */
  double Slowness(Instant aNow) const;

  bool TakesWork() const { return mUsed && !mSilent && !mLeaving; }

  /** True unless it has just refused or lost a connection. */
  bool IsReachable(Instant aNow) const
  {
    return !mAwaitsAnnouncement && mAvoidUntil <= aNow;
  }
};

/** What an announcement changed in the table. */
struct TargetUpdate
{
  TargetIndex mIndex = kNoTarget;
  /** False if the announcement was older than one already known. */
  bool mApplied = false;
  /** True if the target process is another one than before. */
  bool mRestarted = false;
  /** True if routes may have gained or lost the target. */
  bool mRoutesChanged = false;
};

/** The usable targets of one route, best tier first. */
struct RouteTargets
{
  /** Hold what the bundle in force wants, in this failure domain. */
  std::span<const TargetIndex> mLocal;
  /** The same in other failure domains. */
  std::span<const TargetIndex> mRemote;
  /** Hold another version; used when none of the above has room. */
  std::span<const TargetIndex> mFallback;

  bool IsEmpty() const
  {
    return mLocal.empty() && mRemote.empty() && mFallback.empty();
  }
};

/**
 * Table of targets. A target that leaves or goes silent is off every route
 * when the call that says so returns.
 *
 * Thread safety: none; the owner guards it. Lookups allocate nothing once a
 * route's lists are built; lists are rebuilt after a change.
 */
class TargetTable
{
public:
  explicit TargetTable(FailureDomain aLocal);

  /** Takes the names, versions and pools that the bundle in force wants. */
  void SetBundle(const Bundle& aBundle);

  TargetUpdate Apply(Instant aNow, const Announcement& aAnnouncement);

  /** Marks a target silent; its index, or kNoTarget if unknown. */
  TargetIndex MarkSilent(const TargetName& aName);

  /**
   * Forgets targets that have been silent since before aBefore and have
   * nothing in flight.
   */
  void ForgetSilent(Instant aBefore);

  /**
   * The route of a model or of a model with an adapter; an adapter unknown
   * here falls back to its model. kNoRoute if the model is unknown.
   */
  RouteIndex FindModelRoute(const ModelName& aModel,
                            const AdapterName& aAdapter) const;

  /** The route of a service's pool; kNoRoute if unknown. */
  RouteIndex FindServiceRoute(const ServiceName& aService) const;

  /** Usable targets of a route. Spans are valid until the next change. */
  RouteTargets Targets(RouteIndex aRoute);

  /** True if a usable target of the route is reachable, whether it has room. */
  bool HasReachable(Instant aNow, RouteIndex aRoute);

  /**
   * A connection to the target was refused or lost: it is not reachable until
   * an announcement tells of it.
   */
  void AwaitAnnouncement(Instant aNow, TargetIndex aTarget);

  /** Appends the routes of a model's adapters; nothing for other routes. */
  void AppendAdapters(RouteIndex aBase, std::vector<RouteIndex>& aOut) const;

  TargetEntry& At(TargetIndex aIndex) { return mTargets[aIndex]; }
  const TargetEntry& At(TargetIndex aIndex) const { return mTargets[aIndex]; }
  TargetIndex Find(const TargetName& aName) const;

  std::size_t TargetCount() const { return mByName.size(); }
  std::size_t RouteCount() const { return mRoutes.size(); }
  /** Upper bound of indices, for iteration; entries may be unused. */
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
    /** Version in force; 0 takes any. */
    std::uint32_t mWantedVersion = 0;
    /** For an adapter, its model's route; used while nothing holds it. */
    RouteIndex mBase = kNoRoute;
    /** For a model, the routes of its adapters. */
    std::vector<RouteIndex> mAdapters;
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
  void Relist(TargetIndex aIndex);
  void Unlist(TargetIndex aIndex);
  void List(TargetIndex aIndex, RouteIndex aRoute, std::uint32_t aVersion);
  void MarkDirty(const TargetEntry& aTarget);
  void Rebuild(Route& aRoute);

  FailureDomain mLocal;
  std::vector<TargetEntry> mTargets;
  std::vector<TargetIndex> mFree;
  std::unordered_map<TargetName, TargetIndex> mByName;
  std::vector<Route> mRoutes;
  std::unordered_map<ModelName, ModelRoutes> mModels;
  std::unordered_map<std::string, RouteIndex> mPools;
  std::unordered_map<ServiceName, RouteIndex> mServices;
};

} // namespace carobtide
