#pragma once

/**
 * @file
 * Suspect requests that wait to run alone, one at a time.
 */

#include "carobtide/base.hpp"
#include "carobtide/routing/crash_watch.hpp"

#include <deque>
#include <optional>

namespace carobtide {

/**
 * Order of suspects: those whose answer had begun go first, as they are less
 * likely to be the cause, and so innocents wait least. After a crash nothing
 * runs for kPauseAfterCrash.
 *
 * Thread safety: none; the owner guards it.
 */
class SuspectQueue
{
public:
  static constexpr Duration kPauseAfterCrash = 250ms;
  /** Most suspects that wait. */
  static constexpr std::size_t kCapacity = 256;

  /** False if the queue is full. */
  bool Push(RequestId aRequest, bool aHadFirstByte);

  /** Nothing runs before aUntil; replaces an earlier pause. */
  void Pause(Instant aUntil) { mResumeAt = aUntil; }

  /** The next suspect, unless one is running or the pause lasts. */
  std::optional<RequestId> Next(Instant aNow) const;

  /** The suspect returned by Next was dispatched. Precondition: it waits. */
  void OnDispatched(RequestId aRequest);

  /** A request is no longer running alone or waiting to. */
  void Remove(RequestId aRequest);

  /** The attempt that ran alone has ended. */
  void Release(RequestId aRequest);

  bool IsRunning(RequestId aRequest) const { return mRunning == aRequest; }
  std::size_t Size() const { return mFirst.size() + mLater.size(); }

private:
  std::deque<RequestId> mFirst;
  std::deque<RequestId> mLater;
  std::optional<RequestId> mRunning;
  Instant mResumeAt;
};

} // namespace carobtide
