#include "carobtide/fleet/relay_board.hpp"

#include <algorithm>

namespace carobtide {

namespace {

/** A daemon that misses a larger share of the targets helps nobody. */
constexpr double kMaxUnreachable = 0.5;
/** Daemons looked at for one selection. */
constexpr std::size_t kMaxVisited = 200;

} // namespace

void RelayBoard::OnDaemon(const Endpoint& aDaemon, const RelayPeer& aRelay,
                          double aUnreachable)
{
  Daemon& daemon = mDaemons[PlaceOf(aDaemon)];
  daemon.mRelay = aRelay;
  daemon.mCanHelp =
    !aRelay.mAddress.mHost.empty() && aUnreachable <= kMaxUnreachable;
}

std::vector<RelayPeer> RelayBoard::Select(const Endpoint& aDaemon,
                                          const FailureDomain& aDomain) const
{
  std::vector<RelayPeer> near;
  std::vector<RelayPeer> far;
  const std::uint64_t own = PlaceOf(aDaemon);
  auto it = mDaemons.upper_bound(own);
  const std::size_t count = std::min(mDaemons.size(), kMaxVisited);
  for (std::size_t n = 0;
       n < count && (near.size() < kMaxNear || far.size() < kMaxFar); ++n) {
    if (it == mDaemons.end()) {
      it = mDaemons.begin();
    }
    const auto& [place, daemon] = *it++;
    if (place == own || !daemon.mCanHelp) {
      continue;
    }
    const bool isNear = daemon.mRelay.mFailureDomain == aDomain;
    auto& list = isNear ? near : far;
    if (list.size() < (isNear ? kMaxNear : kMaxFar)) {
      list.push_back(daemon.mRelay);
    }
  }
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

} // namespace carobtide
