#include "carobtide/fleet.hpp"

#include <catch2/catch.hpp>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };
const Endpoint kFirst{ "10.0.0.1", 1 };
const Endpoint kSecond{ "10.0.0.2", 1 };
const Endpoint kThird{ "10.0.0.3", 1 };
const Endpoint kFourth{ "10.0.0.4", 1 };

} // namespace

TEST_CASE("a newer catalog is fetched from a daemon that holds the newest")
{
  CatalogFetchPlan plan;
  CHECK_FALSE(plan.Next(kStart, {}));
  CHECK(plan.Next(kStart, { { kFirst, 5 }, { kSecond, 8 } }) == kSecond);
  plan.OnBegun(kStart, kSecond);
  CHECK_FALSE(plan.Next(kStart + 100ms, { { kFirst, 5 }, { kSecond, 8 } }));
}

// Guards against a large catalog on a narrow link: each fetch was given up
// after 800 ms, and the next one began from nothing.
TEST_CASE("a fetch whose bytes arrive is left alone, however long it takes")
{
  CatalogFetchPlan plan;
  const CatalogFetchPlan::Holders holders{ { kFirst, 8 }, { kSecond, 8 } };
  plan.OnBegun(kStart, kFirst);
  for (Instant now = kStart; now < kStart + 10s; now += 100ms) {
    plan.OnProgress(now, kFirst);
    CHECK_FALSE(plan.Next(now + 90ms, holders));
  }
}

// Guards against control daemons that stop while they are asked: the fetch from
// one held up those from the others.
TEST_CASE("daemons that send nothing are not waited for")
{
  CatalogFetchPlan plan;
  const CatalogFetchPlan::Holders holders{
    { kFirst, 8 }, { kSecond, 8 }, { kThird, 8 }, { kFourth, 8 }
  };
  std::vector<Endpoint> asked;
  Instant thirdAt;
  for (Instant now = kStart; now < kStart + 10s; now += 10ms) {
    if (const auto core = plan.Next(now, holders)) {
      plan.OnBegun(now, *core);
      asked.push_back(*core);
      thirdAt = now;
    }
  }
  CHECK(asked == std::vector{ kFirst, kSecond, kThird });
  // Two silent daemons are borne within the time in which changes take effect.
  CHECK(thirdAt - kStart < 2s);
}

TEST_CASE("a fetch that fails is begun at another daemon at once")
{
  CatalogFetchPlan plan;
  const CatalogFetchPlan::Holders holders{ { kFirst, 8 }, { kSecond, 8 } };
  plan.OnBegun(kStart, kFirst);
  plan.OnEnded(kStart + 10ms, kFirst, false);
  REQUIRE(plan.Next(kStart + 10ms, holders) == kSecond);
  plan.OnBegun(kStart + 10ms, kSecond);
  plan.OnEnded(kStart + 20ms, kSecond, false);
  CHECK_FALSE(plan.Next(kStart + 20ms, holders));
  // The only holder of a newer catalog is asked again soon.
  CHECK(plan.Next(kStart + 120ms, { { kFirst, 8 } }) == kFirst);
  CHECK(plan.UnderWay() == 0);
}

TEST_CASE("daemons that fail again and again are asked at most once a second")
{
  CatalogFetchPlan plan;
  int fetches = 0;
  Instant last = kStart;
  for (Instant now = kStart; now < kStart + 20s; now += 10ms) {
    if (const auto core = plan.Next(now, { { kFirst, 8 } })) {
      plan.OnBegun(now, *core);
      plan.OnEnded(now, *core, false);
      ++fetches;
      CHECK(now - last <= 1s);
      last = now;
    }
  }
  CHECK(fetches < 40);
}

} // namespace carobtide
