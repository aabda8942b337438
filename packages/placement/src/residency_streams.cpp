// Copies for streams that only one software version may go on with.
#include "carobtide/placement/residency_planner.hpp"

#include <algorithm>

namespace carobtide {

namespace {

/** Reports of routing daemons come every 250 ms. */
constexpr Duration kReportLifetime = std::chrono::milliseconds(800);
/** If streams wait for longer, the one copy that there is does not serve. */
constexpr Duration kCopyTimeout = std::chrono::milliseconds(500);
/**
 * Slots that a waiting stream counts for: its caller has a part of the answer,
 * which is of no use without the rest.
 */
constexpr double kSlotsPerStream = 2;

} // namespace

void ResidencyPlanner::NoteWaitingStreams(Instant aNow,
                                          const DemandReport& aReport)
{
  for (const StreamDemand& streams : aReport.mStreams) {
    WaitingStreams& waiting =
      mWaitingStreams[{ streams.mService, streams.mModel, streams.mSoftware }];
    if (aNow - waiting.mReportedAt > kReportLifetime) {
      waiting.mSince = aNow;
    }
    waiting.mReportedAt = aNow;
    waiting.mCount = streams.mWaiting;
  }
}

void ResidencyPlanner::PlanForStreams(Instant aNow, ServiceSnapshot& aSnapshot,
                                      std::vector<ResidencyEffect>& aEffects)
{
  std::erase_if(mWaitingStreams, [&](const auto& aItem) {
    return aNow - aItem.second.mReportedAt > kReportLifetime;
  });
  for (const auto& [key, waiting] : mWaitingStreams) {
    const auto& [service, name, software] = key;
    const CatalogModel* model = FindModel(*aSnapshot.mService, name);
    if (service != aSnapshot.mService->mName || model == nullptr) {
      continue;
    }
    const auto& holders = aSnapshot.mHolders[name];
    const auto copies = std::ranges::count_if(
      holders, [&wanted = software](const EngineTracker* aEngine) {
        return aEngine->LastHeartbeat().mSoftware == wanted;
      });
    if (copies > 1 || (copies == 1 && aNow - waiting.mSince < kCopyTimeout)) {
      continue;
    }
    const double gain = kSlotsPerStream * waiting.mCount;
    if (const auto candidate =
          FindLoadCandidate(aNow, aSnapshot, *model, gain, &software)) {
      PlanCopy(aNow, aSnapshot, *model, *candidate,
               "streams wait for its software", aEffects);
    }
  }
}

} // namespace carobtide
