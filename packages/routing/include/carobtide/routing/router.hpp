#pragma once

/**
 * @file
 * The aggregate Router: every request of one daemon from admission to its
 * last attempt.
 */

#include "carobtide/placement/announcement.hpp"
#include "carobtide/placement/planner.hpp"
#include "carobtide/routing/policy.hpp"
#include "carobtide/routing/types.hpp"

#include <memory>
#include <string>
#include <vector>

namespace carobtide {

/** Choices and limits of a router. */
struct RouterOptions
{
  std::string mPolicy = "two-choices";
  FailureDomain mFailureDomain;
  std::uint64_t mSeed = 1;
  /** Most requests waiting for a target, over all callers. */
  std::size_t mMaxQueued = 4096;
  /** Retries allowed as a share of first attempts. */
  double mRetryBudget = 0.1;
  /** Hedges allowed as a share of first attempts. */
  double mHedgeBudget = 0.05;
  /** Most attempts of one request. */
  std::uint32_t mMaxAttempts = 3;
  /** Share of a target's slots that long work may take. */
  double mLongShare = 0.3;
  /** Share of a target's slots kept for short interactive work. */
  double mShortReserve = 0.2;
  /** Share of a target's slots that short interactive work may exceed. */
  double mInteractiveOvercommit = 0.25;
  /** Daemons that share the targets, for limits kept per daemon. */
  std::uint32_t mDaemons = 1;
  /**
   * True turns admission off, as a baseline: every request goes out at once,
   * whatever is in flight, and is neither classed, hedged nor refused early.
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
  /** Refused after they were queued. */
  std::uint64_t mDropped = 0;
  std::size_t mQueued = 0;
  std::size_t mInFlight = 0;
};

/**
 * The router of one daemon. Sans-I/O: takes time and events, returns effects.
 * Every request given to Admit ends in exactly one of: OnFinished with
 * AttemptEnd::Whole or CallerGone by the shell, RefuseRequest, FailRequest.
 *
 * Thread safety: none; the owner guards it.
 */
class Router
{
public:
  explicit Router(RouterOptions aOptions);
  ~Router();

  /** Takes a bundle; requests in flight keep running. */
  void SetBundle(std::shared_ptr<const Bundle> aBundle);

  /** Takes a target's announcement, own or forwarded; may free the queue. */
  RouterEffects OnAnnouncement(Instant aNow, const Announcement& aTarget);

  /** A target went silent: nothing new is sent to it. */
  RouterEffects OnTargetSilent(Instant aNow, const TargetName& aTarget);

  /** Admits, queues or refuses a request. */
  RouterEffects Admit(Instant aNow, const RequestFacts& aFacts);

  /** The first byte of an attempt's answer arrived. */
  RouterEffects OnFirstByte(Instant aNow, AttemptId aAttempt);

  /**
   * Some generated tokens of an attempt arrived. An answer that is not
   * streamed is reported once, whole, before OnFinished.
   */
  void OnTokens(Instant aNow, AttemptId aAttempt, std::uint32_t aTokens);

  /**
   * An attempt ended. `aDelivered` is true if bytes of its answer already
   * went to the caller, so that only an exact resume could follow.
   */
  RouterEffects OnFinished(Instant aNow, AttemptId aAttempt, AttemptEnd aEnd,
                           bool aDelivered);

  /** The caller went away; a queued request is dropped, attempts cancelled. */
  RouterEffects OnCallerGone(Instant aNow, RequestId aRequest);

  /** Hints of a peer about its own requests in flight; replaces earlier. */
  void OnPeerHints(Instant aNow, const DaemonName& aPeer,
                   const std::vector<InFlightHint>& aHints);

  /** This daemon's hints for its peers. */
  std::vector<InFlightHint> Hints() const;

  void OnCacheEvent(Instant aNow, const CacheEvent& aEvent);

  /** A peer saw a target crash with a request in flight there. */
  RouterEffects OnCrashReport(Instant aNow, const CrashReport& aStrike);

  /** A peer quarantined a fingerprint. */
  RouterEffects OnQuarantine(Instant aNow, const Digest& aFingerprint);

  /** Drops what missed its deadline, starts hedges, retries suspects. */
  RouterEffects Tick(Instant aNow);

  /** Demand that this daemon saw, for the planner. */
  DemandTable Demand(Instant aNow) const;

  /** True if some live target holds the model (and adapter, if any). */
  bool IsReachable(const ModelName& aModel) const;

  RouterStats Stats() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace carobtide
