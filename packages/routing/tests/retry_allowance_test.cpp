#include "carobtide/routing/retry_allowance.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <vector>

namespace carobtide {

// Every target fails, so that each daemon would retry each of its requests.
TEST_CASE("all daemons together stay within the budget in every window")
{
  const RetryBudget budget{ 0.2, 52, 10s };
  const std::size_t daemons = GENERATE(1, 6, 9);
  const int gapMs = GENERATE(5, 50, 400);
  std::vector<RetryAllowance> all(daemons, RetryAllowance(budget));
  for (RetryAllowance& allowance : all) {
    allowance.SetDaemons(static_cast<std::uint32_t>(daemons));
  }
  std::deque<Instant> firstAttempts;
  std::deque<Instant> retries;
  Instant now{ 1000s };
  bool isWithin = true;
  for (int n = 0; n < 4000; ++n) {
    now += std::chrono::milliseconds(gapMs);
    RetryAllowance& allowance = all[static_cast<std::size_t>(n) % daemons];
    allowance.OnFirstAttempt(now);
    firstAttempts.push_back(now);
    if (allowance.Take(now)) {
      retries.push_back(now);
    }
    const auto isOld = [&](Instant aAt) { return now - aAt >= budget.mWindow; };
    std::erase_if(firstAttempts, isOld);
    std::erase_if(retries, isOld);
    isWithin =
      isWithin && static_cast<double>(retries.size()) <=
                    budget.mShare * static_cast<double>(firstAttempts.size()) +
                      budget.mFixedRetries;
  }
  CHECK(isWithin);
}

TEST_CASE("a retry is available after an idle period")
{
  RetryAllowance allowance(RetryBudget{ 0.2, 52, 10s });
  allowance.SetDaemons(6);
  Instant now{ 1000s };
  allowance.OnFirstAttempt(now);
  CHECK(allowance.Take(now));
}

} // namespace carobtide
