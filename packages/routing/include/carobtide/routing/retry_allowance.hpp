#pragma once

/**
 * @file
 * One daemon's part of a retry budget that all daemons share.
 */

#include "carobtide/base.hpp"

#include <cstdint>

namespace carobtide {

/** The budget as it holds over all daemons together. */
struct RetryBudget
{
  /** Repeats allowed for each first attempt. */
  double mShare = 0.2;
  /** Repeats allowed in a window beside that share. */
  double mSlack = 0;
  Duration mWindow = std::chrono::seconds(10);
};

/**
 * A token bucket that earns a share for each first attempt and, slowly, this
 * daemon's part of the slack. All daemons together stay within the budget
 * without telling each other anything: in any window a bucket gives out at
 * most what it held plus what it earned, and half of the slack is held back
 * for daemons that are not known here.
 *
 * Answers: many targets fail at once, and every daemon would retry.
 *
 * Thread safety: none; the owner guards it.
 */
class RetryAllowance
{
public:
  explicit RetryAllowance(RetryBudget aBudget);

  /** Splits the slack between so many daemons. Precondition: > 0. */
  void SetDaemons(std::uint32_t aDaemons);

  /** A request came for the first time. */
  void OnFirstAttempt(Instant aNow);

  /** Takes one repeat; false if there is none left. */
  bool Take(Instant aNow);

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
