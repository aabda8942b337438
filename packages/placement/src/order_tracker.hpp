#pragma once

/**
 * @file
 * Tracks the delivery of open orders by one leader: when it sent them, with
 * which fencing token, and when no copy of them can still be in flight.
 */

#include "carobtide/placement/placement.hpp"

#include <map>
#include <optional>
#include <utility>

namespace carobtide {

/**
 * Delivery state of the open orders, for one term of a leader.
 *
 * Thread safety: none; the caller must synchronize access.
 */
class OrderTracker
{
public:
  /** `aLifetime` is the longest time that a sent order can be in flight. */
  OrderTracker(FencingToken aTerm, Duration aResendInterval,
               Duration aLifetime);

  /** Synchronizes with the record: adds open orders, removes settled ones. */
  void Follow(Instant aNow, const Placement& aPlacement);

  /** True if this leader has sent the order or an earlier one may have. */
  bool MayBeSent(const Order& aOrder) const;
  bool IsSentByThisLeader(OrderId aId) const;

  /** True if the order is due to be sent, for the first time or again. */
  bool IsDue(Instant aNow, OrderId aId) const;

  /**
   * Records a send and returns the order with its fencing token.
   * Precondition: the order is open in the record last passed to Follow.
   */
  Order Stamp(Instant aNow, const Order& aOrder);

  /**
   * True if no copy of the order was in flight at `aHeardAt`: the target's
   * state received then shows the order's final effect.
   */
  bool HasNoCopyInFlight(const Order& aOrder, Instant aHeardAt) const;

  /**
   * True while a load order for the copy may still be in flight, even if it is
   * settled: delivered after an unload, it would load the copy again. Loads
   * sent by earlier leaders are assumed to be in flight for one lifetime after
   * the start of this term.
   */
  bool MayLoadBeInFlight(Instant aNow, const TargetIncarnation& aTarget,
                         const CopyKey& aCopy) const;

private:
  struct Delivery
  {
    TargetIncarnation mTarget;
    bool mIsUnload = false;
    Instant mSeenAt;
    std::optional<Instant> mSentAt;
    unsigned mSends = 0;
  };

  using SentLoad = std::pair<TargetIncarnation, CopyKey>;

  FencingToken mTerm;
  Duration mResendInterval;
  Duration mLifetime;
  std::map<OrderId, Delivery> mDeliveries;
  std::map<TargetIncarnation, std::uint64_t> mFenceCounts;
  /** When this leader last sent a load of each copy; kept for mLifetime. */
  std::map<SentLoad, Instant> mLoadsSentAt;
  /** When Follow was first called in this term. */
  std::optional<Instant> mTermSeenAt;
};

} // namespace carobtide
