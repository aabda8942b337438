#pragma once

/**
 * @file
 * What a daemon that is asked to stop still takes on.
 */

#include "carobtide/catalog.hpp"

#include <optional>

namespace carobtide {

/**
 * Times of a planned stop. Sans-I/O. At first everything is still taken, since
 * the balancer has not noticed yet; then only what ends before the process.
 *
 * Answers: requests that go on arriving through the whole grace period, also
 * one that is shorter than their time limit.
 *
 * Thread safety: none; the owner guards it.
 */
class StopSchedule
{
public:
  explicit StopSchedule(Duration aGracePeriod)
    : mGracePeriod(aGracePeriod)
  {
  }

  /** The first request to stop counts; true for it. */
  bool Begin(Instant aNow);

  bool IsStopping() const { return mStartedAt.has_value(); }

  /** The process is about to end: from now on nothing is taken. */
  void End() { mHasEnded = true; }
  bool HasEnded() const { return mHasEnded; }

  /** True if a request of this route might outlive the process. */
  bool IsTooLateFor(Instant aNow, const Route& aRoute) const;

  /** Before this, an idle daemon waits for the balancer. */
  Instant IdleUntil() const;

  /**
   * Requests that still wait for a target then are refused: what is sent later
   * might outlive the process. Without a stop there is no limit.
   */
  Instant WaitLimit() const;

  /**
   * From then on nothing is sent to a target that the caller might await for
   * longer than the process lives. Without a stop there is no limit.
   */
  Instant SendLimit() const;

  /** What is still open is given up then, and the process ends. */
  Instant Latest() const;

private:
  Duration mGracePeriod;
  std::optional<Instant> mStartedAt;
  bool mHasEnded = false;
};

} // namespace carobtide
