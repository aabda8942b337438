/**
 * @file
 * A leader's view of one follower.
 */

#include "progress.hpp"

#include <algorithm>

namespace carobtide {

bool Progress::CanSend(std::size_t aMaxInFlight) const
{
  switch (mMode) {
    case ProgressMode::Probe:
      return !mProbeSent;
    case ProgressMode::Replicate:
      return mInFlight.size() < aMaxInFlight;
    case ProgressMode::Snapshot:
      break;
  }
  return false;
}

void Progress::Sent(std::uint64_t aLastIndex)
{
  if (mMode == ProgressMode::Probe) {
    mProbeSent = true;
    return;
  }
  mNext = aLastIndex + 1;
  mInFlight.push_back(aLastIndex);
}

void Progress::Stored(std::uint64_t aIndex)
{
  mMatch = std::max(mMatch, aIndex);
  Received(aIndex);
}

void Progress::Received(std::uint64_t aIndex)
{
  if (mMode == ProgressMode::Snapshot) {
    if (aIndex < mTransfer.mSnapshot->mIndex) {
      return;
    }
    mTransfer = {};
  }
  mMode = ProgressMode::Replicate;
  mNext = std::max(mNext, aIndex + 1);
  Release(aIndex);
}

bool Progress::Rejected(std::uint64_t aRejectedIndex, std::uint64_t aHint)
{
  const bool outdated =
    mMode == ProgressMode::Snapshot || aRejectedIndex <= mMatch ||
    (mMode == ProgressMode::Probe && aRejectedIndex + 1 != mNext);
  if (outdated) {
    return false;
  }
  mNext = std::max(mMatch + 1, std::min({ aHint + 1, aRejectedIndex, mNext }));
  mMode = ProgressMode::Probe;
  mProbeSent = false;
  mInFlight.clear();
  return true;
}

void Progress::RetryProbe()
{
  mProbeSent = false;
}

void Progress::StartTransfer(std::shared_ptr<const Snapshot> aSnapshot)
{
  mMode = ProgressMode::Snapshot;
  mInFlight.clear();
  mTransfer = SnapshotTransfer{ std::move(aSnapshot), 0, {} };
}

void Progress::Heard(Instant aNow, Instant aSentAt)
{
  mLastContact = aNow;
  mAcknowledgedAt = std::max(mAcknowledgedAt, aSentAt);
}

void Progress::Release(std::uint64_t aIndex)
{
  while (!mInFlight.empty() && mInFlight.front() <= aIndex) {
    mInFlight.pop_front();
  }
}

} // namespace carobtide
