#pragma once

/**
 * @file
 * What it is worth to hold a model that nobody requests at the moment.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <map>

namespace carobtide {

/**
 * Estimates the demand that is lost, on average, for each idle model that no
 * engine holds: the rate at which idle models are requested again, times the
 * slots that they then need, times the time until a copy serves.
 *
 * Answers: two kinds of fleet for which one fixed value would be wrong. With
 * few models any of them may be requested the next second, and a model without
 * a copy costs many requests; with hundreds of models most stay idle, and their
 * copies are worth less than the memory they use.
 *
 * Thread safety: none; the caller must synchronize access.
 */
class WakeupRisk
{
public:
  /** Records the slots that a model needs now. Call at a fixed interval. */
  void OnSample(Instant aNow, const ModelName& aModel, double aSlots);

  /** Slots lost on average if an idle model takes this long to serve again. */
  double LostSlots(Duration aTimeToServe) const;

  /** True once there has been demand for long enough to rely on it. */
  bool IsWarm(Instant aNow) const;

private:
  struct Model
  {
    Instant mSampledAt;
    Instant mIdleSince;
    bool mIsIdle = true;
    /** Set while the need after a wake-up is being observed. */
    Instant mWokeAt;
    double mPeak = 0;
  };

  void ObserveWakeup(Instant aNow, Model& aModel, double aSlots);

  std::map<ModelName, Model> mModels;
  Instant mFirstDemand;
  double mIdleSeconds = 0;
  double mWakeups = 0;
  double mSlotsAtWakeups = 0;
  double mObservedWakeups = 0;
};

} // namespace carobtide
