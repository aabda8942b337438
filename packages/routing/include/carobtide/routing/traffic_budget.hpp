#pragma once

/**
 * @file
 * Budget for retries and hedges, in proportion to traffic.
 */

namespace carobtide {

/**
 * Token bucket to which each first attempt adds the permitted share, so that
 * extra attempts cannot amplify an overload.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class TrafficBudget
{
public:
  /** aShare: extra attempts per first attempt, e.g. 0.1. */
  explicit TrafficBudget(double aShare);

  /** Records a first attempt. */
  void OnFirstAttempt();

  /** Takes one extra attempt from the budget; false if none is left. */
  bool Take();

  /** Capacity of the bucket, and its initial content if the share is > 0. */
  static constexpr double kBurst = 20.0;

private:
  double mShare;
  double mTokens;
};

} // namespace carobtide
