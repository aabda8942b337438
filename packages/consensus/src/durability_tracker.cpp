/**
 * @file
 * Batches for the disk and what they make durable.
 */

#include "durability_tracker.hpp"

#include <algorithm>
#include <limits>

namespace carobtide {

DurabilityTracker::DurabilityTracker(std::uint64_t aDurableIndex)
  : mDurableIndex(aDurableIndex)
  , mUnstableFrom(aDurableIndex + 1)
{
}

bool DurabilityTracker::IsHardStateDurable() const
{
  return !mHardStateDirty && !(mInFlight && mInFlight->mHardState);
}

void DurabilityTracker::Truncated(std::uint64_t aIndex)
{
  mDurableIndex = std::min(mDurableIndex, aIndex - 1);
  mUnstableFrom = std::min(mUnstableFrom, aIndex);
  if (mInFlight) {
    mInFlight->mLastIndex = std::min(mInFlight->mLastIndex, aIndex - 1);
  }
}

void DurabilityTracker::ResetTo(std::uint64_t aIndex)
{
  mDurableIndex = 0;
  mUnstableFrom = aIndex + 1;
  if (mInFlight) {
    mInFlight->mLastIndex = 0;
  }
  mSnapshotDirty = true;
}

PersistBatch DurabilityTracker::NextBatch(const LogBuffer& aLog,
                                          const HardState& aHardState,
                                          const Snapshot* aSnapshot)
{
  const bool entriesDue = mUnstableFrom <= aLog.LastIndex();
  if (mInFlight || !(mHardStateDirty || mSnapshotDirty || entriesDue)) {
    return {};
  }
  PersistBatch batch;
  batch.mSequence = ++mLastSequence;
  if (mHardStateDirty) {
    batch.mHardState = aHardState;
  }
  auto from = mUnstableFrom;
  if (mSnapshotDirty) {
    batch.mSnapshot = *aSnapshot;
    from = std::max(from, aSnapshot->mIndex + 1);
  }
  batch.mEntries = aLog.Slice(from, std::numeric_limits<std::size_t>::max(),
                              std::numeric_limits<Bytes>::max());
  mInFlight =
    InFlight{ batch.mSequence, aLog.LastIndex(), batch.mHardState.has_value() };
  mUnstableFrom = aLog.LastIndex() + 1;
  mHardStateDirty = false;
  mSnapshotDirty = false;
  return batch;
}

bool DurabilityTracker::Complete(std::uint64_t aSequence)
{
  if (!mInFlight || mInFlight->mSequence != aSequence) {
    return false;
  }
  mDurableIndex = std::max(mDurableIndex, mInFlight->mLastIndex);
  mInFlight.reset();
  return true;
}

} // namespace carobtide
