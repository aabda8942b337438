/**
 * @file
 * Joins the effects of consecutive events.
 */

#include "effects.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace carobtide {

void MergeEffects(LogEffects& aInto, LogEffects&& aLater)
{
  assert(aInto.mPersist.IsEmpty() || aLater.mPersist.IsEmpty());
  if (!aLater.mPersist.IsEmpty()) {
    aInto.mPersist = std::move(aLater.mPersist);
  }
  std::ranges::move(aLater.mMessages, std::back_inserter(aInto.mMessages));
  if (aLater.mRestore) {
    aInto.mRestore = std::move(aLater.mRestore);
    aInto.mCommitted.clear();
  }
  std::ranges::move(aLater.mCommitted, std::back_inserter(aInto.mCommitted));
  aInto.mSnapshotWanted |= aLater.mSnapshotWanted;
  aInto.mBecameLeader |= aLater.mBecameLeader;
  aInto.mLostLeadership |= aLater.mLostLeadership;
  aInto.mMembershipChanged |= aLater.mMembershipChanged;
}

} // namespace carobtide
