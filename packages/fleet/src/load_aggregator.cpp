#include "carobtide/fleet/load_aggregator.hpp"

#include <algorithm>
#include <iterator>

namespace carobtide {

namespace {

/** A sender that has not reported for this long has stopped or has moved. */
constexpr Duration kSourceLifetime = std::chrono::milliseconds(1000);
constexpr Duration kMinInterval = std::chrono::milliseconds(25);
/** Home's budget: a total to each of its routing daemons takes this long. */
constexpr Duration kIntervalPerReporter = std::chrono::milliseconds(1);
/** Budget for totals on the link of a routing daemon, in bytes a second. */
constexpr double kTotalBytesPerSecond = 24'000;

} // namespace

void LoadAggregator::OnReport(Instant aNow, const InFlightReport& aReport)
{
  Source& source = mSources[aReport.mFrom];
  if (aReport.mSequence < source.mSequence &&
      aNow - source.mReceivedAt < kSourceLifetime) {
    return;
  }
  source.mIsSum = aReport.mIsSum;
  source.mSequence = aReport.mSequence;
  source.mReceivedAt = aNow;
  const LoadSection& section = aReport.mSection;
  source.mLoads.erase(source.mLoads.lower_bound(section.mFirst),
                      source.mLoads.upper_bound(section.mLast));
  for (const PackedLoad& load : section.mLoads) {
    source.mLoads[load.mTarget] = load.Unpack();
  }
  source.mSends.erase(source.mSends.lower_bound(section.mFirst),
                      source.mSends.upper_bound(section.mLast));
  for (const PackedSends& sends : section.mSends) {
    source.mSends[sends.mTarget] = sends.Unpack();
  }
}

void LoadAggregator::Expire(Instant aNow)
{
  std::erase_if(mSources, [&](const auto& aSource) {
    return aNow - aSource.second.mReceivedAt >= kSourceLifetime;
  });
}

std::vector<PackedLoad> LoadAggregator::Sum(bool aWithOthers) const
{
  std::map<TargetKey, TargetLoad> sums;
  for (const auto& [address, source] : mSources) {
    if (source.mIsSum && !aWithOthers) {
      continue;
    }
    for (const auto& [key, load] : source.mLoads) {
      TargetLoad& sum = sums[key];
      sum.mInFlight += load.mInFlight;
      sum.mPrefillTime += load.mPrefillTime;
    }
  }
  std::vector<PackedLoad> packed;
  packed.reserve(sums.size());
  std::ranges::transform(sums, std::back_inserter(packed),
                         [](const auto& aItem) {
                           return PackedLoad::Pack(aItem.first, aItem.second);
                         });
  return packed;
}

std::vector<PackedSends> LoadAggregator::SumSends(bool aWithOthers) const
{
  std::map<TargetKey, double> sums;
  for (const auto& [address, source] : mSources) {
    if (source.mIsSum && !aWithOthers) {
      continue;
    }
    for (const auto& [key, recent] : source.mSends) {
      sums[key] += recent;
    }
  }
  std::vector<PackedSends> packed;
  packed.reserve(sums.size());
  std::ranges::transform(sums, std::back_inserter(packed),
                         [](const auto& aItem) {
                           return PackedSends::Pack(aItem.first, aItem.second);
                         });
  return packed;
}

std::vector<PackedSends> LoadAggregator::OwnSends() const
{
  return SumSends(false);
}

std::vector<PackedSends> LoadAggregator::TotalSends() const
{
  return SumSends(true);
}

std::vector<PackedLoad> LoadAggregator::OwnSum() const
{
  return Sum(false);
}

std::vector<PackedLoad> LoadAggregator::Total() const
{
  return Sum(true);
}

std::vector<std::pair<Endpoint, std::uint64_t>> LoadAggregator::Reporters()
  const
{
  std::vector<std::pair<Endpoint, std::uint64_t>> reporters;
  for (const auto& [address, source] : mSources) {
    if (!source.mIsSum) {
      reporters.emplace_back(address, source.mSequence);
    }
  }
  return reporters;
}

Duration LoadInterval(const LoadIntervalFacts& aFacts)
{
  const double bytes =
    static_cast<double>(sizeof(PackedLoad) * aFacts.mTargets);
  const auto byLink = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(bytes / kTotalBytesPerSecond));
  return std::max(
    { kMinInterval, byLink,
      kIntervalPerReporter * static_cast<Duration::rep>(aFacts.mReporters) });
}

} // namespace carobtide
