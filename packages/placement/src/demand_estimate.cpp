#include "carobtide/placement/demand_estimate.hpp"

#include <algorithm>
#include <utility>

namespace carobtide {

namespace {

/** Reports older than this no longer count: several intervals. */
constexpr Duration kReportMemory = std::chrono::milliseconds(1500);
/** Bounds of the time between two reports, which come every 250 ms. */
constexpr Duration kShortestInterval = std::chrono::milliseconds(100);
constexpr Duration kLongestInterval = std::chrono::milliseconds(1000);
/** Part of the way that an estimate goes in a step, up and down. */
constexpr double kRise = 0.4;
constexpr double kFall = 0.03;
/** Estimates below this are forgotten. */
constexpr double kNegligible = 0.01;
/**
 * Slots that a request without a place stands for. Some of them come back and
 * are counted again, hence not one each.
 */
constexpr double kUnplacedSlots = 0.7;

} // namespace

void DemandEstimate::OnReport(Instant aNow, const DemandReport& aReport,
                              double aSlots)
{
  Source& source = mSources[aReport.mFrom];
  const Duration since =
    std::clamp(aNow - source.mHeardAt, kShortestInterval, kLongestInterval);
  source.mHeardAt = aNow;
  source.mSlots.clear();
  for (const DemandItem& demand : aReport.mModels) {
    const ModelKey key{ demand.mService, demand.mModel, demand.mAdapter };
    const double reading =
      static_cast<double>(demand.mReading) / static_cast<double>(since.count());
    source.mSlots[key] = demand.mInFlight + kUnplacedSlots * demand.mUnplaced +
                         aSlots * reading / kReadingShare;
    if (demand.mArrivals > 0) {
      mArrivedAt[key] = aNow;
    }
  }
}

void DemandEstimate::Step(Instant aNow)
{
  std::map<ModelKey, double> reported;
  for (const auto& [address, source] : mSources) {
    if (aNow - source.mHeardAt <= kReportMemory) {
      for (const auto& [key, slots] : source.mSlots) {
        reported[key] += slots;
      }
    }
  }
  for (const auto& [key, slots] : reported) {
    mNeed.try_emplace(key, 0.0);
  }
  mModelNeed.clear();
  for (auto& [key, need] : mNeed) {
    const auto it = reported.find(key);
    const double goal = it == reported.end() ? 0.0 : it->second;
    need += (goal - need) * (goal > need ? kRise : kFall);
    mModelNeed[{ key.mService, key.mModel }] += need;
  }
  std::erase_if(mNeed,
                [](const auto& aItem) { return aItem.second < kNegligible; });
}

double DemandEstimate::NeedOf(const ServiceName& aService,
                              const ModelName& aModel) const
{
  const auto it = mModelNeed.find({ aService, aModel });
  return it == mModelNeed.end() ? 0.0 : it->second;
}

double DemandEstimate::NeedOf(const ModelKey& aKey) const
{
  const auto it = mNeed.find(aKey);
  return it == mNeed.end() ? 0.0 : it->second;
}

void DemandEstimate::NoteArrival(Instant aNow, const ModelKey& aKey)
{
  mArrivedAt[aKey] = aNow;
}

bool DemandEstimate::IsInUse(Instant aNow, const ModelKey& aKey) const
{
  return std::ranges::any_of(mSources, [&](const auto& aSource) {
    const Source& source = aSource.second;
    const auto it = source.mSlots.find(aKey);
    return aNow - source.mHeardAt <= kReportMemory &&
           it != source.mSlots.end() && it->second > 0;
  });
}

Instant DemandEstimate::LastArrival(const ModelKey& aKey) const
{
  const auto it = mArrivedAt.find(aKey);
  return it == mArrivedAt.end() ? Instant() : it->second;
}

} // namespace carobtide
