#pragma once

/**
 * @file
 * The router of a daemon, which handles each request from admission to the end
 * of its last attempt.
 */

#include "carobtide/placement/announcement.hpp"
#include "carobtide/placement/planner.hpp"
#include "carobtide/routing/policy.hpp"
#include "carobtide/routing/types.hpp"

#include <memory>
#include <string>
#include <vector>

namespace carobtide {

/** Options of a router. */
struct RouterOptions
{
  std::string mPolicy = "two-choices";
  FailureDomain mFailureDomain;
  std::uint64_t mSeed = 1;
  /** Maximum number of queued requests, over all callers. */
  std::size_t mMaxQueued = 4096;
  /** Retries allowed as a share of first attempts. */
  double mRetryBudget = 0.1;
  /** Hedges allowed as a share of first attempts. */
  double mHedgeBudget = 0.05;
  /** Maximum number of attempts of a request. */
  std::uint32_t mMaxAttempts = 3;
  /** Maximum share of a target's slots for long work. */
  double mLongShare = 0.3;
  /** Share of a target's slots reserved for short interactive work. */
  double mShortReserve = 0.2;
  /**
   * Short interactive requests that may be sent above a target's slots, as a
   * share of the slots.
   */
  double mInteractiveOvercommit = 0.25;
  /** Number of daemons that share the targets. */
  std::uint32_t mDaemons = 1;
  /**
   * Turns admission control off, as a baseline for benchmarks: every request is
   * dispatched at once, whatever is in flight, and is neither classified,
   * hedged nor refused early.
   */
  bool mPlainFifo = false;
};

/** Counters for metrics and tests. */
struct RouterStats
{
  std::uint64_t mAdmitted = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mHedges = 0;
  std::uint64_t mProbes = 0;
  std::uint64_t mQuarantined = 0;
  /** Requests ended without an answer after they were queued. */
  std::uint64_t mDropped = 0;
  std::size_t mQueued = 0;
  std::size_t mInFlight = 0;
};

/**
 * The router of one daemon. Sans-I/O: takes time and events, returns effects.
 * Every request passed to Admit ends in exactly one way: the shell reports
 * AttemptEnd::Whole or AttemptEnd::CallerGone to OnFinished, or the router
 * returns RefuseRequest or FailRequest.
 *
 * Thread safety: not thread-safe; the owner synchronizes access.
 */
class Router
{
public:
  /** Creates a router without targets or a bundle. */
  explicit Router(RouterOptions aOptions);
  ~Router();

  /** Replaces the bundle; requests in flight continue. */
  void SetBundle(std::shared_ptr<const Bundle> aBundle);

  /**
   * Applies a target's announcement, received directly or from a peer; may
   * dispatch queued requests.
   */
  RouterEffects OnAnnouncement(Instant aNow, const Announcement& aTarget);

  /** A target went silent; no new requests are sent to it. */
  RouterEffects OnTargetSilent(Instant aNow, const TargetName& aTarget);

  /**
   * Dispatches, queues or refuses a request. Precondition: no request with the
   * same id is open.
   */
  RouterEffects Admit(Instant aNow, const RequestFacts& aFacts);

  /**
   * The first byte of an attempt's answer arrived; cancels the other attempts
   * of the request.
   */
  RouterEffects OnFirstByte(Instant aNow, AttemptId aAttempt);

  /**
   * aTokens more tokens of an attempt arrived. The tokens of an answer that is
   * not streamed are reported once, before OnFinished.
   */
  void OnTokens(Instant aNow, AttemptId aAttempt, std::uint32_t aTokens);

  /**
   * An attempt ended. aDelivered is true if bytes of its answer have been sent
   * to the caller, so that only an exact resume could continue it. Unknown
   * attempts are ignored.
   */
  RouterEffects OnFinished(Instant aNow, AttemptId aAttempt, AttemptEnd aEnd,
                           bool aDelivered);

  /** The caller disconnected; removes the request and cancels its attempts. */
  RouterEffects OnCallerGone(Instant aNow, RequestId aRequest);

  /** Replaces what a peer has reported about its own requests in flight. */
  void OnPeerHints(Instant aNow, const DaemonName& aPeer,
                   const std::vector<InFlightHint>& aHints);

  /** Hints about this daemon's requests in flight, for its peers. */
  std::vector<InFlightHint> Hints() const;

  /** Updates the prefix index with a target's cache event. */
  void OnCacheEvent(Instant aNow, const CacheEvent& aEvent);

  /** A peer reports a request that was in flight at a crash. */
  RouterEffects OnCrashReport(Instant aNow, const CrashReport& aReport);

  /** A peer quarantined a fingerprint. */
  RouterEffects OnQuarantine(Instant aNow, const Digest& aFingerprint);

  /**
   * Runs the work that depends on time: ends requests that missed their
   * deadline, starts hedges, runs suspects and expires state.
   */
  RouterEffects Tick(Instant aNow);

  /** Demand per model seen by this daemon, for the planner. */
  DemandTable Demand(Instant aNow) const;

  /** True if an available target holds the model. */
  bool IsReachable(const ModelName& aModel) const;

  RouterStats Stats() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace carobtide
