#pragma once

/**
 * @file
 * Chooses a target for one request: collects the candidates with a free slot,
 * then lets the load-balancing policy choose one of them.
 */

#include "carobtide/base.hpp"
#include "carobtide/routing/policy.hpp"
#include "carobtide/routing/prefix_cache_index.hpp"
#include "carobtide/routing/target_table.hpp"
#include "carobtide/routing/work_class.hpp"

#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace carobtide {

/** The request for which a target is chosen. */
struct SelectionRequest
{
  RouteIndex mRoute = kNoRoute;
  WorkClass mClass = WorkClass::ShortStandard;
  /**
   * Targets tried before; they are not chosen. The caller asks again without
   * them if there is no other.
   */
  std::span<const TargetIndex> mTried;
  /** Hashes of the prompt's prefixes; empty ignores prefix caches. */
  std::span<const std::uint64_t> mPrefixHashes;
  /** Ratio of the time spent in the queue to the expected service time. */
  double mWaitedRatio = 0.0;
  /**
   * Ignores slots and slowness: every reachable target that takes work and was
   * not tried is a candidate.
   */
  bool mIgnoreSlots = false;
};

/**
 * Chooses targets for one router.
 *
 * Outlier handling: while a route has a healthy target, a target whose slowness
 * reaches kSlowThreshold gets batch work only for as many slots as its speed is
 * worth, and other work only if it has waited for longer than the slow target
 * would take. Probes (FindProbe) detect that the target has recovered.
 *
 * Thread safety: none; the owning router serializes access.
 */
class TargetSelector
{
public:
  /** Uses "two-choices" if aPolicy is not the name of a policy. */
  TargetSelector(std::string_view aPolicy, SlotRules aRules,
                 std::uint64_t aSeed);

  /**
   * Chooses a target; kNoTarget if none is usable. Does not allocate while the
   * route's lists are up to date, unless aRequest ignores slots or the policy
   * is "round-robin".
   */
  TargetIndex Choose(Instant aNow, const SelectionRequest& aRequest,
                     TargetTable& aTargets, const PrefixCacheIndex& aPrefixes);

  /**
   * Finds a slow target that is idle and due for a probe; kNoTarget if there is
   * none. The caller sends it a duplicate of an idempotent request and sets the
   * entry's mProbedAt.
   */
  TargetIndex FindProbe(Instant aNow, const SelectionRequest& aRequest,
                        TargetTable& aTargets) const;

  const SlotRules& Rules() const { return mRules; }

  /** Slowness at which a target is treated as slow. */
  static constexpr double kSlowThreshold = 2.5;
  /**
   * mWaitedRatio at which long work is no longer limited to its share of the
   * slots.
   */
  static constexpr double kAgedWaitRatio = 0.75;
  /** Interval between probes of a slow target, over all daemons together. */
  static constexpr Duration kProbeInterval = 250ms;
  /**
   * Targets examined per list before the policy chooses; more are examined only
   * while none is usable or if slots are ignored.
   */
  static constexpr std::size_t kScanWindow = 16;

private:
  /**
   * Adds the usable targets of a list to mCandidates; true if an examined
   * target is healthy and not reserved, even if it has no free slot.
   */
  bool Collect(Instant aNow, const SelectionRequest& aRequest,
               std::span<const TargetIndex> aList, const TargetTable& aTargets,
               const PrefixMatches& aPrefixes);
  void Add(Instant aNow, TargetIndex aIndex, const TargetEntry& aTarget,
           double aSlowness, double aPrefixHit);
  bool IsUsable(Instant aNow, const SelectionRequest& aRequest,
                const TargetEntry& aTarget) const;
  /** Removes slow candidates that should not get this request. */
  void DropSlow(const SelectionRequest& aRequest);

  std::unique_ptr<TargetPolicy> mPolicy;
  SlotRules mRules;
  RandomEngine mRandom;
  std::vector<Candidate> mCandidates;
};

} // namespace carobtide
