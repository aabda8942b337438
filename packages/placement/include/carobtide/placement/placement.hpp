#pragma once

/**
 * @file
 * The aggregate Placement: the replicated record of orders with the memory
 * that each reserves, and the leader's controller that issues them.
 */

#include "carobtide/bundle.hpp"
#include "carobtide/placement/order.hpp"
#include "carobtide/placement/planner.hpp"
#include "carobtide/placement/target_registry.hpp"

#include <map>
#include <memory>
#include <vector>

namespace carobtide {

/**
 * Replicated record of the orders that may still have an effect.
 *
 * Invariant: on each target, resident memory plus that of every open load
 * never exceeds its memory; an unload frees memory only once settled.
 *
 * Thread safety: none; the owner guards it.
 */
class Placement
{
public:
  /** Applies a committed command; the id of a committed order is aIndex. */
  void Apply(std::uint64_t aIndex, const PlacementCommand& aCommand);

  /** Orders committed and not settled, by id. */
  const std::map<OrderId, Order>& OpenOrders() const { return mOpen; }

  /** Serializes the whole state for a snapshot, and restores it. */
  std::string Save() const;
  Result<Unit> Load(const std::string& aSnapshot);

private:
  std::map<OrderId, Order> mOpen;
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
  PlacementController(PlacementOptions aOptions, FencingToken aFence);
  ~PlacementController();

  /** Runs one step; call about every 100 ms and when something changed. */
  PlacementEffects Step(Instant aNow, const Bundle& aBundle,
                        const TargetRegistry& aTargets,
                        const Placement& aPlacement,
                        const DemandTable& aDemand);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace carobtide
