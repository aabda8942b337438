#include "order_tracker.hpp"

#include <algorithm>

namespace carobtide {

namespace {

/** Limit of the exponential backoff, as a multiple of the resend interval. */
constexpr unsigned kMaxBackoff = 8;

} // namespace

OrderTracker::OrderTracker(FencingToken aTerm, Duration aResendInterval,
                           Duration aLifetime)
  : mTerm(aTerm)
  , mResendInterval(aResendInterval)
  , mLifetime(aLifetime)
{
}

void OrderTracker::Follow(Instant aNow, const Placement& aPlacement)
{
  if (!mTermSeenAt) {
    mTermSeenAt = aNow;
  }
  std::erase_if(mLoadsSentAt, [&](const auto& aEntry) {
    return aEntry.second + mLifetime <= aNow;
  });
  // The fencing token of an unload is above those of earlier loads and below
  // those of later loads, so the target refuses a delayed copy of any of them.
  // The count therefore rises both when an unload opens and when it is settled.
  std::erase_if(mDeliveries, [&](const auto& aEntry) {
    if (aPlacement.OpenOrders().contains(aEntry.first)) {
      return false;
    }
    if (aEntry.second.mIsUnload) {
      ++mFenceCounts[aEntry.second.mTarget];
    }
    return true;
  });
  for (const auto& [id, order] : aPlacement.OpenOrders()) {
    if (mDeliveries.contains(id)) {
      continue;
    }
    Delivery& delivery = mDeliveries[id];
    delivery.mTarget = { order.mTarget, order.mIncarnation };
    delivery.mIsUnload = order.mAction == OrderAction::Unload;
    delivery.mSeenAt = aNow;
    if (delivery.mIsUnload) {
      ++mFenceCounts[delivery.mTarget];
    }
  }
}

bool OrderTracker::MayBeSent(const Order& aOrder) const
{
  return TermOf(aOrder.mFence) != mTerm || IsSentByThisLeader(aOrder.mId);
}

bool OrderTracker::IsSentByThisLeader(OrderId aId) const
{
  const auto it = mDeliveries.find(aId);
  return it != mDeliveries.end() && it->second.mSentAt.has_value();
}

bool OrderTracker::IsDue(Instant aNow, OrderId aId) const
{
  const auto it = mDeliveries.find(aId);
  if (it == mDeliveries.end()) {
    return false;
  }
  const Delivery& delivery = it->second;
  if (!delivery.mSentAt) {
    return true;
  }
  const unsigned doublings = std::min(delivery.mSends - 1, 3U);
  const unsigned backoff = std::min(1U << doublings, kMaxBackoff);
  return aNow - *delivery.mSentAt >= mResendInterval * backoff;
}

Order OrderTracker::Stamp(Instant aNow, const Order& aOrder)
{
  Delivery& delivery = mDeliveries.at(aOrder.mId);
  delivery.mSentAt = aNow;
  ++delivery.mSends;
  if (aOrder.mAction == OrderAction::Load) {
    mLoadsSentAt[{ delivery.mTarget, KeyOf(aOrder) }] = aNow;
  }
  Order order = aOrder;
  order.mFence =
    MakeFence(mTerm, mFenceCounts[{ order.mTarget, order.mIncarnation }]);
  return order;
}

bool OrderTracker::HasNoCopyInFlight(const Order& aOrder,
                                     Instant aHeardAt) const
{
  const auto it = mDeliveries.find(aOrder.mId);
  if (it == mDeliveries.end()) {
    return false;
  }
  const Delivery& delivery = it->second;
  const Instant last = delivery.mSentAt.value_or(delivery.mSeenAt);
  return aHeardAt >= std::max(last, delivery.mSeenAt) + mLifetime;
}

bool OrderTracker::MayLoadBeInFlight(Instant aNow,
                                     const TargetIncarnation& aTarget,
                                     const CopyKey& aCopy) const
{
  if (!mTermSeenAt || aNow < *mTermSeenAt + mLifetime) {
    return true;
  }
  const auto it = mLoadsSentAt.find({ aTarget, aCopy });
  return it != mLoadsSentAt.end() && aNow < it->second + mLifetime;
}

} // namespace carobtide
