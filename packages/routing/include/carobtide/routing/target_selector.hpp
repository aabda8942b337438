#pragma once

/**
 * @file
 * Chooses a target for one piece of work: gathers the candidates that have
 * room, then asks the policy.
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

/** What a choice is for. */
struct SelectionRequest
{
  RouteIndex mRoute = kNoRoute;
  WorkClass mClass = WorkClass::ShortStandard;
  /** Targets not to be chosen again if there is another. */
  std::span<const TargetIndex> mTried;
  std::span<const std::uint64_t> mPrefixHashes;
  /** Time waited over expected service time. */
  double mWaitedRatio = 0.0;
  /** True ignores slots: every live target is a candidate. */
  bool mIgnoreSlots = false;
};

/**
 * Selector of one router.
 *
 * A target whose own latency shows it slowed is shunned while any holder is
 * healthy: it gets patient work in proportion to its speed, and other work
 * only once that has waited for longer than the slow target would take.
 * Recovery is noticed by probes, FindProbe.
 *
 * Thread safety: none; the owner guards it. Choose allocates nothing unless
 * slots are ignored.
 */
class TargetSelector
{
public:
  /** Falls back to "two-choices" for an unknown policy. */
  TargetSelector(std::string_view aPolicy, SlotRules aRules,
                 std::uint64_t aSeed);

  /** The target to use, or kNoTarget if none has room. */
  TargetIndex Choose(Instant aNow, const SelectionRequest& aRequest,
                     TargetTable& aTargets, const PrefixCacheIndex& aPrefixes);

  /**
   * A shunned target that is due for a probe, or kNoTarget. The caller sends
   * it a duplicate of idempotent work and sets mProbedAt.
   */
  TargetIndex FindProbe(Instant aNow, const SelectionRequest& aRequest,
                        TargetTable& aTargets) const;

  const SlotRules& Rules() const { return mRules; }

  /** Slowness from which a target is shunned. */
  static constexpr double kSlowThreshold = 2.5;
  /** Wait, over its expected time, after which long work may leave its share.
   */
  static constexpr double kLongPatience = 0.75;
  /** Time between two probes of a shunned target, over all daemons. */
  static constexpr Duration kProbeInterval = 250ms;
  /** Candidates gathered from one list before the policy decides. */
  static constexpr std::size_t kWindow = 16;

private:
  /** Adds what is usable of a list; true if it has a healthy target. */
  bool Gather(Instant aNow, const SelectionRequest& aRequest,
              std::span<const TargetIndex> aList, const TargetTable& aTargets,
              const PrefixMatches& aPrefixes);
  void Add(Instant aNow, TargetIndex aIndex, const TargetEntry& aTarget,
           double aSlowness, double aPrefixHit);
  bool IsUsable(Instant aNow, const SelectionRequest& aRequest,
                const TargetEntry& aTarget) const;
  void DropShunned(const SelectionRequest& aRequest);

  std::unique_ptr<TargetPolicy> mPolicy;
  SlotRules mRules;
  RandomEngine mRandom;
  std::vector<Candidate> mCandidates;
};

} // namespace carobtide
