#include "carobtide/routing/capacity_share.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace carobtide {

namespace {

constexpr double kGrowth = 1.25;
constexpr double kDecline = 0.8;
/** Least part, of an equal share among all daemons. */
constexpr double kMinFactor = 0.25;

} // namespace

double TakenPart::Current(std::uint32_t aDaemons) const
{
  return std::min(mFactor / std::max(aDaemons, 1U), 1.0);
}

void TakenPart::OnTotal(double aFree, double aExcess, std::uint32_t aDaemons)
{
  mFactor = std::clamp(mFactor * (aFree > aExcess ? kGrowth : kDecline),
                       kMinFactor, std::max(aDaemons, 1U) * 1.0);
}

std::uint32_t CapacityShare::Available(const KnownLoad& aLoad, double aLimit,
                                       double aPart, RandomEngine& aRandom)
{
  const double capacity = aLimit * aLoad.mSlots;
  if (!aLoad.mIsKnown) {
    const auto equal = std::max(
      static_cast<std::uint32_t>(capacity / std::max(aLoad.mDaemons, 1U)), 1U);
    return equal - std::min(equal, aLoad.mOwn);
  }
  // A request is sent while the load before it is below the limit.
  const double free =
    std::max(std::ceil(capacity - aLoad.mOwn - aLoad.mOthers), 0.0);
  if (aLoad.mReportInTotal > mShareReport) {
    mShareReport = aLoad.mReport;
    mShare = static_cast<std::uint32_t>(
      free * aPart + std::uniform_real_distribution<>(0, 1)(aRandom));
  }
  return std::min(mShare, static_cast<std::uint32_t>(free));
}

} // namespace carobtide
