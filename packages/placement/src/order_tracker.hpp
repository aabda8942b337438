#pragma once

/**
 * @file
 * What one leader knows about the delivery of open orders: when it sent them,
 * under which fencing token, and when no copy of them can be on its way.
 */

#include "carobtide/placement/placement.hpp"

#include <map>
#include <optional>
#include <utility>

namespace carobtide {

/**
 * Sends of the open orders, by one leader.
 *
 * Thread safety: none; the owner guards it.
 */
class OrderTracker
{
public:
  OrderTracker(FencingToken aTerm, Duration aResendInterval,
               Duration aLifetime);

  /** Follows the record: notes new open orders, forgets settled ones. */
  void Follow(Instant aNow, const Placement& aPlacement);

  /** True if this leader, or an earlier one, may have sent the order. */
  bool MayBeSent(const Order& aOrder) const;
  bool IsSentByThisLeader(OrderId aId) const;

  /** True if the order is due to be sent, for the first time or again. */
  bool IsDue(Instant aNow, OrderId aId) const;

  /** Notes a send and returns the order with its fencing token. */
  Order Stamp(Instant aNow, const Order& aOrder);

  /**
   * True if what was heard at `aHeardAt` tells the final effect of the order:
   * no copy sent before was still on its way then.
   */
  bool HasNoCopyInFlight(const Order& aOrder, Instant aHeardAt) const;

  /**
   * True while an order to load the copy may still be on its way, settled or
   * not: delivered after an unload, it would load again. Of loads sent by
   * earlier leaders only the start of this term is known.
   */
  bool MayLoadBeInFlight(Instant aNow, const TargetIncarnation& aTarget,
                         const CopyKey& aCopy) const;

private:
  struct Track
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
  std::map<OrderId, Track> mTracks;
  std::map<TargetIncarnation, std::uint64_t> mFenceCounts;
  /** When this leader last sent a load of each copy, for one lifetime. */
  std::map<SentLoad, Instant> mLoadsSentAt;
  /** When this leader first saw the record in its term. */
  std::optional<Instant> mTermSeenAt;
};

} // namespace carobtide
