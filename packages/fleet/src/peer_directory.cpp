#include "carobtide/fleet/peer_directory.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace carobtide {

namespace {

/** Silent addresses are greeted this long: a long cut with a margin. */
constexpr Duration kForgetAfter = std::chrono::seconds(60);

} // namespace

PeerDirectory::PeerDirectory(Endpoint aSelf)
  : mSelf(std::move(aSelf))
{
}

void PeerDirectory::SetSeeds(std::vector<Endpoint> aSeeds)
{
  mSeeds = std::move(aSeeds);
}

void PeerDirectory::OnGreeting(Instant aNow, const PeerInfo& aPeer)
{
  if (aPeer.mAddress == mSelf) {
    return;
  }
  mEntries[aPeer.mAddress] = Entry{ aPeer, true, aNow };
}

void PeerDirectory::OnMention(Instant aNow, const Endpoint& aAddress)
{
  if (aAddress != mSelf) {
    mEntries.try_emplace(aAddress, Entry{ {}, false, aNow });
  }
}

void PeerDirectory::Expire(Instant aNow)
{
  std::erase_if(mEntries, [&](const auto& aItem) {
    return aNow - aItem.second.mSince >= kForgetAfter;
  });
}

std::vector<Endpoint> PeerDirectory::Addresses() const
{
  std::set<Endpoint> addresses(mSeeds.begin(), mSeeds.end());
  std::ranges::transform(mEntries, std::inserter(addresses, addresses.end()),
                         [](const auto& aItem) { return aItem.first; });
  addresses.erase(mSelf);
  return { addresses.begin(), addresses.end() };
}

std::vector<PeerInfo> PeerDirectory::HeardWithin(Instant aNow,
                                                 Duration aAge) const
{
  std::vector<PeerInfo> peers;
  for (const auto& [address, entry] : mEntries) {
    if (entry.mHeard && aNow - entry.mSince <= aAge) {
      peers.push_back(entry.mInfo);
    }
  }
  return peers;
}

} // namespace carobtide
