// Data exchanged with peers, targets and the planner: hints, cache events,
// demand and counters.
#include "router_impl.hpp"

#include <algorithm>

namespace carobtide {

namespace {

/** Maximum age of a latency sample in the hints for peers. */
constexpr Duration kMaxSharedSampleAge = 300ms;

} // namespace

void Router::Impl::OnPeerHints(Instant aNow, const DaemonName& aPeer,
                               const std::vector<InFlightHint>& aHints)
{
  mPeers.Replace(aNow, aPeer, aHints, mTargets);
}

std::vector<InFlightHint> Router::Impl::Hints() const
{
  std::vector<InFlightHint> hints;
  for (TargetIndex it = 0; it < mTargets.Size(); ++it) {
    const TargetEntry& target = mTargets.At(it);
    // Reported as full so that peers send nothing to an exclusive target.
    const std::uint32_t inFlight =
      target.mExclusive ? std::max(target.mSlots, target.mOwnInFlight)
                        : target.mOwnInFlight;
    // Only own fresh samples: peers would otherwise feed back their own hints.
    const bool isFresh =
      target.mLatency.UpdatedAt() + kMaxSharedSampleAge > mLastTick;
    const double slowness = target.mLatency.Slowness(mLastTick);
    const bool isSlow = isFresh && slowness >= TargetSelector::kSlowThreshold;
    if (inFlight > 0 || isSlow) {
      hints.push_back({ target.mName, inFlight, target.mOwnLong,
                        isSlow ? static_cast<float>(slowness) : 1.0F });
    }
  }
  return hints;
}

void Router::Impl::OnCacheEvent(Instant aNow, const CacheEvent& aEvent)
{
  const TargetIndex target = mTargets.Find(aEvent.mTarget);
  if (target == kNoTarget) {
    return;
  }
  if (aEvent.mEvicted) {
    mPrefixes.Erase(target, aEvent.mPrefixHash);
  } else {
    mPrefixes.Insert(aNow, target, aEvent.mPrefixHash);
  }
}

DemandTable Router::Impl::Demand(Instant aNow) const
{
  DemandTable table;
  for (const auto& [model, meter] : mDemand) {
    table[model] = ModelDemand{ meter.Fast(aNow), meter.Slow(aNow) };
  }
  return table;
}

bool Router::Impl::IsReachable(const ModelName& aModel)
{
  const RouteIndex route = mTargets.FindModelRoute(aModel, AdapterName());
  return route != kNoRoute && !mTargets.Targets(route).IsEmpty();
}

RouterStats Router::Impl::Stats() const
{
  RouterStats stats = mStats;
  stats.mQueued = mQueue.Size();
  stats.mInFlight = mAttempts.size();
  return stats;
}

} // namespace carobtide
