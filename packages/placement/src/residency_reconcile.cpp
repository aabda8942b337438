// Engines that the planner counts with, against all that is known of targets.
#include "carobtide/placement/residency_planner.hpp"

#include <algorithm>
#include <iterator>
#include <unordered_set>

namespace carobtide {

void ResidencyPlanner::OnForgotten(const TargetName& aTarget)
{
  mEngines.erase(aTarget);
  mPendingLoads.erase(aTarget);
}

std::vector<TargetName> ResidencyPlanner::FindDiffering(
  const std::vector<const FleetRecord*>& aRecords) const
{
  std::vector<TargetName> differing;
  std::size_t known = 0;
  for (const FleetRecord* record : aRecords) {
    const Heartbeat& last = record->mLast;
    const auto it = mEngines.find(last.mTarget);
    const bool isEngine = last.mEngine && last.mPhase != TargetPhase::Gone;
    const bool isTracked = it != mEngines.end();
    known += isTracked ? 1 : 0;
    if (isEngine != isTracked ||
        (isTracked &&
         (it->second.LastHeartbeat().mIncarnation != last.mIncarnation ||
          it->second.LastHeartbeat().mPhase != last.mPhase ||
          it->second.IsSilent() != record->mSilent))) {
      differing.push_back(last.mTarget);
    }
  }
  if (known < mEngines.size()) {
    std::unordered_set<TargetName> names;
    std::ranges::transform(
      aRecords, std::inserter(names, names.end()),
      [](const FleetRecord* aRecord) { return aRecord->mLast.mTarget; });
    for (const auto& [name, engine] : mEngines) {
      if (!names.contains(name)) {
        differing.push_back(name);
      }
    }
  }
  return differing;
}

} // namespace carobtide
