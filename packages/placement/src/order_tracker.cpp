#include "order_tracker.hpp"

#include <algorithm>

namespace carobtide {

namespace {

/** Resends slow down by doubling, up to this multiple of the interval. */
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
  // An unload's token is above those of the loads before it and below those
  // of the loads after it, so that a late copy of either is refused.
  std::erase_if(mTracks, [&](const auto& aEntry) {
    if (aPlacement.OpenOrders().contains(aEntry.first)) {
      return false;
    }
    if (aEntry.second.mIsUnload) {
      ++mFenceCounts[aEntry.second.mTarget];
    }
    return true;
  });
  for (const auto& [id, order] : aPlacement.OpenOrders()) {
    if (mTracks.contains(id)) {
      continue;
    }
    Track& track = mTracks[id];
    track.mTarget = { order.mTarget, order.mIncarnation };
    track.mIsUnload = order.mAction == OrderAction::Unload;
    track.mSeenAt = aNow;
    if (track.mIsUnload) {
      ++mFenceCounts[track.mTarget];
    }
  }
}

bool OrderTracker::MayBeSent(const Order& aOrder) const
{
  return TermOf(aOrder.mFence) != mTerm || IsSentByThisLeader(aOrder.mId);
}

bool OrderTracker::IsSentByThisLeader(OrderId aId) const
{
  const auto it = mTracks.find(aId);
  return it != mTracks.end() && it->second.mSentAt.has_value();
}

bool OrderTracker::IsDue(Instant aNow, OrderId aId) const
{
  const auto it = mTracks.find(aId);
  if (it == mTracks.end()) {
    return false;
  }
  const Track& track = it->second;
  if (!track.mSentAt) {
    return true;
  }
  const unsigned doublings = std::min(track.mSends - 1, 3U);
  const unsigned backoff = std::min(1U << doublings, kMaxBackoff);
  return aNow - *track.mSentAt >= mResendInterval * backoff;
}

Order OrderTracker::Stamp(Instant aNow, const Order& aOrder)
{
  Track& track = mTracks.at(aOrder.mId);
  track.mSentAt = aNow;
  ++track.mSends;
  if (aOrder.mAction == OrderAction::Load) {
    mLoadsSentAt[{ track.mTarget, KeyOf(aOrder) }] = aNow;
  }
  Order order = aOrder;
  order.mFence =
    MakeFence(mTerm, mFenceCounts[{ order.mTarget, order.mIncarnation }]);
  return order;
}

bool OrderTracker::HasNoCopyInFlight(const Order& aOrder,
                                     Instant aHeardAt) const
{
  const auto it = mTracks.find(aOrder.mId);
  if (it == mTracks.end()) {
    return false;
  }
  const Track& track = it->second;
  const Instant last = track.mSentAt.value_or(track.mSeenAt);
  return aHeardAt >= std::max(last, track.mSeenAt) + mLifetime;
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
