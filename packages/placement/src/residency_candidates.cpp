// What a copy of a model is worth, and where it costs least.
#include "carobtide/placement/residency_planner.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace carobtide {

namespace {

/** Minimum time that a model stays on an engine before it may be unloaded. */
constexpr Duration kMinResidency = std::chrono::seconds(4);
/** Time over which a copy makes up for the time that its load takes. */
constexpr Duration kPayback = std::chrono::seconds(15);
/**
 * Slots by which the value of a model that is requested but not held grows, so
 * that each one is served in turn however rarely it is requested.
 */
constexpr double kAgingPerSecond = 0.1;
constexpr double kMaxAging = 3.0;
/** Share of its slots up to which an engine serves without queues. */
constexpr double kUsableShare = 0.9;
/** Gain, as a share of the load difference, of balance below that load. */
constexpr double kBalanceGain = 0.05;
/** Ratio by which a copy's gain must exceed the loss of the evicted one. */
constexpr double kEvictionMargin = 1.5;
/**
 * Cost per occupied slot of an evicted model. Its requests must end before the
 * memory is free, and streams run for seconds, longer than most loads.
 */
constexpr double kRunningSlotEvictionCost = 1.5;
/**
 * Slots that a place on an engine of twice the mean speed is worth to models
 * with much demand. Models that need about one slot or less are placed on slow
 * engines, others on fast ones.
 */
constexpr double kSpeedWorth = 1.0;
/**
 * Bound, in slots, of what the speed of an engine counts in its rank, up or
 * down. Unbounded, it outweighed the eviction of models in use although another
 * engine had free memory.
 */
constexpr double kMaxPreference = 2.0;

} // namespace

double ResidencyPlanner::LeastHolderLevel(const ServiceSnapshot& aSnapshot,
                                          const ModelName& aModel) const
{
  double least = std::numeric_limits<double>::max();
  if (const auto it = aSnapshot.mHolders.find(aModel);
      it != aSnapshot.mHolders.end()) {
    for (const EngineTracker* engine : it->second) {
      least = std::min(least, aSnapshot.LevelOf(engine));
    }
  }
  return least;
}

double ResidencyPlanner::FirstCopyValue(const Service& aService,
                                        const CatalogModel& aModel) const
{
  const ServiceName& service = aService.mName;
  const double demand = (mDemand.SlotsNeeded(service, aModel.mName) +
                         mDemand.AverageSlotsNeeded(service, aModel.mName)) /
                        2;
  const auto wakeups = mWakeups.find(service);
  return wakeups == mWakeups.end()
           ? demand
           : std::max(demand,
                      wakeups->second.LostSlots(aModel.mDiskLoad + kDrainTime));
}

double ResidencyPlanner::Aging(Instant aNow, const ModelKey& aModel)
{
  const Instant since = mMissingSince.try_emplace(aModel, aNow).first->second;
  return std::min(kMaxAging,
                  kAgingPerSecond *
                    std::chrono::duration<double>(aNow - since).count());
}

MissingModels ResidencyPlanner::Missing(Instant aNow) const
{
  MissingModels missing;
  missing.mCount = mMissingSince.size();
  for (const auto& [model, since] : mMissingSince) {
    missing.mLongest = std::max(missing.mLongest, aNow - since);
  }
  return missing;
}

double ResidencyPlanner::CrowdedGain(const ServiceSnapshot& aSnapshot,
                                     const ModelName& aModel) const
{
  const double least = LeastHolderLevel(aSnapshot, aModel);
  const auto holders = aSnapshot.mHolders.find(aModel);
  const double speed =
    holders == aSnapshot.mHolders.end()
      ? 0.0
      : std::accumulate(holders->second.begin(), holders->second.end(), 0.0,
                        [&](double aSum, const EngineTracker* aEngine) {
                          return aSum + aSnapshot.SpeedOf(aEngine);
                        });
  const double overload =
    std::max(0.0, least - kUsableShare * aSnapshot.mSlots) * speed;
  return overload + kBalanceGain * std::max(0.0, least - aSnapshot.mMeanLoad);
}

