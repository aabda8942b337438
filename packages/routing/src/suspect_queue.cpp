#include "carobtide/routing/suspect_queue.hpp"

#include <algorithm>
#include <cassert>

namespace carobtide {

bool SuspectQueue::Push(RequestId aRequest, bool aHadFirstByte)
{
  if (Size() >= kCapacity) {
    return false;
  }
  (aHadFirstByte ? mStarted : mNotStarted).push_back(aRequest);
  return true;
}

std::optional<RequestId> SuspectQueue::Next(Instant aNow) const
{
  if (mRunning.has_value() || aNow < mResumeAt) {
    return std::nullopt;
  }
  if (!mStarted.empty()) {
    return mStarted.front();
  }
  if (!mNotStarted.empty()) {
    return mNotStarted.front();
  }
  return std::nullopt;
}

void SuspectQueue::OnDispatched(RequestId aRequest)
{
  assert(!mRunning.has_value());
  Remove(aRequest);
  mRunning = aRequest;
}

void SuspectQueue::Release(RequestId aRequest)
{
  if (mRunning == aRequest) {
    mRunning.reset();
  }
}

void SuspectQueue::Remove(RequestId aRequest)
{
  Release(aRequest);
  std::erase(mStarted, aRequest);
  std::erase(mNotStarted, aRequest);
}

} // namespace carobtide
