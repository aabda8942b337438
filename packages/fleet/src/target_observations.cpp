#include "carobtide/fleet/target_observations.hpp"

#include <algorithm>
#include <cmath>

namespace carobtide {

namespace {

/** Granularity of the sliding windows. */
constexpr Duration kBucket = std::chrono::milliseconds(100);
/** A sender that has not reported for this long may have been restarted. */
constexpr Duration kSenderLifetime = std::chrono::milliseconds(1000);
constexpr std::uint64_t kSeenReports = 64;
/** This time since it was taken counts like a speed that has doubled. */
constexpr Duration kFullWeightAge = std::chrono::milliseconds(500);

double FailureShare(const PackedSample& aSample)
{
  return aSample.mOutcomes.mEnded == 0
           ? 0.0
           : static_cast<double>(aSample.mOutcomes.mFailed) /
               aSample.mOutcomes.mEnded;
}

double SpeedChange(const PackedSpeed& aBefore, const PackedSpeed& aNow)
{
  // Few samples change by chance: they must not keep others from being sent.
  constexpr double kFullWeight = 8 * PackedSpeed::kTicksPerSample;
  const double change =
    std::abs(aNow.mLog - aBefore.mLog) / PackedSpeed::kStepsPerOctave;
  return std::min(change, 1.0) * std::min(aNow.mWeight / kFullWeight, 1.0);
}

/** How much a receiver would gain from the new sums. */
double ChangeOf(const PackedSums& aBefore, const PackedSums& aNow)
{
  const PackedSample& before = aBefore.mRecent;
  const PackedSample& now = aNow.mRecent;
  // Failures count most: each request sent to the target meanwhile is lost.
  constexpr double kFailureWeight = 20.0;
  // A pace of tokens that has halved is sent at once as well. Times to the
  // first byte vary too much for that.
  constexpr int kJump = 18;
  constexpr int kMinJumpWeight = 12;
  constexpr double kJumpWeight = 10.0;
  return kFailureWeight * std::abs(FailureShare(now) - FailureShare(before)) +
         SpeedChange(before.mPrefill, now.mPrefill) +
         SpeedChange(before.mTokens, now.mTokens) +
         (std::abs(now.mTokens.mLog - before.mTokens.mLog) > kJump &&
              now.mTokens.mWeight >= kMinJumpWeight
            ? kJumpWeight
            : 0);
}

} // namespace

TargetSums CurrentSums(Duration aAge, const TargetSums& aSums)
{
  TargetSums current;
  if (aAge >= TargetSums::kLong) {
    return current;
  }
  current.mLong = aSums.mLong;
  if (aAge < TargetSums::kRecentOutcomes) {
    current.mRecent.mEnded = aSums.mRecent.mEnded;
    current.mRecent.mFailed = aSums.mRecent.mFailed;
  }
  if (aAge < TargetSums::kRecentSpeeds) {
    current.mRecent.mPrefill = aSums.mRecent.mPrefill;
    current.mRecent.mTokens = aSums.mRecent.mTokens;
  }
  return current;
}

bool TargetObservations::IsNew(Instant aNow, const SampleReport& aReport)
{
  const auto [it, isFirst] = mReporters.try_emplace(aReport.mFrom);
  Reporter& reporter = it->second;
  const std::uint64_t sequence = aReport.mSequence;
  const bool mayBeRestarted = aNow - reporter.mReceivedAt >= kSenderLifetime;
  if (isFirst || (sequence < reporter.mSequence && mayBeRestarted)) {
    reporter = { sequence, 1, aNow };
    return true;
  }
  if (sequence > reporter.mSequence) {
    const std::uint64_t step = sequence - reporter.mSequence;
    reporter.mSeen = step < kSeenReports ? reporter.mSeen << step : 0;
    reporter.mSeen |= 1;
    reporter.mSequence = sequence;
    reporter.mReceivedAt = aNow;
    return true;
  }
  const std::uint64_t age = reporter.mSequence - sequence;
  const std::uint64_t bit = age < kSeenReports ? std::uint64_t(1) << age : 0;
  if (bit == 0 || (reporter.mSeen & bit) != 0) {
    return false;
  }
  reporter.mSeen |= bit;
  return true;
}

void TargetObservations::OnReport(Instant aNow, const SampleReport& aReport)
{
  if (!IsNew(aNow, aReport)) {
    return;
  }
  for (const PackedSample& packed : aReport.mSamples) {
    std::vector<Bucket>& buckets = mOwn[packed.mTarget];
    if (buckets.empty() || aNow - buckets.back().mStart >= kBucket) {
      buckets.push_back({ aNow, {} });
    }
    buckets.back().mSample.Add(packed.Unpack());
    mTakenOwn[packed.mTarget].mHasNew = true;
    mTakenTotal[packed.mTarget].mHasNew = true;
  }
}

void TargetObservations::OnSums(Instant aNow, const SumsReport& aReport)
{
  OtherHome& home = mHomes[aReport.mFrom];
  if (aReport.mSequence <= home.mSequence &&
      aNow - home.mReceivedAt < kSenderLifetime) {
    return;
  }
  home.mSequence = aReport.mSequence;
  home.mReceivedAt = aNow;
  for (const PackedSums& packed : aReport.mSums) {
    home.mTargets[packed.mTarget] = { packed.Unpack(), aNow };
    mTakenTotal[packed.mTarget].mHasNew = true;
  }
}

void TargetObservations::Expire(Instant aNow)
{
  for (auto& [key, buckets] : mOwn) {
    std::erase_if(buckets, [&](const Bucket& aBucket) {
      return aNow - aBucket.mStart >= TargetSums::kLong;
    });
  }
  std::erase_if(mOwn, [](const auto& aItem) { return aItem.second.empty(); });
  std::erase_if(mReporters, [&](const auto& aItem) {
    return aNow - aItem.second.mReceivedAt >= TargetSums::kLong;
  });
  for (auto& [address, home] : mHomes) {
    std::erase_if(home.mTargets, [&](const auto& aItem) {
      return aNow - aItem.second.mReceivedAt >= TargetSums::kLong;
    });
  }
  std::erase_if(mHomes, [&](const auto& aItem) {
    return aNow - aItem.second.mReceivedAt >= TargetSums::kLong;
  });
  const auto isOld = [&](const auto& aItem) {
    return !aItem.second.mHasNew &&
           aNow - aItem.second.mAt >= TargetSums::kLong;
  };
  std::erase_if(mTakenOwn, isOld);
  std::erase_if(mTakenTotal, isOld);
}

TargetSums TargetObservations::OwnSums(Instant aNow, TargetKey aTarget) const
{
  TargetSums sums;
  const auto it = mOwn.find(aTarget);
  if (it == mOwn.end()) {
    return sums;
  }
  for (const Bucket& bucket : it->second) {
    TargetSums part;
    part.mRecent = bucket.mSample;
    part.mLong = bucket.mSample;
    sums.Add(CurrentSums(aNow - bucket.mStart, part));
  }
  return sums;
}

TargetSums TargetObservations::TotalSums(Instant aNow, TargetKey aTarget) const
{
  TargetSums sums = OwnSums(aNow, aTarget);
  for (const auto& [address, home] : mHomes) {
    if (const auto it = home.mTargets.find(aTarget);
        it != home.mTargets.end()) {
      sums.Add(CurrentSums(aNow - it->second.mReceivedAt, it->second.mSums));
    }
  }
  return sums;
}

template<class Sums>
std::vector<PackedSums> TargetObservations::Take(Instant aNow,
                                                 std::size_t aMost,
                                                 TakenSums& aTaken, Sums aSums)
{
  struct Candidate
  {
    double mGain = 0;
    PackedSums mSums;
  };
  std::vector<Candidate> candidates;
  for (const auto& [key, taken] : aTaken) {
    if (taken.mHasNew) {
      const PackedSums sums = PackedSums::Pack(key, aSums(key));
      const double age =
        std::min(std::chrono::duration<double>(aNow - taken.mAt) /
                   std::chrono::duration<double>(kFullWeightAge),
                 1e3);
      candidates.push_back({ ChangeOf(taken.mSums, sums) + age, sums });
    }
  }
  if (candidates.size() > aMost) {
    std::ranges::nth_element(
      candidates, candidates.begin() + static_cast<std::ptrdiff_t>(aMost),
      std::ranges::greater{}, &Candidate::mGain);
    candidates.resize(aMost);
  }
  std::vector<PackedSums> sums;
  for (const Candidate& candidate : candidates) {
    sums.push_back(candidate.mSums);
    aTaken[candidate.mSums.mTarget] = { false, aNow, candidate.mSums };
  }
  return sums;
}

std::vector<PackedSums> TargetObservations::TakeOwn(Instant aNow,
                                                    std::size_t aMost)
{
  return Take(aNow, aMost, mTakenOwn,
              [&](TargetKey aKey) { return OwnSums(aNow, aKey); });
}

std::vector<PackedSums> TargetObservations::TakeTotal(Instant aNow,
                                                      std::size_t aMost)
{
  return Take(aNow, aMost, mTakenTotal,
              [&](TargetKey aKey) { return TotalSums(aNow, aKey); });
}

std::vector<std::pair<Endpoint, std::uint64_t>> TargetObservations::Reporters()
  const
{
  std::vector<std::pair<Endpoint, std::uint64_t>> reporters;
  for (const auto& [address, reporter] : mReporters) {
    reporters.emplace_back(address, reporter.mSequence);
  }
  return reporters;
}

} // namespace carobtide
