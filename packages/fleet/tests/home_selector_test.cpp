#include "carobtide/fleet.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <string>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };
const Endpoint kSelf{ "10.0.0.1", 1 };
const Endpoint kNear{ "10.0.1.1", 1 };
const Endpoint kFar{ "10.0.1.2", 1 };

} // namespace

TEST_CASE("the home is the control daemon of the own failure domain")
{
  HomeSelector homes(kSelf, FailureDomain("a"));
  CHECK_FALSE(homes.Select(kStart));
  homes.OnReply(kStart, kFar, FailureDomain("b"));
  CHECK(homes.Select(kStart) == kFar);
  homes.OnReply(kStart, kNear, FailureDomain("a"));
  CHECK(homes.Select(kStart) == kNear);
}

TEST_CASE("a home that falls silent is replaced, and not taken back at once")
{
  HomeSelector homes(kSelf, FailureDomain("a"));
  homes.OnReply(kStart, kNear, FailureDomain("a"));
  REQUIRE(homes.Select(kStart) == kNear);
  const auto at = [&](Duration aTime, bool aTotals) {
    homes.OnReply(kStart + aTime, kFar, FailureDomain("b"));
    if (aTotals) {
      homes.OnTotal(kStart + aTime, kNear);
    }
    return homes.Select(kStart + aTime);
  };
  CHECK(at(500ms, true) == kNear);
  CHECK(at(1000ms, true) == kNear);
  CHECK(at(1700ms, false) == kNear);
  CHECK(at(1900ms, false) == kFar);
  CHECK(at(2500ms, true) == kFar);
  CHECK(at(5000ms, true) == kNear);
}

TEST_CASE("the backup is what would be the home if the home were lost")
{
  HomeSelector homes(kSelf, FailureDomain("a"));
  homes.OnReply(kStart, kNear, FailureDomain("a"));
  REQUIRE(homes.Select(kStart) == kNear);
  CHECK_FALSE(homes.SelectBackup(kStart));
  homes.OnReply(kStart, kFar, FailureDomain("b"));
  CHECK(homes.SelectBackup(kStart) == kFar);
}

// All control daemons restarted: what is told must not wait for the end of
// their exclusion.
TEST_CASE("homes that answer again are used if no other one answers")
{
  HomeSelector homes(kSelf, FailureDomain("a"));
  homes.OnReply(kStart, kNear, FailureDomain("a"));
  homes.OnReply(kStart, kFar, FailureDomain("b"));
  REQUIRE(homes.Select(kStart) == kNear);
  REQUIRE(homes.Select(kStart + 800ms) == kFar);
  // Silent for less than a candidate may be, but not heard since.
  REQUIRE_FALSE(homes.Select(kStart + 1600ms));
  CHECK_FALSE(homes.SelectBackup(kStart + 1600ms));
  homes.OnReply(kStart + 1800ms, kFar, FailureDomain("b"));
  CHECK(homes.Select(kStart + 1800ms) == kFar);
  CHECK_FALSE(homes.SelectBackup(kStart + 1800ms));
  homes.OnReply(kStart + 1900ms, kNear, FailureDomain("a"));
  CHECK(homes.Select(kStart + 1900ms) == kNear);
  CHECK(homes.SelectBackup(kStart + 1900ms) == kFar);
  SECTION("and not before another one that answers")
  {
    const Endpoint other{ "10.0.1.3", 1 };
    homes.OnReply(kStart + 2s, other, FailureDomain("c"));
    CHECK(homes.Select(kStart + 2s) == other);
    CHECK(homes.SelectBackup(kStart + 2s) == kNear);
  }
  SECTION("until they fall silent again")
  {
    homes.OnReply(kStart + 2600ms, kFar, FailureDomain("b"));
    CHECK(homes.Select(kStart + 2700ms) == kFar);
    CHECK_FALSE(homes.SelectBackup(kStart + 2700ms));
  }
}

TEST_CASE("without a control daemon nearby, routing daemons spread")
{
  std::set<Endpoint> used;
  for (int n = 0; n < 40; ++n) {
    HomeSelector homes({ "10.0.2." + std::to_string(n), 1 },
                       FailureDomain("c"));
    for (int core = 0; core < 4; ++core) {
      homes.OnReply(kStart, { "10.0.1." + std::to_string(core), 1 },
                    FailureDomain("d" + std::to_string(core)));
    }
    used.insert(homes.Select(kStart).value());
  }
  CHECK(used.size() == 4);
}

} // namespace carobtide
