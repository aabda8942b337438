#include "engine_rates.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace carobtide {

namespace {

/** Least time between two derivations. */
constexpr Duration kMinInterval = std::chrono::milliseconds(200);
/**
 * Time between two derivations for each target. One takes 34 ms for 7,000
 * targets and 22 homes, and control work is limited to 2.8 % of a core.
 */
constexpr Duration kIntervalPerTarget = std::chrono::microseconds(350);
/** Longest interval: speeds have to be repeated before they expire. */
constexpr Duration kMaxInterval = std::chrono::milliseconds(2500);
static_assert(kMaxInterval < EngineSpeeds::kLifetime);

} // namespace

bool EngineRates::IsDue(Instant aNow) const
{
  const Duration interval =
    std::clamp(kIntervalPerTarget * static_cast<Duration::rep>(mTargets),
               kMinInterval, kMaxInterval);
  return aNow - mAt >= interval;
}

void EngineRates::Refresh(Instant aNow, const std::vector<TargetKey>& aKeys,
                          const TargetObservations& aObservations,
                          ServiceRates& aService)
{
  TargetRates& rates = aService.mRates;
  TargetRatesFacts facts;
  facts.mUsesSpeeds = true;
  facts.mTargets = aKeys.size();
  rates.Refresh(
    aNow, facts, aKeys,
    [&](TargetKey aKey) { return aObservations.TotalSums(aNow, aKey); },
    mRandom);
  auto& kept = aService.mKept;
  if (rates.IsUneven()) {
    aService.mSpreadAt = aNow;
    // TargetRates states exactly 1 for targets that it does not know. Its
    // speeds have a geometric mean of 1.
    std::vector<TargetKey> known;
    std::ranges::copy_if(aKeys, std::back_inserter(known), [&](TargetKey aKey) {
      return rates.Of(aKey).mSpeed != 1;
    });
    const double total = std::accumulate(known.begin(), known.end(), 0.0,
                                         [&](double aSum, TargetKey aKey) {
                                           return aSum + rates.Of(aKey).mSpeed;
                                         });
    for (const TargetKey key : known) {
      kept[key] = {
        rates.Of(key).mSpeed * static_cast<double>(known.size()) / total, aNow
      };
    }
  } else if (aNow - aService.mSpreadAt > kSpreadRetention) {
    kept.clear();
  }
  std::erase_if(kept, [&](const auto& aItem) {
    return aNow - aItem.second.mAt > kProcessRetention;
  });
}

std::vector<EngineSpeed> EngineRates::Derive(
  Instant aNow, const std::vector<const FleetRecord*>& aTargets,
  const TargetObservations& aObservations)
{
  mAt = aNow;
  mTargets = aTargets.size();
  std::map<ServiceName, std::vector<const Heartbeat*>> services;
  for (const FleetRecord* record : aTargets) {
    const Heartbeat& last = record->mLast;
    if (last.mEngine && !record->mSilent && last.mPhase != TargetPhase::Gone) {
      services[last.mService].push_back(&last);
    }
  }
  std::erase_if(mServices, [&](const auto& aItem) {
    return !services.contains(aItem.first);
  });
  std::vector<EngineSpeed> speeds;
  for (const auto& [name, engines] : services) {
    std::vector<TargetKey> keys;
    std::ranges::transform(
      engines, std::back_inserter(keys), [](const Heartbeat* aEngine) {
        return KeyOf(aEngine->mTarget, aEngine->mIncarnation);
      });
    ServiceRates& service = mServices[name];
    Refresh(aNow, keys, aObservations, service);
    if (service.mRates.Known() == 0) {
      continue;
    }
    for (std::size_t n = 0; n < engines.size(); ++n) {
      if (const auto it = service.mKept.find(keys[n]);
          it != service.mKept.end()) {
        speeds.push_back(
          { engines[n]->mTarget, engines[n]->mIncarnation, it->second.mSpeed });
      }
    }
  }
  return speeds;
}

} // namespace carobtide
