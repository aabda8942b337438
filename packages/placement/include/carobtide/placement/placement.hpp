#pragma once

/**
 * @file
 * Placement, the replicated record of orders and the memory that they reserve,
 * and PlacementController, which issues orders on the leader.
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

/** Identifies one incarnation of a target. */
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
 * Invariants:
 * - On each target, all copies that are or may become resident fit in memory.
 * - An unload frees memory only once it is settled.
 * - An unload cannot remove the replica that an earlier unload relies on.
 *
 * They hold for any number of leaders, because each order is checked against
 * the record when it is applied, and commands from terms before the latest one
 * that has begun are refused.
 *
 * Thread safety: none; the owner guards it.
 */
class Placement
{
public:
  /**
   * Applies a committed command. `aIndex` is its log index and becomes the id
   * of a committed order. Returns false and changes nothing if the record does
   * not allow the command. Deterministic.
   */
  bool Apply(std::uint64_t aIndex, const PlacementCommand& aCommand);

  /** Latest term that has begun. */
  FencingToken Term() const { return mTerm; }

  /** Orders that are committed but not settled, by id. */
  const std::map<OrderId, Order>& OpenOrders() const { return mOpen; }

  /** Account of an incarnation; null if it has none or was retired. */
  const TargetAccount* FindAccount(const TargetName& aTarget,
                                   Incarnation aIncarnation) const;

  /** All accounts, ordered by target and incarnation. */
  const std::map<TargetIncarnation, TargetAccount>& Accounts() const
  {
    return mAccounts;
  }

  /**
   * Bytes of loads committed for other incarnations of the target. A target
   * that does not compare incarnations may still execute them.
   */
  Bytes LoadingInOtherIncarnations(const TargetName& aTarget,
                                   Incarnation aIncarnation) const;

  /** Serializes the complete state for a snapshot. */
  std::string Save() const;
  /** Restores a snapshot. On error, the state stays as it was. */
  Result<Unit> Load(const std::string& aSnapshot);

private:
  bool Commit(OrderId aId, const CommitOrder& aCommand);
  bool Settle(const SettleOrder& aCommand);
  bool Retire(const RetireIncarnation& aCommand);
  bool Begin(const BeginTerm& aCommand);
  bool IsReplicaRemaining(const RemainingReplica& aReplica,
                          const Order& aUnload) const;

  FencingToken mTerm;
  std::map<OrderId, Order> mOpen;
  std::map<TargetIncarnation, TargetAccount> mAccounts;
};

/** Actions that the owner of the controller must perform. */
struct PlacementEffects
{
  /** Commands to propose to the log. */
  std::vector<PlacementCommand> mPropose;
  /** Orders to send to their targets, including resends. */
  std::vector<Order> mSend;
  /** True if all models are placed, all planned copies serve and no obsolete
   * copy is left. */
  bool mSettled = false;
};

/** Settings of the controller. */
struct PlacementOptions
{
  std::string mPlanner = "demand";
  Duration mPlanInterval = std::chrono::seconds(1);
  Duration mResendInterval = std::chrono::seconds(2);
  /** A proposal that is not committed within this time may be repeated. */
  Duration mProposalTimeout = std::chrono::seconds(5);
  /**
   * Longest time between sending an order and its arrival. Where fencing cannot
   * rule out a late load, memory of a refused or undone load stays reserved.
   */
  Duration mOrderLifetime = std::chrono::seconds(10);
};

/**
 * Issues orders on the leader. It exists only during one leadership; all state
 * that must outlive it is in Placement and in the targets' announcements.
 *
 * Thread safety: none; the owner guards it.
 */
class PlacementController
{
public:
  /** `aTerm` is the leader's term, used in its fencing tokens. */
  PlacementController(PlacementOptions aOptions, FencingToken aTerm);
  ~PlacementController();

  /**
   * Runs one step. Call it about every 100 ms and after each change of the
   * inputs. Until the record is in this leader's term, it only proposes to
   * begin that term.
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
