#include "carobtide/transport/descriptor_shares.hpp"

#include <algorithm>

#include <sys/resource.h>

namespace carobtide {

namespace {

/** Where the system states no limit. */
constexpr std::size_t kUnlimited = 65536;
/** Listeners, the event loop, links to a few daemons and some probes. */
constexpr std::size_t kMinReserved = 64;
constexpr std::size_t kReservedDivisor = 6;
constexpr std::size_t kMaxChecks = 256;
constexpr std::size_t kChecksDivisor = 24;
constexpr std::size_t kRelayedDivisor = 5;
/** Thousands of daemons watch each of a few control daemons. */
constexpr std::size_t kControlReservedPercent = 60;
constexpr std::size_t kPercent = 100;

std::size_t Reserve(std::size_t aLimit, std::size_t aWanted)
{
  return std::min(std::max(aWanted, kMinReserved), aLimit);
}

} // namespace

DescriptorShares ShareForEdge(std::size_t aLimit)
{
  DescriptorShares shares;
  shares.mReserved = Reserve(aLimit, aLimit / kReservedDivisor);
  std::size_t rest = aLimit - shares.mReserved;
  shares.mChecks = std::min(kMaxChecks, rest / kChecksDivisor);
  rest -= 2 * shares.mChecks;
  shares.mTargets = (rest + 1) / 2;
  rest -= shares.mTargets;
  shares.mRelayed = rest / kRelayedDivisor;
  shares.mClients = rest - shares.mRelayed;
  return shares;
}

DescriptorShares ShareForControl(std::size_t aLimit)
{
  DescriptorShares shares;
  shares.mReserved =
    Reserve(aLimit, aLimit * kControlReservedPercent / kPercent);
  std::size_t rest = aLimit - shares.mReserved;
  shares.mChecks = std::min(kMaxChecks, rest / kChecksDivisor);
  rest -= shares.mChecks;
  shares.mTargets = rest / 2;
  shares.mClients = rest - shares.mTargets;
  return shares;
}

std::size_t DescriptorLimit()
{
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return kUnlimited;
  }
  return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace carobtide
