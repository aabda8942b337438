#pragma once

/**
 * @file
 * Queue of suspect requests, which run one at a time, alone on their target.
 */

#include "carobtide/base.hpp"
#include "carobtide/routing/crash_detector.hpp"

#include <deque>
#include <optional>

namespace carobtide {

/**
 * Suspects whose answer had begun run first: they are less likely to have
 * caused a crash, so harmless requests wait least. After a crash no suspect
 * runs for kPauseAfterCrash.
 *
 * Thread safety: not thread-safe; the owner synchronizes access.
 */
class SuspectQueue
{
public:
  static constexpr Duration kPauseAfterCrash = 250ms;
  /** Maximum number of waiting suspects. */
  static constexpr std::size_t kCapacity = 256;

  /** Adds a suspect; returns false if the queue is full. */
  bool Push(RequestId aRequest, bool aHadFirstByte);

  /** Starts no suspect before aUntil; replaces an earlier pause. */
  void Pause(Instant aUntil) { mResumeAt = aUntil; }

  /** The next suspect; none while one is running or during a pause. */
  std::optional<RequestId> Next(Instant aNow) const;

  /** Marks the suspect from Next as running. Precondition: none is running. */
  void OnDispatched(RequestId aRequest);

  /** Removes a request, whether it waits or runs. */
  void Remove(RequestId aRequest);

  /** Ends the run of a suspect; no effect if the request is not running. */
  void Release(RequestId aRequest);

  bool IsRunning(RequestId aRequest) const { return mRunning == aRequest; }
  std::size_t Size() const { return mStarted.size() + mNotStarted.size(); }

private:
  std::deque<RequestId> mStarted;
  std::deque<RequestId> mNotStarted;
  std::optional<RequestId> mRunning;
  Instant mResumeAt;
};

} // namespace carobtide
