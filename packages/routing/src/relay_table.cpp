#include "carobtide/routing/relay_table.hpp"

#include <algorithm>
#include <random>

namespace carobtide {

namespace {

/** A daemon that could not be connected to, or was lost, is left out. */
constexpr Duration kLostPause = std::chrono::milliseconds(1000);
/** Weight of a request in flight at a daemon of another failure domain. */
constexpr double kRemoteWeight = 2.0;

} // namespace

void RelayTable::SetPeers(const std::vector<RelayPeer>& aPeers)
{
  std::map<Endpoint, Relay> relays;
  for (const RelayPeer& peer : aPeers) {
    const auto known = mRelays.find(peer.mAddress);
    Relay& relay = relays[peer.mAddress];
    relay = known == mRelays.end() ? Relay{} : known->second;
    relay.mIsNear = peer.mFailureDomain == mFailureDomain;
  }
  mRelays = std::move(relays);
}

std::optional<Endpoint> RelayTable::Choose(
  Instant aNow, const std::vector<Endpoint>& aTried,
  const std::function<bool(const Endpoint&)>& aIsUseful,
  RandomEngine& aRandom) const
{
  std::optional<Endpoint> best;
  double bestScore = 0;
  for (const auto& [address, relay] : mRelays) {
    if (aNow < relay.mExcludedUntil ||
        std::ranges::find(aTried, address) != aTried.end() ||
        !aIsUseful(address)) {
      continue;
    }
    const double score = (relay.mIsNear ? 1.0 : kRemoteWeight) *
                           (1.0 + static_cast<double>(relay.mInFlight)) +
                         std::uniform_real_distribution<>(0, 0.5)(aRandom);
    if (!best || score < bestScore) {
      best = address;
      bestScore = score;
    }
  }
  return best;
}

void RelayTable::OnSent(const Endpoint& aRelay)
{
  if (const auto it = mRelays.find(aRelay); it != mRelays.end()) {
    ++it->second.mInFlight;
  }
}

void RelayTable::OnEnd(Instant aNow, const Endpoint& aRelay, RelayEnd aEnd)
{
  const auto it = mRelays.find(aRelay);
  if (it == mRelays.end()) {
    return;
  }
  it->second.mInFlight -= std::min(it->second.mInFlight, 1U);
  if (aEnd == RelayEnd::ConnectFailed || aEnd == RelayEnd::Lost) {
    it->second.mExcludedUntil = aNow + kLostPause;
  }
}

} // namespace carobtide
