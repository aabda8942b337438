#include "carobtide/placement/demand_estimate.hpp"

#include <algorithm>
#include <utility>

namespace carobtide {

namespace {

/** Older reports are ignored. Spans several report intervals. */
constexpr Duration kReportLifetime = std::chrono::milliseconds(1500);
/** Bounds for the time between two reports, which are sent every 250 ms. */
constexpr Duration kMinReportInterval = std::chrono::milliseconds(100);
constexpr Duration kMaxReportInterval = std::chrono::milliseconds(1000);
/** Smoothing factors per step for rising and falling demand. */
constexpr double kRiseFactor = 0.4;
constexpr double kFallFactor = 0.03;
/** Smoothing factor per step of the average. */
constexpr double kAverageFactor = 0.01;
/** Lower estimates are removed. In slots. */
constexpr double kNegligible = 0.01;

} // namespace

void DemandEstimate::OnReport(Instant aNow, const DemandReport& aReport,
                              double aSlots)
{
  Source& source = mSources[aReport.mFrom];
  const Duration interval = std::clamp(aNow - source.mReceivedAt,
                                       kMinReportInterval, kMaxReportInterval);
  source.mReceivedAt = aNow;
  source.mSlots.clear();
  for (const DemandItem& demand : aReport.mModels) {
    const ModelKey key{ demand.mService, demand.mModel, demand.mAdapter };
    const double prefillShare = static_cast<double>(demand.mReading) /
                                static_cast<double>(interval.count());
    source.mSlots[key] = demand.mInFlight + demand.mUnplaced +
                         aSlots * prefillShare / kSaturatingPrefillShare;
    if (demand.mArrivals > 0) {
      mLastArrivals[key] = aNow;
    }
  }
}

void DemandEstimate::Step(Instant aNow)
{
  std::map<ModelKey, double> reported;
  for (const auto& [address, source] : mSources) {
    if (aNow - source.mReceivedAt <= kReportLifetime) {
      for (const auto& [key, slots] : source.mSlots) {
        reported[key] += slots;
      }
    }
  }
  for (const auto& [key, slots] : reported) {
    mSlotsNeeded.try_emplace(key, 0.0);
  }
  mModelSlotsNeeded.clear();
  for (auto& [key, need] : mSlotsNeeded) {
    const auto it = reported.find(key);
    const double reportedSlots = it == reported.end() ? 0.0 : it->second;
    need += (reportedSlots - need) *
            (reportedSlots > need ? kRiseFactor : kFallFactor);
    mModelSlotsNeeded[{ key.mService, key.mModel }] += need;
  }
  std::erase_if(mSlotsNeeded,
                [](const auto& aItem) { return aItem.second < kNegligible; });
  std::map<std::pair<ServiceName, ModelName>, double> totals;
  for (const auto& [key, slots] : reported) {
    totals[{ key.mService, key.mModel }] += slots;
  }
  for (const auto& [key, slots] : totals) {
    mModelAverages.try_emplace(key, 0.0);
  }
  for (auto& [key, average] : mModelAverages) {
    const auto it = totals.find(key);
    const double now = it == totals.end() ? 0.0 : it->second;
    average += (now - average) * kAverageFactor;
  }
}

double DemandEstimate::SlotsNeeded(const ServiceName& aService,
                                   const ModelName& aModel) const
{
  const auto it = mModelSlotsNeeded.find({ aService, aModel });
  return it == mModelSlotsNeeded.end() ? 0.0 : it->second;
}

double DemandEstimate::AverageSlotsNeeded(const ServiceName& aService,
                                          const ModelName& aModel) const
{
  const auto it = mModelAverages.find({ aService, aModel });
  return it == mModelAverages.end() ? 0.0 : it->second;
}

double DemandEstimate::SlotsNeeded(const ModelKey& aKey) const
{
  const auto it = mSlotsNeeded.find(aKey);
  return it == mSlotsNeeded.end() ? 0.0 : it->second;
}

void DemandEstimate::NoteArrival(Instant aNow, const ModelKey& aKey)
{
  mLastArrivals[aKey] = aNow;
}

bool DemandEstimate::IsInUse(Instant aNow, const ModelKey& aKey) const
{
  return std::ranges::any_of(mSources, [&](const auto& aSource) {
    const Source& source = aSource.second;
    const auto it = source.mSlots.find(aKey);
    return aNow - source.mReceivedAt <= kReportLifetime &&
           it != source.mSlots.end() && it->second > 0;
  });
}

Instant DemandEstimate::LastArrival(const ModelKey& aKey) const
{
  const auto it = mLastArrivals.find(aKey);
  return it == mLastArrivals.end() ? Instant() : it->second;
}

} // namespace carobtide
