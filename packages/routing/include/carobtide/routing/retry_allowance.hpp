#pragma once

/**
 * @file
 * One daemon's part of a retry budget that is shared by all daemons.
 */

#include "carobtide/base.hpp"

#include <cstdint>

namespace carobtide {

/** The retry budget over all daemons together. */
struct RetryBudget
{
  /** Retries allowed for each first attempt. */
  double mShare = 0.2;
  /** Retries allowed in a window in addition to that share. */
  double mFixedRetries = 0;
  Duration mWindow = std::chrono::seconds(10);
};

/**
 * Token bucket that is filled by a share of each first attempt and, over time,
 * by this daemon's part of the fixed retries. All daemons together stay within
 * the budget without communicating: in any window a bucket spends at most what
 * it held plus what it gained, and half of the fixed retries is reserved for
 * daemons that are not known here.
 *
 * Prevents a retry storm when many targets fail at once.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class RetryAllowance
{
public:
  explicit RetryAllowance(RetryBudget aBudget);

  /** Splits the fixed retries between aDaemons daemons. Precondition: > 0. */
  void SetDaemons(std::uint32_t aDaemons);

  /** Records a first attempt. */
  void OnFirstAttempt(Instant aNow);

  /** Takes one retry; false if none is left. */
  bool Take(Instant aNow);

  /** Retries left at the last update; may be fractional. */
  double Left() const { return mLeft; }

private:
  void Refill(Instant aNow);

  RetryBudget mBudget;
  std::uint32_t mDaemons = 1;
  double mLeft = 0;
  bool mStarted = false;
  Instant mRefilledAt;
};

} // namespace carobtide
