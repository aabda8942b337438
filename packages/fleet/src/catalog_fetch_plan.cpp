#include "carobtide/fleet/catalog_fetch_plan.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

namespace carobtide {

namespace {

/** Without progress for so long, times the fetches under way, one more. */
constexpr Duration kPatience = std::chrono::milliseconds(500);
/** Two silent daemons and one that answers. */
constexpr std::size_t kMaxUnderWay = 3;
/** A daemon that failed is asked again after this, doubled each time. */
constexpr Duration kFirstPause = std::chrono::milliseconds(100);
constexpr unsigned kMaxDoublings = 3;

} // namespace

const CatalogFetchPlan::Failures& CatalogFetchPlan::FailuresOf(
  const Endpoint& aCore) const
{
  static const Failures kNone;
  const auto it = mFailures.find(aCore);
  return it == mFailures.end() ? kNone : it->second;
}

bool CatalogFetchPlan::MayAsk(Instant aNow, const Endpoint& aCore) const
{
  const Failures& failures = FailuresOf(aCore);
  if (mProgress.contains(aCore)) {
    return false;
  }
  const unsigned doublings =
    std::min(std::max(failures.mInARow, 1U) - 1, kMaxDoublings);
  return failures.mInARow == 0 ||
         aNow - failures.mLastAt >= kFirstPause * (1U << doublings);
}

std::optional<Endpoint> CatalogFetchPlan::Next(Instant aNow,
                                               const Holders& aHolders) const
{
  if (mProgress.size() >= kMaxUnderWay) {
    return std::nullopt;
  }
  if (!mProgress.empty()) {
    const Instant latest =
      std::ranges::max_element(mProgress, {}, [](const auto& aItem) {
        return aItem.second;
      })->second;
    if (aNow - latest <
        kPatience * static_cast<Duration::rep>(mProgress.size())) {
      return std::nullopt;
    }
  }
  // Few failures first, then the highest version.
  std::optional<Endpoint> best;
  std::tuple<unsigned, std::uint64_t> bestRank;
  for (const auto& [core, version] : aHolders) {
    const std::tuple rank{ FailuresOf(core).mInARow, ~version };
    if (MayAsk(aNow, core) && (!best || rank < bestRank)) {
      best = core;
      bestRank = rank;
    }
  }
  return best;
}

void CatalogFetchPlan::OnBegun(Instant aNow, const Endpoint& aCore)
{
  mProgress[aCore] = aNow;
  ++mBegun;
}

void CatalogFetchPlan::OnProgress(Instant aNow, const Endpoint& aCore)
{
  if (const auto it = mProgress.find(aCore); it != mProgress.end()) {
    it->second = aNow;
  }
}

void CatalogFetchPlan::OnEnded(Instant aNow, const Endpoint& aCore,
                               bool aIsTaken)
{
  mProgress.erase(aCore);
  if (aIsTaken) {
    mFailures.erase(aCore);
    return;
  }
  Failures& failures = mFailures[aCore];
  ++failures.mInARow;
  ++mFailed;
  failures.mLastAt = aNow;
}

} // namespace carobtide
