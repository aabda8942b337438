#pragma once

/**
 * @file
 * The aggregate Placement: the replicated record of orders with the memory
 * that each reserves, and the leader's controller that issues them.
 */

#include "carobtide/bundle.hpp"
#include "carobtide/placement/order.hpp"
#include "carobtide/placement/planner.hpp"
#include "carobtide/placement/target_account.hpp"
#include "carobtide/placement/target_registry.hpp"

#include <map>
#include <memory>
#include <vector>

namespace carobtide {

/** One incarnation of a target. */
struct TargetIncarnation
{
  TargetName mTarget;
  Incarnation mIncarnation;

  auto operator<=>(const TargetIncarnation&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTarget, mIncarnation);
  }
};

/**
 * Replicated record of the orders that may still have an effect and of the
 * memory account of each target.
 *
 * Invariants: on each target, the memory of every copy that is or may come to
 * be resident never exceeds its memory; an unload frees memory only once
 * settled; of two unloads in the log, the second cannot take the replica that
 * the first one relied on. They hold for orders of any number of leaders,
 * since every order is checked against the record when it is applied, and
 * none is taken from a term before the latest that began.
 *
 * Thread safety: none; the owner guards it.
 */
class Placement
{
public:
  /**
   * Applies a committed command; the id of a committed order is aIndex.
   * False, and nothing changes, if the record does not allow it.
   * Deterministic.
   */
  bool Apply(std::uint64_t aIndex, const PlacementCommand& aCommand);

  /** The latest term that began. */
  FencingToken Term() const { return mTerm; }

  /** Orders committed and not settled, by id. */
  const std::map<OrderId, Order>& OpenOrders() const { return mOpen; }

  /** The account of an incarnation; null if it never had an order. */
  const TargetAccount* FindAccount(const TargetName& aTarget,
                                   Incarnation aIncarnation) const;

  /** All accounts; those of one target stand together. */
  const std::map<TargetIncarnation, TargetAccount>& Accounts() const
  {
    return mAccounts;
  }

  /**
   * Bytes of loads committed for other incarnations of the target, which a
   * target that does not compare incarnations might still carry out.
   */
  Bytes LoadingInOtherIncarnations(const TargetName& aTarget,
                                   Incarnation aIncarnation) const;

  /** Serializes the whole state for a snapshot, and restores it. */
  std::string Save() const;
  Result<Unit> Load(const std::string& aSnapshot);

private:
  bool Commit(OrderId aId, const CommitOrder& aCommand);
  bool Settle(const SettleOrder& aCommand);
  bool Retire(const RetireIncarnation& aCommand);
  bool Begin(const BeginTerm& aCommand);
  bool IsWitnessStaying(const RemainingReplica& aWitness,
                        const Order& aUnload) const;

  FencingToken mTerm;
  std::map<OrderId, Order> mOpen;
  std::map<TargetIncarnation, TargetAccount> mAccounts;
};

/** What the leader's shell has to do. */
struct PlacementEffects
{
  /** Propose to the log. */
  std::vector<PlacementCommand> mPropose;
  /** Send to the target (again, where it was sent before). */
  std::vector<Order> mSend;
  /** True once every copy of the plan is resident. */
  bool mSettled = false;
};

/** Limits of the controller. */
struct PlacementOptions
{
  std::string mPlanner = "demand";
  Duration mPlanInterval = std::chrono::seconds(1);
  Duration mResendInterval = std::chrono::seconds(2);
  /** Orders proposed but not yet seen committed are forgotten after this. */
  Duration mProposalTimeout = std::chrono::seconds(5);
  /**
   * Longest time between the sending of an order and its arrival. Where
   * fencing proves nothing, a refused or undone load stays reserved for it.
   */
  Duration mOrderLifetime = std::chrono::seconds(10);
};

/**
 * Issues orders on the leader. Created when leadership starts, dropped when
 * it ends: all that must survive is in Placement and in the announcements.
 *
 * Thread safety: none; the owner guards it.
 */
class PlacementController
{
public:
  /** `aTerm` is the leader's term, from which its fencing tokens are made. */
  PlacementController(PlacementOptions aOptions, FencingToken aTerm);
  ~PlacementController();

  /**
   * Runs one step; call about every 100 ms and when something changed. Until
   * the record is in this leader's term, it only proposes to begin it.
   */
  PlacementEffects Step(Instant aNow, const Bundle& aBundle,
                        const TargetRegistry& aTargets,
                        const Placement& aPlacement,
                        const DemandTable& aDemand);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace carobtide
