#include "carobtide/routing/target_selector.hpp"

#include <algorithm>
#include <cmath>

namespace carobtide {

namespace {

/** Room for the candidates of the local and the remote list. */
constexpr std::size_t kCandidateCapacity = 2 * TargetSelector::kScanWindow;

SlotUse UseOf(const TargetEntry& aTarget)
{
  SlotUse use;
  use.mSlots = aTarget.mSlots;
  use.mOwn = aTarget.mOwnInFlight;
  use.mOwnLong = aTarget.mOwnLong;
  use.mOthers = aTarget.mPeerInFlight;
  use.mOthersLong = aTarget.mPeerLong;
  return use;
}

/** Slots of a slow target, divided by its slowness; at least one. */
std::uint32_t EffectiveSlots(const Candidate& aCandidate)
{
  const double slots = std::floor(aCandidate.mSlots / aCandidate.mSlowness);
  return std::max(1U, static_cast<std::uint32_t>(slots));
}

/**
 * The class whose slot limits apply to a request. Long work that has waited for
 * long is no longer limited to the share of long work: otherwise daemons that
 * already run long work could starve that of the others.
 */
WorkClass SlotClass(const SelectionRequest& aRequest)
{
  const bool isAged = IsLong(aRequest.mClass) &&
                      aRequest.mWaitedRatio >= TargetSelector::kAgedWaitRatio;
  return isAged ? WorkClass::ShortStandard : aRequest.mClass;
}

bool Contains(std::span<const TargetIndex> aList, TargetIndex aIndex)
{
  return std::ranges::find(aList, aIndex) != aList.end();
}

} // namespace

TargetSelector::TargetSelector(std::string_view aPolicy, SlotRules aRules,
                               std::uint64_t aSeed)
  : mPolicy(MakeTargetPolicy(aPolicy))
  , mRules(aRules)
  , mRandom(aSeed)
{
  if (mPolicy == nullptr) {
    mPolicy = MakeTargetPolicy("two-choices");
  }
  mCandidates.reserve(kCandidateCapacity);
}

TargetIndex TargetSelector::Choose(Instant aNow,
                                   const SelectionRequest& aRequest,
                                   TargetTable& aTargets,
                                   const PrefixCacheIndex& aPrefixes)
{
  const RouteTargets lists = aTargets.Targets(aRequest.mRoute);
  const PrefixMatches prefixes = aPrefixes.Find(aNow, aRequest.mPrefixHashes);
  mCandidates.clear();
  bool hasHealthy = Collect(aNow, aRequest, lists.mLocal, aTargets, prefixes);
  hasHealthy |= Collect(aNow, aRequest, lists.mRemote, aTargets, prefixes);
  if (mCandidates.empty()) {
    hasHealthy |= Collect(aNow, aRequest, lists.mFallback, aTargets, prefixes);
  }
  if (hasHealthy) {
    DropSlow(aRequest);
  }
  if (mCandidates.empty()) {
    return kNoTarget;
  }
  return mCandidates[mPolicy->Choose(mCandidates, mRandom)].mIndex;
}

bool TargetSelector::Collect(Instant aNow, const SelectionRequest& aRequest,
                             std::span<const TargetIndex> aList,
                             const TargetTable& aTargets,
                             const PrefixMatches& aPrefixes)
{
  const std::size_t count = aList.size();
  const std::size_t first = mCandidates.size();
  const std::size_t start = count > kScanWindow ? mRandom() % count : 0;
  bool hasHealthy = false;
  for (std::size_t it = 0; it < count; ++it) {
    const bool isWindowDone = it >= kScanWindow && mCandidates.size() > first;
    if (isWindowDone && !aRequest.mIgnoreSlots) {
      break;
    }
    const TargetIndex index = aList[(start + it) % count];
    const TargetEntry& target = aTargets.At(index);
    const double slowness = target.Slowness(aNow);
    hasHealthy |= slowness < kSlowThreshold && !target.mExclusive;
    if (IsUsable(aNow, aRequest, target) && !Contains(aRequest.mTried, index)) {
      Add(aNow, index, target, slowness, aPrefixes.ShareOf(index));
    }
  }
  return hasHealthy;
}

void TargetSelector::Add(Instant aNow, TargetIndex aIndex,
                         const TargetEntry& aTarget, double aSlowness,
                         double aPrefixHit)
{
  Candidate& candidate = mCandidates.emplace_back();
  candidate.mIndex = aIndex;
  candidate.mOwnInFlight = aTarget.mOwnInFlight;
  candidate.mPeerInFlight = aTarget.mPeerInFlight;
  candidate.mReported = aTarget.mReported;
  candidate.mReportAge = aNow - aTarget.mReportedAt;
  candidate.mSlots = aTarget.mSlots;
  candidate.mSlowness = aSlowness;
  candidate.mPrefixHit = aPrefixHit;
  candidate.mSameFailureDomain = aTarget.mLocal;
}

bool TargetSelector::IsUsable(Instant aNow, const SelectionRequest& aRequest,
                              const TargetEntry& aTarget) const
{
  if (!aTarget.TakesWork() || aTarget.mExclusive ||
      !aTarget.IsReachable(aNow)) {
    return false;
  }
  return aRequest.mIgnoreSlots ||
         mRules.HasRoom(SlotClass(aRequest), UseOf(aTarget));
}

void TargetSelector::DropSlow(const SelectionRequest& aRequest)
{
  if (aRequest.mIgnoreSlots) {
    return;
  }
  std::erase_if(mCandidates, [&](const Candidate& aCandidate) {
    if (aCandidate.mSlowness < kSlowThreshold) {
      return false;
    }
    const std::uint32_t load =
      aCandidate.mOwnInFlight + aCandidate.mPeerInFlight;
    const bool isBatch = aRequest.mClass == WorkClass::Batch;
    return isBatch ? load >= EffectiveSlots(aCandidate)
                   : aCandidate.mSlowness > aRequest.mWaitedRatio;
  });
}

TargetIndex TargetSelector::FindProbe(Instant aNow,
                                      const SelectionRequest& aRequest,
                                      TargetTable& aTargets) const
{
  const RouteTargets lists = aTargets.Targets(aRequest.mRoute);
  const Duration interval = kProbeInterval * std::max(1U, mRules.mDaemons);
  for (const auto& list : { lists.mLocal, lists.mRemote }) {
    const std::size_t count = std::min(list.size(), kScanWindow);
    const auto it =
      std::ranges::find_if(list.first(count), [&](TargetIndex aIndex) {
        const TargetEntry& target = aTargets.At(aIndex);
        return target.Slowness(aNow) >= kSlowThreshold &&
               target.mProbedAt + interval <= aNow &&
               target.mOwnInFlight == 0 && !target.mExclusive &&
               target.IsReachable(aNow) && !Contains(aRequest.mTried, aIndex);
      });
    if (it != list.begin() + static_cast<std::ptrdiff_t>(count)) {
      return *it;
    }
  }
  return kNoTarget;
}

} // namespace carobtide
