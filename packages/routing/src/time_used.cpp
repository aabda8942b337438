#include "carobtide/routing/time_used.hpp"

namespace carobtide {

namespace {

/** Least and mean share of the timeout that first attempts state. */
constexpr double kLeastFirstShare = 0.85;
constexpr double kMeanFirstShare = 0.925;

} // namespace

Duration EstimateTimeUsed(Duration aStated, Duration aTimeout)
{
  const auto timeout = static_cast<double>(aTimeout.count());
  const auto stated = static_cast<double>(aStated.count());
  return stated >= kLeastFirstShare * timeout
           ? Duration::zero()
           : Duration(
               static_cast<Duration::rep>(kMeanFirstShare * timeout - stated));
}

} // namespace carobtide
