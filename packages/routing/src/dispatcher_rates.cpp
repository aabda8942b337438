// Speeds and failures of targets as all daemons observe them, and what they
// change in the choice of a target.
#include "carobtide/routing/dispatcher.hpp"

#include <algorithm>
#include <cmath>

namespace carobtide {

namespace {

/** Penalty for queued prompts whose prefill takes the whole objective. */
constexpr double kBacklogPenalty = 1.0;
/** Prompts below this size say more about the network than the engine. */
constexpr std::uint32_t kMinSampleTokens = 128;
/** Share of the request's own prefill, see LearnPrefillTime. */
constexpr double kMinOwnShare = 0.5;
/** A target with this load or more may have made the request wait. */
constexpr double kMaxSampleLoad = 1.0;
/** Bound of one sample: a single stall is no speed. */
constexpr double kMaxSampleLog = 2.5;
/** Times of services without models vary with the request. */
constexpr double kPlainWeight = 0.5;
/**
 * Time over which the events of a stream make one sample, and its weight: one
 * stream counts as one sample a second, so that it does not mark a target.
 */
constexpr Duration kEventTime = std::chrono::milliseconds(100);
constexpr double kEventWeight = 0.25;
constexpr std::uint32_t kMinEvents = 2;
/**
 * The usual pace of a model averages about the last kMaxPaceSamples; before
 * kMinPaceSamples are known, it may be that of a single target.
 */
constexpr std::uint32_t kMinPaceSamples = 40;
constexpr double kMaxPaceSamples = 150;
/**
 * Failures are shared where daemons times targets is at least this, and a
 * daemon sends to a target less than this often in a second: below, its own
 * observation is enough and faster.
 */
constexpr std::size_t kMinPairs = 1000;
constexpr double kMaxOwnRate = 1.0;
/**
 * Scores of targets of unequal speed differ, and targets that fail are idle, so
 * that all daemons would choose the same one until totals show what the others
 * sent. The tie break grows with
 * the load that all send in this time.
 */
constexpr double kHerdFactor = 14.0;
/** Targets that reset requests at once are idle and attract most. */
constexpr double kFailureHerdFactor = 24.0;
constexpr double kMaxTieBreak = 6.0;
/** Over which the rate of sends is averaged, in seconds. */
constexpr double kRateSeconds = 5.0;
/** Bound on the load that a fast target may have, as for all targets. */
constexpr double kMaxLimit = 4.0;

double Log2Ratio(double aUsual, double aOwn)
{
  return std::clamp(std::log2(aUsual / std::max(aOwn, 1.0)), -kMaxSampleLog,
                    kMaxSampleLog);
}

} // namespace

void Dispatcher::RefreshRates(Instant aNow, Pool& aPool)
{
  if (!aPool.mRates.IsDue(aNow)) {
    return;
  }
  const double seconds =
    std::chrono::duration<double>(aNow - aPool.mRatesAt).count();
  aPool.mRatesAt = aNow;
  aPool.mSendRate = aPool.mSendRate * std::exp(-seconds / kRateSeconds) +
                    std::exchange(aPool.mSends, 0) / kRateSeconds;
  std::vector<TargetKey> keys;
  for (const TargetName& name : aPool.mTargets) {
    keys.push_back(mTargets.at(name).mKey);
  }
  TargetRatesFacts facts;
  facts.mUsesSpeeds = mOptions.mUsesSpeeds;
  facts.mUsesFailures =
    mOptions.mUsesFailures &&
    (aPool.mRates.IsUneven() || !mOptions.mSharesFailuresIfUneven) &&
    mDaemons * keys.size() >= kMinPairs &&
    aPool.mSendRate < kMaxOwnRate * static_cast<double>(keys.size());
  facts.mDaemons = mDaemons;
  facts.mTargets = keys.size();
  aPool.mRates.Refresh(
    aNow, facts, keys, [&](TargetKey aKey) { return mObserved.Of(aNow, aKey); },
    mProbeRandom);
  aPool.mTieBreak = TieBreakOf(aNow, aPool);
  SetUnevenTargets(HasUnevenTargets());
  RefreshSubset(aNow, aPool);
}

double Dispatcher::TieBreakOf(Instant aNow, const Pool& aPool) const
{
  const auto sent = mReportTimes.find(mIncludedReport);
  if ((!aPool.mRates.IsUneven() && aPool.mRates.Avoided() == 0) ||
      sent == mReportTimes.end()) {
    return kTieBreak;
  }
  std::uint64_t slots = 0;
  for (const TargetName& name : aPool.mTargets) {
    slots += std::max<std::uint32_t>(mTargets.at(name).mState.mLast.mSlots, 1);
  }
  const double lag = std::chrono::duration<double>(aNow - sent->second).count();
  const double unknown =
    aPool.mSendRate * mDaemons * lag / static_cast<double>(slots);
  const double factor =
    aPool.mRates.Avoided() > 0 ? kFailureHerdFactor : kHerdFactor;
  return std::clamp(factor * unknown, kTieBreak, kMaxTieBreak);
}

double Dispatcher::BacklogScore(const Target& aTarget, const Pool& aPool,
                                const DispatchFacts& aFacts,
                                const TargetLoad& aLoad)
{
  double load = LoadOf(aTarget, aLoad);
  auto prefill = static_cast<double>(aLoad.mPrefillTime.count());
  if (aPool.mRates.IsUneven()) {
    // The request itself counts: it takes longer at a slow target even if that
    // is idle.
    const TargetRate& rate = aPool.mRates.Of(aTarget.mKey);
    const auto slots = std::max<std::uint32_t>(aTarget.mState.mLast.mSlots, 1);
    load = (load + 1.0 / slots) / rate.mSpeed;
    prefill += static_cast<double>(PrefillTime(aPool, aFacts).count());
    prefill /= rate.mSpeed;
  }
  return aFacts.mObjective > Duration::zero()
           ? load + kBacklogPenalty * prefill /
                      static_cast<double>(aFacts.mObjective.count())
           : load;
}

double Dispatcher::LimitAt(double aLimit, const TargetRate& aRate)
{
  // Only the queue beyond the slots is time that a request waits.
  const double limit =
    aRate.mSpeed != 1.0 && aLimit > 1.0
      ? std::min(1.0 + (aLimit - 1.0) * aRate.mSpeed, kMaxLimit)
      : aLimit;
  return limit * (1 - aRate.mFailures);
}

void Dispatcher::ObserveFirstByte(Instant aNow, const Pool& aPool,
                                  const Target& aTarget, OpenSend& aSend,
                                  Duration aTook)
{
  aSend.mEventsSince = aNow;
  if (aSend.mLoad >= kMaxSampleLoad) {
    return;
  }
  const auto took = static_cast<double>(aTook.count());
  if (aSend.mModel.IsEmpty()) {
    if (aPool.mFirstByte > Duration::zero()) {
      mObserved.OnPrefill(
        aNow, aTarget.mKey,
        Log2Ratio(static_cast<double>(aPool.mFirstByte.count()), took),
        kPlainWeight);
    }
    return;
  }
  const auto expected = static_cast<double>(aSend.mTotalPrefillTime.count());
  const auto own = static_cast<double>(aSend.mPrefillTime.count());
  if (aSend.mPromptTokens >= kMinSampleTokens && expected > 0 &&
      own >= kMinOwnShare * expected) {
    mObserved.OnPrefill(aNow, aTarget.mKey, Log2Ratio(expected, took), 1);
  }
}

void Dispatcher::ObserveEvent(Instant aNow, const Target& aTarget,
                              OpenSend& aSend)
{
  if (!aSend.mFirstByte || aSend.mModel.IsEmpty() ||
      aNow == aSend.mEventsSince) {
    return;
  }
  ++aSend.mEvents;
  const Duration time = aNow - aSend.mEventsSince;
  if (time < kEventTime || aSend.mEvents < kMinEvents) {
    return;
  }
  const double gap = static_cast<double>(time.count()) / aSend.mEvents;
  EventPace& pace = PoolOf(aSend.mService).mPaces[aSend.mModel];
  const double log =
    std::clamp(pace.mLog - std::log2(gap), -kMaxSampleLog, kMaxSampleLog);
  if (pace.mSamples >= kMinPaceSamples) {
    mObserved.OnTokens(aNow, aTarget.mKey, log, kEventWeight);
    pace.mLog -= log / kMaxPaceSamples;
  } else {
    pace.mLog += (std::log2(gap) - pace.mLog) / ++pace.mSamples;
  }
  aSend.mEvents = 0;
  aSend.mEventsSince = aNow;
}

void Dispatcher::ObserveEnd(Instant aNow, const Target& aTarget, SendEnd aEnd)
{
  // Where this daemon's own path is in doubt, others see more of the target.
  const bool isFailure = aEnd == SendEnd::Broken ||
                         aEnd == SendEnd::TargetFailed ||
                         aEnd == SendEnd::TimedOut;
  if (aEnd == SendEnd::Whole || (isFailure && aTarget.mPath.IsOpen())) {
    mObserved.OnEnded(aNow, aTarget.mKey, isFailure);
  }
}

std::optional<SampleReport> Dispatcher::TakeSampleReport(Instant aNow,
                                                         const Endpoint& aSelf)
{
  // A single daemon's own samples are all that there are.
  if (mDaemons < 2 || (!mOptions.mUsesSpeeds && !mOptions.mUsesFailures)) {
    mObserved.Expire(aNow);
    return std::nullopt;
  }
  return mObserved.TakeReport(aNow, aSelf);
}

void Dispatcher::OnTargetSums(Instant aNow, const SumsReport& aReport)
{
  mObserved.OnSums(aNow, aReport);
}

bool Dispatcher::HasUnevenTargets() const
{
  return std::ranges::any_of(
    mPools, [](const auto& aPool) { return aPool.second.mRates.IsUneven(); });
}

TargetRate Dispatcher::RateOf(const TargetName& aTarget) const
{
  const auto target = mTargets.find(aTarget);
  const auto pool = target == mTargets.end()
                      ? mPools.end()
                      : mPools.find(target->second.mState.mLast.mService);
  return pool == mPools.end() ? TargetRate()
                              : pool->second.mRates.Of(target->second.mKey);
}

RateStats Dispatcher::Rates(Instant aNow) const
{
  RateStats stats;
  for (const auto& [name, pool] : mPools) {
    stats.mKnown += pool.mRates.Known();
    stats.mAvoided += pool.mRates.Avoided();
    stats.mUneven += pool.mRates.IsUneven() ? 1 : 0;
    stats.mSubset += pool.mSubsetSize;
  }
  stats.mAge = mObserved.Age(aNow).value_or(Duration::zero());
  return stats;
}

} // namespace carobtide