double ResidencyPlanner::EvictionLoss(const ServiceSnapshot& aSnapshot,
                                      const CatalogModel& aModel,
                                      const EngineTracker& aEngine) const
{
  const auto holders = aSnapshot.mHolders.find(aModel.mName);
  if (holders == aSnapshot.mHolders.end() || holders->second.size() <= 1) {
    return aSnapshot.mFirstCopyValue.at(aModel.mName);
  }
  double room = 0;
  for (const EngineTracker* engine : holders->second) {
    if (engine != &aEngine) {
      room += std::max(0.0, kUsableShare * aSnapshot.mSlots *
                                aSnapshot.SpeedOf(engine) -
                              aSnapshot.mLoad.at(engine));
    }
  }
  const double share = aSnapshot.ShareOf(aModel.mName, &aEngine);
  return std::max(0.0, share - room) + kBalanceGain * share;
}

std::optional<ResidencyPlanner::LoadCandidate> ResidencyPlanner::EvaluateEngine(
  Instant aNow, const ServiceSnapshot& aSnapshot, EngineTracker& aEngine,
  const CatalogModel& aModel, double aGain) const
{
  LoadCandidate candidate;
  candidate.mEngine = &aEngine;
  candidate.mCost = aSnapshot.LevelOf(&aEngine);
  // Until the load ends the demand that the copy would serve is lost.
  const double awaited =
    std::min(aSnapshot.NeedOf(aModel.mName), kUsableShare * aSnapshot.mSlots);
  candidate.mCost +=
    awaited * (std::chrono::duration<double>(LoadTime(aEngine, aModel)) /
               std::chrono::duration<double>(kPayback));
  const double speed = aSnapshot.SpeedOf(&aEngine);
  const double share =
    std::min(aSnapshot.NeedOf(aModel.mName) /
               static_cast<double>(aSnapshot.CopiesOf(aModel.mName) + 1),
             kUsableShare * aSnapshot.mSlots);
  const double preference =
    std::clamp(share * (1 / speed - 1) + kSpeedWorth * (speed - 1),
               -kMaxPreference, kMaxPreference);
  candidate.mRank = candidate.mCost + preference;
  const double missingMegabytes =
    aModel.mMegabytes - aSnapshot.mFreeMegabytes.at(&aEngine);
  if (missingMegabytes <= 0) {
    return candidate;
  }
  double lowestEvictionCost = std::numeric_limits<double>::max();
  for (const CatalogModel* held : aSnapshot.mServing.at(&aEngine)) {
    const bool isPastMinResidency =
      aNow - aEngine.HeldSince(held->mName) > kMinResidency;
    if (held->mMegabytes < missingMegabytes || !isPastMinResidency) {
      continue;
    }
    const double loss = EvictionLoss(aSnapshot, *held, aEngine);
    if (aGain <= kEvictionMargin * loss) {
      continue;
    }
    // Requests running on the victim must end before its memory is free.
    const double evictionCost =
      loss +
      kRunningSlotEvictionCost * aSnapshot.ShareOf(held->mName, &aEngine);
    if (evictionCost < lowestEvictionCost) {
      lowestEvictionCost = evictionCost;
      candidate.mVictim = held->mName;
    }
  }
  if (candidate.mVictim.IsEmpty()) {
    return std::nullopt;
  }
  candidate.mCost += lowestEvictionCost;
  candidate.mRank = candidate.mCost + preference;
  return candidate;
}

std::optional<ResidencyPlanner::LoadCandidate>
ResidencyPlanner::FindLoadCandidate(Instant aNow,
                                    const ServiceSnapshot& aSnapshot,
                                    const CatalogModel& aModel, double aGain,
                                    const SoftwareVersion* aSoftware,
                                    double aCostBound)
{
  const bool mayUseStore = mStoreBudgets[aSnapshot.mService->mName].HasToken();
  std::optional<LoadCandidate> best;
  for (EngineTracker* engine : aSnapshot.mEngines) {
    const bool isEligible =
      engine->IsFree(aNow) && !engine->Holds(aModel.mName) &&
      (aSoftware == nullptr ||
       engine->LastHeartbeat().mSoftware == *aSoftware) &&
      !mPendingLoads.contains(engine->LastHeartbeat().mTarget) &&
      (mayUseStore || !IsStoreLoad(*engine, aModel));
    if (!isEligible) {
      continue;
    }
    auto candidate = EvaluateEngine(aNow, aSnapshot, *engine, aModel, aGain);
    if (candidate && candidate->mCost < aCostBound &&
        (!best || candidate->mRank < best->mRank)) {
      best = candidate;
    }
  }
  return best;
}

} // namespace carobtide
