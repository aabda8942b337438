#include "carobtide/placement/engine_speeds.hpp"

#include <algorithm>
#include <cmath>

namespace carobtide {

namespace {

/**
 * Distance from the current step, in steps, at which a speed takes another
 * one: half a step of rounding and half a step of hysteresis.
 */
constexpr double kChangeDistance = 1.0;
/**
 * Bound of the steps, a factor of 9 up or down: a slower engine is left to the
 * edges, and its load stays finite.
 */
constexpr int kMaxPower = 12;

} // namespace

void EngineSpeeds::OnSpeeds(Instant aNow,
                            const std::vector<EngineSpeed>& aSpeeds)
{
  Expire(aNow);
  for (const EngineSpeed& speed : aSpeeds) {
    if (!std::isfinite(speed.mSpeed) || speed.mSpeed <= 0) {
      continue;
    }
    // A process that was unknown counted as of step 0, so that hysteresis
    // applies to its first speed as well.
    Entry& entry = mSpeeds[speed.mTarget];
    if (entry.mIncarnation != speed.mIncarnation) {
      entry = { speed.mIncarnation, 0, 1, aNow };
    }
    entry.mAt = aNow;
    const double steps = std::log(speed.mSpeed) / std::log(kStep);
    if (std::abs(steps - entry.mPower) >= kChangeDistance) {
      entry.mPower = static_cast<int>(
        std::lround(std::clamp<double>(steps, -kMaxPower, kMaxPower)));
      entry.mSpeed = std::pow(kStep, entry.mPower);
    }
  }
}

void EngineSpeeds::Expire(Instant aNow)
{
  std::erase_if(mSpeeds, [&](const auto& aItem) {
    return aNow - aItem.second.mAt >= kLifetime;
  });
}

double EngineSpeeds::Of(const TargetName& aTarget,
                        Incarnation aIncarnation) const
{
  const auto it = mSpeeds.find(aTarget);
  return it == mSpeeds.end() || it->second.mIncarnation != aIncarnation
           ? 1.0
           : it->second.mSpeed;
}

} // namespace carobtide
