#include "carobtide/base.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

TEST_CASE("stamps grow when wall time stands still or jumps back")
{
  HybridClock clock;
  const auto first = clock.Now(1000);
  const auto second = clock.Now(1000);
  const auto third = clock.Now(10);
  CHECK(first < second);
  CHECK(second < third);
}

TEST_CASE("a receipt is stamped after the remote event that caused it")
{
  HybridClock ahead;
  HybridClock behind;
  const auto sent = ahead.Now(5000);
  CHECK(behind.Observe(sent, 10) > sent);
  CHECK(behind.Now(20) > sent);
}
