#include "carobtide/fleet/catalog_progress.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <vector>

namespace carobtide {

namespace {

/** In a storm of changes those in the middle are not told apart. */
constexpr std::size_t kMaxAnnouncements = 64;

} // namespace

void CatalogProgress::Confirm(Core& aCore) const
{
  if (aCore.mVersion <= mInForce) {
    aCore.mConfirmedAt = aCore.mAskedAt;
  }
}

bool CatalogProgress::OnAnswer(Instant aNow, Instant aSentAt,
                               const Endpoint& aCore, std::uint64_t aVersion)
{
  const bool isNews = aVersion > Known();
  Core& core = mCores[aCore];
  core.mVersion = aVersion;
  core.mAskedAt = aSentAt;
  Confirm(core);
  if (isNews) {
    if (mAnnounced.size() >= kMaxAnnouncements) {
      mAnnounced.erase(std::prev(mAnnounced.end()));
    }
    mAnnounced.emplace(aVersion, CatalogAnnouncement{ aVersion, aCore, aNow });
  }
  return isNews;
}

void CatalogProgress::OnInForce(std::uint64_t aVersion)
{
  mInForce = aVersion;
  mAnnounced.erase(mAnnounced.begin(), mAnnounced.upper_bound(aVersion));
  std::ranges::for_each(mCores, [this](auto& aItem) { Confirm(aItem.second); });
}

void CatalogProgress::Forget(const Endpoint& aCore)
{
  mCores.erase(aCore);
}

std::uint64_t CatalogProgress::Known() const
{
  return mAnnounced.empty() ? mInForce : mAnnounced.rbegin()->first;
}

std::optional<CatalogAnnouncement> CatalogProgress::AnnouncementOf(
  std::uint64_t aVersion) const
{
  // One that was named at once with later ones counts as those.
  const auto it = mAnnounced.lower_bound(aVersion);
  return it == mAnnounced.end() ? std::nullopt : std::optional(it->second);
}

std::map<Endpoint, std::uint64_t> CatalogProgress::HoldersOfNewer() const
{
  std::map<Endpoint, std::uint64_t> holders;
  for (const auto& [address, core] : mCores) {
    if (core.mVersion > mInForce) {
      holders.emplace(address, core.mVersion);
    }
  }
  return holders;
}

Duration CatalogProgress::Lag(Instant aNow) const
{
  return mAnnounced.empty() ? Duration::zero()
                            : aNow - mAnnounced.begin()->second.mAt;
}

std::optional<Instant> CatalogProgress::ConfirmedAt(
  const std::set<Endpoint>& aMembers) const
{
  std::vector<Instant> times;
  for (const Endpoint& member : aMembers) {
    const auto it = mCores.find(member);
    if (it != mCores.end() && it->second.mConfirmedAt) {
      times.push_back(*it->second.mConfirmedAt);
    }
  }
  const std::size_t majority = aMembers.size() / 2 + 1;
  if (times.size() < majority) {
    return std::nullopt;
  }
  std::ranges::sort(times, std::greater{});
  return times[majority - 1];
}

} // namespace carobtide
