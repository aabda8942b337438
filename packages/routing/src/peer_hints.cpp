#include "carobtide/routing/peer_hints.hpp"

#include <algorithm>

namespace carobtide {

void PeerHints::Replace(Instant aNow, const DaemonName& aPeer,
                        const std::vector<InFlightHint>& aHints,
                        TargetTable& aTargets)
{
  Peer& peer = mPeers[aPeer];
  Subtract(peer, aTargets);
  peer.mHeardAt = aNow;
  peer.mRows.clear();
  for (const InFlightHint& hint : aHints) {
    const TargetIndex index = aTargets.Find(hint.mTarget);
    if (index == kNoTarget) {
      continue;
    }
    TargetEntry& target = aTargets.At(index);
    target.mPeerInFlight += hint.mInFlight;
    target.mPeerLong += hint.mLong;
    RecordSlowness(aNow, hint.mSlowness, target);
    peer.mRows.push_back({ index, hint.mTarget, hint.mInFlight, hint.mLong });
  }
}

void PeerHints::RecordSlowness(Instant aNow, double aSlowness,
                               TargetEntry& aTarget)
{
  constexpr double kNormal = 1.0;
  const bool isLater = aTarget.mPeerSlownessAt < aNow;
  if (aSlowness <= kNormal ||
      (!isLater && aSlowness <= aTarget.mPeerSlowness)) {
    return;
  }
  aTarget.mPeerSlowness = std::min(aSlowness, LatencyTracker::kMaxRatio);
  aTarget.mPeerSlownessAt = aNow;
}

bool PeerHints::Expire(Instant aNow, TargetTable& aTargets)
{
  const auto count = std::erase_if(mPeers, [&](const auto& aPeer) {
    if (aPeer.second.mHeardAt + kLifetime > aNow) {
      return false;
    }
    Subtract(aPeer.second, aTargets);
    return true;
  });
  return count > 0;
}

void PeerHints::Subtract(const Peer& aPeer, TargetTable& aTargets)
{
  for (const Row& it : aPeer.mRows) {
    TargetEntry& target = aTargets.At(it.mTarget);
    // The index may have been reused for another target.
    if (target.mName != it.mName) {
      continue;
    }
    target.mPeerInFlight -= std::min(target.mPeerInFlight, it.mInFlight);
    target.mPeerLong -= std::min(target.mPeerLong, it.mLong);
  }
}

} // namespace carobtide
