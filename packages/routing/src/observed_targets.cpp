#include "carobtide/routing/observed_targets.hpp"

#include <algorithm>

namespace carobtide {

namespace {

/** A home that has sent no total for this long may have been restarted. */
constexpr Duration kHomeLifetime = std::chrono::milliseconds(1000);

} // namespace

TargetSample& ObservedTargets::OpenSample(Instant aNow, TargetKey aTarget,
                                          bool aIsUrgent)
{
  std::vector<OwnSample>& own = mOwn[aTarget];
  const bool isPending = !own.empty() && own.back().mSequence == 0;
  if (isPending && aNow - own.back().mAt < kObservationInterval) {
    return own.back().mSample;
  }
  if (!isPending) {
    if (aIsUrgent) {
      mPending.push_front(aTarget);
    } else {
      mPending.push_back(aTarget);
    }
  }
  own.push_back({ 0, aNow, {} });
  return own.back().mSample;
}

void ObservedTargets::OnEnded(Instant aNow, TargetKey aTarget, bool aFailed)
{
  TargetSample& sample = OpenSample(aNow, aTarget, aFailed);
  sample.mEnded += 1;
  sample.mFailed += aFailed ? 1 : 0;
}

void ObservedTargets::OnPrefill(Instant aNow, TargetKey aTarget, double aLog,
                                double aWeight)
{
  OpenSample(aNow, aTarget, false).mPrefill.Add(aLog, aWeight);
}

void ObservedTargets::OnTokens(Instant aNow, TargetKey aTarget, double aLog,
                               double aWeight)
{
  OpenSample(aNow, aTarget, false).mTokens.Add(aLog, aWeight);
}

std::optional<SampleReport> ObservedTargets::TakeReport(Instant aNow,
                                                        const Endpoint& aSelf)
{
  Expire(aNow);
  SampleReport report;
  while (!mPending.empty() && report.mSamples.size() < kMaxReportSamples) {
    const TargetKey key = mPending.front();
    mPending.pop_front();
    const auto it = mOwn.find(key);
    if (it == mOwn.end()) {
      continue;
    }
    TargetSample sum;
    for (OwnSample& own : it->second) {
      if (own.mSequence == 0) {
        own.mSequence = mSequence + 1;
        sum.Add(own.mSample);
      }
    }
    if (!sum.IsEmpty()) {
      report.mSamples.push_back(PackedSample::Pack(key, sum));
    }
  }
  if (report.mSamples.empty()) {
    return std::nullopt;
  }
  report.mFrom = aSelf;
  report.mSequence = ++mSequence;
  return report;
}

void ObservedTargets::OnSums(Instant aNow, const SumsReport& aReport)
{
  if (aReport.mFrom == mHome && aReport.mSequence <= mTotalSequence &&
      aNow - mTotalAt < kHomeLifetime) {
    return;
  }
  mHome = aReport.mFrom;
  mTotalSequence = aReport.mSequence;
  mTotalAt = aNow;
  for (const PackedSums& packed : aReport.mSums) {
    mTotals[packed.mTarget] = { packed.Unpack(), aNow };
    // The home may still state a sequence of the process before this one.
    const auto own = mOwn.find(packed.mTarget);
    if (own != mOwn.end() && aReport.mIncluded <= mSequence) {
      std::erase_if(own->second, [&](const OwnSample& aSample) {
        return aSample.mSequence != 0 && aSample.mSequence <= aReport.mIncluded;
      });
    }
  }
}

TargetSums ObservedTargets::Of(Instant aNow, TargetKey aTarget) const
{
  TargetSums sums;
  if (const auto it = mTotals.find(aTarget); it != mTotals.end()) {
    sums = CurrentSums(aNow - it->second.mReceivedAt, it->second.mSums);
  }
  if (const auto it = mOwn.find(aTarget); it != mOwn.end()) {
    for (const OwnSample& own : it->second) {
      sums.Add(CurrentSums(aNow - own.mAt, { own.mSample, own.mSample }));
    }
  }
  return sums;
}

std::optional<Duration> ObservedTargets::Age(Instant aNow) const
{
  return aNow - mTotalAt < TargetSums::kLong
           ? std::optional<Duration>(aNow - mTotalAt)
           : std::nullopt;
}

void ObservedTargets::Expire(Instant aNow)
{
  for (auto& [key, samples] : mOwn) {
    std::erase_if(samples, [&](const OwnSample& aSample) {
      return aNow - aSample.mAt >= TargetSums::kLong;
    });
  }
  std::erase_if(mOwn, [](const auto& aItem) { return aItem.second.empty(); });
  std::erase_if(mTotals, [&](const auto& aItem) {
    return aNow - aItem.second.mReceivedAt >= TargetSums::kLong;
  });
}

} // namespace carobtide
