#pragma once

/**
 * @file
 * Queue of requests that wait for a slot: FIFO per work class, route and
 * caller.
 */

#include "carobtide/base.hpp"
#include "carobtide/routing/caller_table.hpp"
#include "carobtide/routing/target_table.hpp"
#include "carobtide/routing/work_class.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <vector>

namespace carobtide {

/** Identifies one FIFO of the queue. */
struct QueueKey
{
  WorkClass mClass = WorkClass::ShortStandard;
  RouteIndex mRoute = kNoRoute;
  CallerIndex mCaller = 0;

  auto operator<=>(const QueueKey&) const = default;
};

/**
 * Queue of waiting requests, bounded per priority: interactive work may fill
 * the whole queue, lower priorities leave room for higher ones.
 *
 * Thread safety: not thread-safe; the owner synchronizes access.
 */
class RequestQueue
{
public:
  /** Holds at most aMaxQueued requests. */
  explicit RequestQueue(std::size_t aMaxQueued);

  /** True if one more request of the class fits. */
  bool HasRoom(WorkClass aClass) const;

  /** Appends a request, or prepends it if aFront is true. */
  void Push(const QueueKey& aKey, RequestId aRequest, bool aFront);

  /** Removes a request; returns false if it is not queued under the key. */
  bool Remove(const QueueKey& aKey, RequestId aRequest);

  /** First request of a key. Precondition: the key has requests. */
  RequestId Front(const QueueKey& aKey) const;

  /** Last request of a key. Precondition: the key has requests. */
  RequestId Back(const QueueKey& aKey) const;

  /**
   * Appends to aOut the keys of a class that have requests, for one route or,
   * with kNoRoute, for all routes.
   */
  void ListKeys(WorkClass aClass, RouteIndex aRoute,
                std::vector<QueueKey>& aOut) const;

  /** Number of requests of a route in this class and more urgent ones. */
  std::size_t CountUpTo(RouteIndex aRoute, WorkClass aClass) const;

  /** Number of requests of a key. */
  std::size_t CountOf(const QueueKey& aKey) const;

  /** Number of requests of a class. */
  std::size_t CountOf(WorkClass aClass) const
  {
    return mByClass[static_cast<std::size_t>(aClass)];
  }

  std::size_t Size() const { return mSize; }

private:
  using ClassCounts = std::array<std::size_t, kWorkClassCount>;

  void Count(const QueueKey& aKey, int aChange);

  std::size_t mMaxQueued;
  std::size_t mSize = 0;
  ClassCounts mByClass{};
  std::vector<ClassCounts> mByRoute;
  std::map<QueueKey, std::deque<RequestId>> mFlows;
};

} // namespace carobtide
