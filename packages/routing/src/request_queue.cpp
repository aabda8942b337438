#include "carobtide/routing/request_queue.hpp"

#include <algorithm>
#include <cassert>

namespace carobtide {

namespace {

/** Maximum shares of the queue for a priority and all lower ones together. */
constexpr double kStandardQueueShare = 0.75;
constexpr double kBatchQueueShare = 0.5;

double QueueShare(WorkClass aClass)
{
  switch (PriorityOf(aClass)) {
    case PriorityClass::Interactive:
      return 1.0;
    case PriorityClass::Standard:
      return kStandardQueueShare;
    default:
      return kBatchQueueShare;
  }
}

} // namespace

RequestQueue::RequestQueue(std::size_t aMaxQueued)
  : mMaxQueued(aMaxQueued)
{
}

bool RequestQueue::HasRoom(WorkClass aClass) const
{
  if (mSize >= mMaxQueued) {
    return false;
  }
  std::size_t count = 0;
  for (std::size_t it = 0; it < kWorkClassCount; ++it) {
    const auto other = static_cast<WorkClass>(it);
    count += PriorityOf(other) >= PriorityOf(aClass) ? mByClass[it] : 0;
  }
  return static_cast<double>(count) <
         QueueShare(aClass) * static_cast<double>(mMaxQueued);
}

void RequestQueue::Push(const QueueKey& aKey, RequestId aRequest, bool aFront)
{
  std::deque<RequestId>& flow = mFlows[aKey];
  if (aFront) {
    flow.push_front(aRequest);
  } else {
    flow.push_back(aRequest);
  }
  Count(aKey, 1);
}

bool RequestQueue::Remove(const QueueKey& aKey, RequestId aRequest)
{
  const auto flow = mFlows.find(aKey);
  if (flow == mFlows.end()) {
    return false;
  }
  const auto it = std::ranges::find(flow->second, aRequest);
  if (it == flow->second.end()) {
    return false;
  }
  flow->second.erase(it);
  if (flow->second.empty()) {
    mFlows.erase(flow);
  }
  Count(aKey, -1);
  return true;
}

RequestId RequestQueue::Front(const QueueKey& aKey) const
{
  const auto flow = mFlows.find(aKey);
  assert(flow != mFlows.end());
  return flow->second.front();
}

RequestId RequestQueue::Back(const QueueKey& aKey) const
{
  const auto flow = mFlows.find(aKey);
  assert(flow != mFlows.end());
  return flow->second.back();
}

void RequestQueue::ListKeys(WorkClass aClass, RouteIndex aRoute,
                            std::vector<QueueKey>& aOut) const
{
  const bool isAll = aRoute == kNoRoute;
  auto it = mFlows.lower_bound({ aClass, isAll ? 0 : aRoute, 0 });
  while (it != mFlows.end() && it->first.mClass == aClass &&
         (isAll || it->first.mRoute == aRoute)) {
    aOut.push_back(it->first);
    ++it;
  }
}

std::size_t RequestQueue::CountUpTo(RouteIndex aRoute, WorkClass aClass) const
{
  if (aRoute >= mByRoute.size()) {
    return 0;
  }
  std::size_t count = 0;
  for (std::size_t it = 0; it <= static_cast<std::size_t>(aClass); ++it) {
    count += mByRoute[aRoute][it];
  }
  return count;
}

std::size_t RequestQueue::CountOf(const QueueKey& aKey) const
{
  const auto flow = mFlows.find(aKey);
  return flow == mFlows.end() ? 0 : flow->second.size();
}

void RequestQueue::Count(const QueueKey& aKey, int aChange)
{
  if (aKey.mRoute >= mByRoute.size()) {
    mByRoute.resize(aKey.mRoute + 1);
  }
  const auto row = static_cast<std::size_t>(aKey.mClass);
  mByRoute[aKey.mRoute][row] += aChange;
  mByClass[row] += aChange;
  mSize += aChange;
}

} // namespace carobtide
