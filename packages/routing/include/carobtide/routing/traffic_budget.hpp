#pragma once

/**
 * @file
 * A budget that is a share of traffic, for retries and for hedges.
 */

namespace carobtide {

/**
 * Token bucket that each first attempt fills by the share allowed, so that
 * extra attempts cannot amplify an overload.
 *
 * Thread safety: none; the owner guards it.
 */
class TrafficBudget
{
public:
  /** aShare: extra attempts per first attempt, e.g. 0.1. */
  explicit TrafficBudget(double aShare);

  void OnFirstAttempt();

  /** Takes one extra attempt out of the budget; false if none is left. */
  bool Take();

  /** Extra attempts that may be saved up; also what a quiet daemon has. */
  static constexpr double kBurst = 20.0;

private:
  double mShare;
  double mTokens;
};

} // namespace carobtide
