#include "carobtide/fleet/home_selector.hpp"

#include <algorithm>
#include <utility>

namespace carobtide {

namespace {

/** A home sends totals several times a second; longer silence ends its role. */
constexpr Duration kHomeTimeout = std::chrono::milliseconds(800);
/** A watch is answered within a second. */
constexpr Duration kCandidateTimeout = std::chrono::milliseconds(1600);
constexpr Duration kExclusion = std::chrono::seconds(3);

} // namespace

HomeSelector::HomeSelector(Endpoint aSelf, FailureDomain aFailureDomain)
  : mSelf(std::move(aSelf))
  , mFailureDomain(std::move(aFailureDomain))
{
}

void HomeSelector::OnReply(Instant aNow, const Endpoint& aCore,
                           const FailureDomain& aFailureDomain)
{
  Core& core = mCores[aCore];
  core.mFailureDomain = aFailureDomain;
  core.mHeardAt = aNow;
}

void HomeSelector::OnTotal(Instant aNow, const Endpoint& aCore)
{
  if (const auto it = mCores.find(aCore); it != mCores.end()) {
    it->second.mHeardAt = aNow;
  }
}

void HomeSelector::Forget(const Endpoint& aCore)
{
  mCores.erase(aCore);
}

HomeSelector::Rank HomeSelector::RankOf(Instant aNow, const Endpoint& aAddress,
                                        const Core& aCore) const
{
  return { aNow < aCore.mExcludedUntil, aCore.mFailureDomain != mFailureDomain,
           ComputeChecksum(mSelf.ToString() + aAddress.ToString()) };
}

bool HomeSelector::IsCandidate(Instant aNow, const Core& aCore)
{
  const bool isExcluded = aNow < aCore.mExcludedUntil;
  return aNow - aCore.mHeardAt < kCandidateTimeout &&
         (!isExcluded || aCore.mHeardAt > aCore.mExcludedUntil - kExclusion);
}

std::optional<Endpoint> HomeSelector::SelectBackup(Instant aNow) const
{
  std::optional<Endpoint> best;
  for (const auto& [address, core] : mCores) {
    if (address != mHome && IsCandidate(aNow, core) &&
        (!best ||
         RankOf(aNow, address, core) < RankOf(aNow, *best, mCores.at(*best)))) {
      best = address;
    }
  }
  return best;
}

std::optional<Endpoint> HomeSelector::Select(Instant aNow)
{
  if (mHome) {
    const auto it = mCores.find(*mHome);
    const Instant heardAt = it == mCores.end()
                              ? Instant()
                              : std::max(it->second.mHeardAt, mHomeSince);
    if (it == mCores.end()) {
      mHome.reset();
    } else if (aNow - heardAt >= kHomeTimeout) {
      it->second.mExcludedUntil = aNow + kExclusion;
      mHome.reset();
    }
  }
  std::optional<Endpoint> best;
  for (const auto& [address, core] : mCores) {
    const bool isEligible = address == mHome || IsCandidate(aNow, core);
    if (isEligible && (!best || RankOf(aNow, address, core) <
                                  RankOf(aNow, *best, mCores.at(*best)))) {
      best = address;
    }
  }
  if (best != mHome) {
    mHomeSince = aNow;
  }
  mHome = best;
  return mHome;
}

} // namespace carobtide
