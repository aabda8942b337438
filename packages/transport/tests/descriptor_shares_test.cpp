#include "carobtide/transport.hpp"

#include <catch2/catch.hpp>

#include <array>

namespace carobtide {

namespace {

constexpr std::array<std::size_t, 8> kLimits{ 100,  256,  300,   1024,
                                              3075, 4100, 10250, 65536 };

std::size_t Sum(const DescriptorShares& aShares)
{
  return aShares.mClients + aShares.mRelayed + aShares.mTargets +
         aShares.mChecks + aShares.mReserved;
}

} // namespace

// Guards against callers that hold every descriptor of an edge.
TEST_CASE("shares of an edge leave descriptors to links between daemons")
{
  for (const std::size_t limit : kLimits) {
    CAPTURE(limit);
    const DescriptorShares shares = ShareForEdge(limit);
    CHECK(Sum(shares) + shares.mChecks <= limit);
    CHECK(shares.mReserved >= 64);
    CHECK(shares.mClients > 0);
    // A request holds a connection of its caller and one to its target.
    CHECK(shares.mTargets >= shares.mClients + shares.mRelayed);
  }
}

// At the target size 2,078 routing daemons watch each control daemon.
TEST_CASE("shares of a control daemon leave room for all that watch it")
{
  for (const std::size_t limit : kLimits) {
    CAPTURE(limit);
    CHECK(Sum(ShareForControl(limit)) <= limit);
    CHECK(ShareForControl(limit).mClients > 0);
  }
  CHECK(ShareForControl(4096).mReserved > 2100);
  CHECK(ShareForControl(4096).mClients > 7000 / 22 + 100);
}

TEST_CASE("a limit below the reserve leaves nothing to clients")
{
  CHECK(ShareForEdge(10).mClients == 0);
  CHECK(ShareForEdge(10).mReserved == 10);
}

TEST_CASE("the process has a limit of descriptors")
{
  CHECK(DescriptorLimit() > 0);
}

} // namespace carobtide
