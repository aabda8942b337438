#include "carobtide/fleet/relay_board.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace carobtide {

namespace {

constexpr int kDaemons = 2100;
constexpr int kDomains = 22;

Endpoint DaemonAt(int aNumber)
{
  return { "10." + std::to_string(aNumber % kDomains) + ".1." +
             std::to_string(aNumber / kDomains),
           7 };
}

FailureDomain DomainOf(int aNumber)
{
  return FailureDomain("d" + std::to_string(aNumber % kDomains));
}

RelayPeer RelayOf(int aNumber)
{
  return { { DaemonAt(aNumber).mHost, 9 }, DomainOf(aNumber) };
}

} // namespace

// All daemons of a failure domain lose their links to the targets at once.
TEST_CASE("a failure domain that is cut off spreads over the other daemons")
{
  RelayBoard board;
  for (int n = 0; n < kDaemons; ++n) {
    board.OnDaemon(DaemonAt(n), RelayOf(n), n % kDomains == 0 ? 1.0 : 0.0);
  }
  std::map<Endpoint, int> helped;
  for (int n = 0; n < kDaemons; n += kDomains) {
    const auto relays = board.Select(DaemonAt(n), DomainOf(n));
    CHECK(relays.size() == RelayBoard::kMaxFar);
    for (const RelayPeer& relay : relays) {
      CHECK(relay.mFailureDomain != DomainOf(n));
      ++helped[relay.mAddress];
    }
  }
  const auto busiest = std::ranges::max_element(
    helped, {}, [](const auto& aItem) { return aItem.second; });
  CHECK(busiest->second <= 2 * static_cast<int>(RelayBoard::kMaxFar));
}

TEST_CASE("a daemon is helped by its own failure domain and by others")
{
  RelayBoard board;
  for (int n = 0; n < kDaemons; ++n) {
    board.OnDaemon(DaemonAt(n), RelayOf(n), 0.0);
  }
  const auto relays = board.Select(DaemonAt(0), DomainOf(0));
  const auto near =
    std::ranges::count(relays, DomainOf(0), &RelayPeer::mFailureDomain);
  CHECK(near >= 1);
  CHECK(relays.size() - static_cast<std::size_t>(near) == RelayBoard::kMaxFar);
  CHECK(std::ranges::find(relays, RelayOf(0)) == relays.end());
}

TEST_CASE("a daemon that stops, is lost or reaches few targets helps nobody")
{
  RelayBoard board;
  for (int n = 0; n < 4; ++n) {
    board.OnDaemon(DaemonAt(n), RelayOf(n), 0.0);
  }
  board.OnDaemon(DaemonAt(1), { {}, DomainOf(1) }, 0.0);
  board.OnDaemon(DaemonAt(2), RelayOf(2), 0.9);
  board.Forget(DaemonAt(3));
  CHECK(board.Select(DaemonAt(0), DomainOf(0)).empty());
}

} // namespace carobtide
