#include "carobtide/placement/wakeup_risk.hpp"

#include <algorithm>
#include <chrono>

namespace carobtide {

namespace {

/** Models that need fewer slots count as idle. */
constexpr double kIdleSlots = 0.1;
/** A model that pauses for less than this does not become idle. */
constexpr Duration kMinIdleTime = std::chrono::seconds(2);
/** The need after a wake-up is its peak within this time. */
constexpr Duration kObservation = std::chrono::seconds(2);
/** Wake-ups do not count before: at first every model wakes up. */
constexpr Duration kWarmUp = std::chrono::seconds(4);
/** What is assumed before wake-ups are seen: one in 20 s, of two slots. */
constexpr double kPriorIdleSeconds = 40.0;
constexpr double kPriorWakeups = 2.0;
constexpr double kPriorSlots = 2.0;

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

bool WakeupRisk::IsWarm(Instant aNow) const
{
  return mFirstDemand != Instant() && aNow - mFirstDemand >= kWarmUp;
}

void WakeupRisk::ObserveWakeup(Instant aNow, Model& aModel, double aSlots)
{
  if (aModel.mWokeAt == Instant()) {
    return;
  }
  aModel.mPeak = std::max(aModel.mPeak, aSlots);
  if (aNow - aModel.mWokeAt >= kObservation) {
    mSlotsAtWakeups += aModel.mPeak;
    mObservedWakeups += 1;
    aModel.mWokeAt = Instant();
  }
}

void WakeupRisk::OnSample(Instant aNow, const ModelName& aModel, double aSlots)
{
  if (aSlots >= kIdleSlots && mFirstDemand == Instant()) {
    mFirstDemand = aNow;
  }
  const auto [it, isNew] = mModels.try_emplace(aModel);
  Model& model = it->second;
  const Duration sinceLast = isNew ? Duration::zero() : aNow - model.mSampledAt;
  model.mSampledAt = aNow;
  ObserveWakeup(aNow, model, aSlots);
  const bool isLow = aSlots < kIdleSlots;
  if (isLow && !model.mIsIdle) {
    model.mIsIdle = true;
    model.mIdleSince = aNow;
  }
  const bool wasIdle = model.mIsIdle && aNow - model.mIdleSince >= kMinIdleTime;
  if (wasIdle && IsWarm(aNow)) {
    mIdleSeconds += Seconds(sinceLast);
    if (!isLow) {
      mWakeups += 1;
      model.mWokeAt = aNow;
      model.mPeak = aSlots;
    }
  }
  if (!isLow) {
    model.mIsIdle = false;
  }
}

double WakeupRisk::LostSlots(Duration aTimeToServe) const
{
  const double rate =
    (mWakeups + kPriorWakeups) / (mIdleSeconds + kPriorIdleSeconds);
  const double slots = (mSlotsAtWakeups + kPriorSlots) / (mObservedWakeups + 1);
  return rate * slots * Seconds(aTimeToServe);
}

} // namespace carobtide
