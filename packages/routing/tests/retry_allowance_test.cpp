#include "carobtide/routing/retry_allowance.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <vector>

namespace carobtide {

// Load pattern: every target fails, so that each of many daemons would repeat
// each of its requests.
TEST_CASE("many daemons together stay within the budget in every window")
{
  const RetryBudget budget{ 0.2, 52, 10s };
  const std::size_t daemons = GENERATE(1, 6, 9);
  const int gapMs = GENERATE(5, 50, 400);
  std::vector<RetryAllowance> all(daemons, RetryAllowance(budget));
  for (RetryAllowance& allowance : all) {
    allowance.SetDaemons(static_cast<std::uint32_t>(daemons));
  }
  std::deque<Instant> firsts;
  std::deque<Instant> repeats;
  Instant now{ 1000s };
  bool isWithin = true;
  for (int n = 0; n < 4000; ++n) {
    now += std::chrono::milliseconds(gapMs);
    RetryAllowance& allowance = all[static_cast<std::size_t>(n) % daemons];
    allowance.OnFirstAttempt(now);
    firsts.push_back(now);
    if (allowance.Take(now)) {
      repeats.push_back(now);
    }
    const auto isOld = [&](Instant aAt) { return now - aAt >= budget.mWindow; };
    std::erase_if(firsts, isOld);
    std::erase_if(repeats, isOld);
    isWithin =
      isWithin &&
      static_cast<double>(repeats.size()) <=
        budget.mShare * static_cast<double>(firsts.size()) + budget.mSlack;
  }
  CHECK(isWithin);
}

TEST_CASE("some repeats are always possible after a calm time")
{
  RetryAllowance allowance(RetryBudget{ 0.2, 52, 10s });
  allowance.SetDaemons(6);
  Instant now{ 1000s };
  allowance.OnFirstAttempt(now);
  CHECK(allowance.Take(now));
}

} // namespace carobtide
