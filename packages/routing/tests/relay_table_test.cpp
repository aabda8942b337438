#include "carobtide/routing/relay_table.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <string>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };

Endpoint At(int aNumber)
{
  return { "10.0.0." + std::to_string(aNumber), 7 };
}

bool IsAnyUseful(const Endpoint& /*aRelay*/)
{
  return true;
}

/** Two daemons of the own failure domain, two of another one. */
RelayTable MakeTable()
{
  RelayTable table(FailureDomain("a"));
  table.SetPeers({ { At(1), FailureDomain("a") },
                   { At(2), FailureDomain("a") },
                   { At(3), FailureDomain("b") },
                   { At(4), FailureDomain("b") } });
  return table;
}

} // namespace

TEST_CASE("requests for other daemons spread, the own failure domain first")
{
  RelayTable table = MakeTable();
  RandomEngine random(1);
  std::map<Endpoint, int> counts;
  for (int n = 0; n < 60; ++n) {
    const auto relay = table.Choose(kStart, {}, IsAnyUseful, random);
    REQUIRE(relay);
    if (n == 0) {
      CHECK((*relay == At(1) || *relay == At(2)));
    }
    ++counts[*relay];
    table.OnSent(*relay);
  }
  CHECK(counts.size() == 4);
  CHECK(counts[At(1)] + counts[At(2)] > counts[At(3)] + counts[At(4)]);
  CHECK(std::abs(counts[At(1)] - counts[At(2)]) <= 2);
}

TEST_CASE("a daemon that was lost is not handed requests for a while")
{
  RelayTable table = MakeTable();
  RandomEngine random(1);
  for (const int number : { 1, 2, 3 }) {
    table.OnSent(At(number));
    table.OnEnd(kStart, At(number),
                number == 1 ? RelayEnd::ConnectFailed : RelayEnd::Lost);
  }
  // What is known survives a new list.
  table.SetPeers({ { At(1), FailureDomain("a") },
                   { At(2), FailureDomain("a") },
                   { At(3), FailureDomain("b") },
                   { At(4), FailureDomain("b") } });
  CHECK(table.Choose(kStart, {}, IsAnyUseful, random) == At(4));
  CHECK_FALSE(table.Choose(kStart, { At(4) }, IsAnyUseful, random));
  CHECK(table.Choose(kStart + 2s, { At(4) }, IsAnyUseful, random));
}

} // namespace carobtide
