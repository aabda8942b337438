#pragma once

/**
 * @file
 * Requests that wait for a slot: first in, first out within a route, a class
 * and a caller.
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

/** Where a request waits. */
struct QueueKey
{
  WorkClass mClass = WorkClass::ShortStandard;
  RouteIndex mRoute = kNoRoute;
  CallerIndex mCaller = 0;

  auto operator<=>(const QueueKey&) const = default;
};

/**
 * Queue of waiting requests, bounded per priority: urgent work may fill the
 * whole queue, the rest leaves room for it.
 *
 * Thread safety: none; the owner guards it.
 */
class RequestQueue
{
public:
  explicit RequestQueue(std::size_t aMaxQueued);

  /** True if a request of the class would still fit. */
  bool HasRoom(WorkClass aClass) const;

  /** Appends, or puts in front if it had waited before. */
  void Push(const QueueKey& aKey, RequestId aRequest, bool aFront);

  /** Takes a request out; false if it does not wait there. */
  bool Remove(const QueueKey& aKey, RequestId aRequest);

  /** The request that waited longest under a key. Precondition: not empty. */
  RequestId Front(const QueueKey& aKey) const;

  /** The latest request under a key. Precondition: not empty. */
  RequestId Back(const QueueKey& aKey) const;

  /**
   * Appends the keys of a class that have requests, of one route or, with
   * kNoRoute, of all.
   */
  void ListKeys(WorkClass aClass, RouteIndex aRoute,
                std::vector<QueueKey>& aOut) const;

  /** Requests of a route in this class and in more urgent ones. */
  std::size_t CountUpTo(RouteIndex aRoute, WorkClass aClass) const;

  /** Requests under one key. */
  std::size_t CountOf(const QueueKey& aKey) const;

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
