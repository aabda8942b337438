// How a dispatcher weighs targets against each other.
#include "carobtide/routing/dispatcher.hpp"

#include <algorithm>
#include <limits>
#include <random>

namespace carobtide {

namespace {

/** Score of a target in another failure domain, in units of load. */
constexpr double kRemoteScore = 0.08;
/** Score of a target that fails every request. */
constexpr double kFailureScore = 1.5;
/** Score for each time that a target is slower than twice its pool. */
constexpr double kSlownessScore = 0.25;
constexpr double kMostSlownessScore = 1.0;
/** Score of a target whose oldest request waits unusually long. */
constexpr double kHangScore = 1.0;
/** Score of a target that no daemon has heard of lately. */
constexpr double kSilenceScore = 0.4;
/** Gain of a target that read the shared part of the prompt lately. */
constexpr double kSharedPartScore = 0.06;
/** Breaks ties, so that daemons do not all choose the same target. */
constexpr double kTieScore = 0.01;
/** A wait for the first byte is unusual from this time on. */
constexpr Duration kShortestHang = std::chrono::milliseconds(600);
constexpr int kHangFactor = 4;
/** Part of the objective that a request may spend in a target's queue. */
constexpr double kQueueShare = 0.6;
/** Load beyond the slots is bounded, whatever the run time. */
constexpr double kMostQueueLoad = 3.0;
/**
 * Parts of the pause objective that prompts on their way to an engine may
 * take, the new one included: its streams stand still while it reads them.
 */
constexpr double kUrgentPause = 0.6;
constexpr double kPatientPause = 0.25;
/** Smaller prompts tell more of the network than of the engine. */
constexpr std::uint32_t kTellingPrompt = 128;
/** Part of the reading that must be the prompt's own to tell of its model. */
constexpr double kTellingShare = 0.5;
/** A first byte is late for other reasons as well: bounds of one sample. */
constexpr double kMostRatio = 3.0;
/** Weight of the newest sample: about the last twenty count. */
constexpr double kPaceDivisor = 20.0;
/** Score of prompts that take the whole objective to read. */
constexpr double kBacklogScore = 1.0;
/** Load up to which patient work is sent to engines. */
constexpr double kPatientLoad = 0.95;
/** Run times assumed until some were seen. */
constexpr Duration kEngineRunTime = std::chrono::milliseconds(1500);
constexpr Duration kServiceRunTime = std::chrono::milliseconds(50);

const HeldModel* FindHeld(const RoutedTarget& aState, const ModelName& aModel)
{
  const auto it = std::ranges::find(aState.mModels, aModel, &HeldModel::mName);
  return it == aState.mModels.end() ? nullptr : &*it;
}

} // namespace

TargetLoad Dispatcher::LoadAt(Instant aNow, const Target& aTarget) const
{
  TargetLoad load{ aTarget.mState.mLast.mTarget, aTarget.mInFlight,
                   static_cast<std::uint64_t>(aTarget.mPrefillTime.count()) };
  for (const auto& [address, peer] : mPeers) {
    if (aNow - peer.mHeardAt < kPeerLoadMemory) {
      const auto it = peer.mLoads.find(load.mTarget);
      if (it != peer.mLoads.end()) {
        load.mInFlight += it->second.mInFlight;
        load.mReading += it->second.mReading;
      }
    }
  }
  return load;
}

double Dispatcher::LoadOf(const Target& aTarget, const TargetLoad& aLoad)
{
  const auto slots = std::max<std::uint32_t>(aTarget.mState.mLast.mSlots, 1);
  return static_cast<double>(aLoad.mInFlight) / slots;
}

Duration Dispatcher::ReadingTime(const Pool& aPool, const DispatchFacts& aFacts)
{
  const auto it = aPool.mModelTokenMicros.find(aFacts.mModel);
  const double micros =
    it == aPool.mModelTokenMicros.end() ? aPool.mTokenMicros : it->second;
  return Duration(static_cast<Duration::rep>(micros * aFacts.mPromptTokens));
}

void Dispatcher::LearnReading(Pool& aPool, const OpenSend& aSend,
                              Duration aTook)
{
  const auto took = static_cast<double>(aTook.count());
  const auto expected = static_cast<double>(aSend.mAllReading.count());
  const auto own = static_cast<double>(aSend.mPrefillTime.count());
  if (aSend.mPromptTokens < kTellingPrompt ||
      (expected > 0 && own < kTellingShare * expected)) {
    return;
  }
  double& micros = aPool.mModelTokenMicros[aSend.mModel];
  if (micros == 0) {
    micros =
      aPool.mTokenMicros == 0 ? took / aSend.mPromptTokens : aPool.mTokenMicros;
  }
  if (expected > 0) {
    const double ratio =
      std::clamp(took / expected, 1 / kMostRatio, kMostRatio);
    micros += micros * (ratio - 1) / kPaceDivisor;
  }
  aPool.mTokenMicros =
    aPool.mTokenMicros == 0
      ? micros
      : aPool.mTokenMicros + (micros - aPool.mTokenMicros) / kPaceDivisor;
}

bool Dispatcher::IsReading(const Pool& aPool, const DispatchFacts& aFacts,
                           const TargetLoad& aLoad)
{
  if (aFacts.mPauseObjective <= Duration::zero() || aLoad.mReading == 0) {
    return false;
  }
  const double share = aFacts.IsPatient() ? kPatientPause : kUrgentPause;
  const auto most = static_cast<double>(aFacts.mPauseObjective.count()) * share;
  const auto own = static_cast<double>(ReadingTime(aPool, aFacts).count());
  return static_cast<double>(aLoad.mReading) + own > most;
}

double Dispatcher::ScoreOf(Instant aNow, const Target& aTarget,
                           const Pool& aPool, const DispatchFacts& aFacts,
                           const TargetLoad& aLoad)
{
  double score = LoadOf(aTarget, aLoad);
  if (aFacts.mObjective > Duration::zero()) {
    score += kBacklogScore * static_cast<double>(aLoad.mReading) /
             static_cast<double>(aFacts.mObjective.count());
  }
  const Heartbeat& last = aTarget.mState.mLast;
  if (last.mFailureDomain != mOptions.mFailureDomain) {
    score += kRemoteScore;
  }
  if (aTarget.mState.mSilent) {
    score += kSilenceScore;
  }
  score += kFailureScore * aTarget.mHealth.FailureShare(aNow);
  const Duration usual = aPool.mFirstByte;
  const Duration own = aTarget.mHealth.FirstByteTime(aNow);
  if (usual > Duration::zero() && own > 2 * usual) {
    const double ratio =
      static_cast<double>(own.count()) / static_cast<double>(usual.count());
    score += std::min(kMostSlownessScore, kSlownessScore * (ratio - 2));
  }
  if (aTarget.mHealth.OldestWait(aNow) >
      std::max(kShortestHang, kHangFactor * usual)) {
    score += kHangScore;
  }
  if (aFacts.mSharedPrefix != 0 &&
      aTarget.mParts.contains(aFacts.mSharedPrefix)) {
    score -= kSharedPartScore;
  }
  return score + std::uniform_real_distribution<>(0, kTieScore)(mRandom);
}

double Dispatcher::LoadLimit(const Pool& aPool,
                             const DispatchFacts& aFacts) const
{
  const bool isEngine = !aFacts.mModel.IsEmpty();
  if (isEngine && aFacts.IsPatient()) {
    return kPatientLoad;
  }
  Duration run = aPool.mRunTime;
  if (run == Duration::zero()) {
    run = isEngine ? kEngineRunTime : kServiceRunTime;
  }
  const double queue = kQueueShare *
                       static_cast<double>(aFacts.mObjective.count()) /
                       static_cast<double>(run.count());
  return 1.0 + std::min(queue, kMostQueueLoad);
}

Dispatcher::Search Dispatcher::FindTarget(Instant aNow, const Pool& aPool,
                                          const DispatchState& aState)
{
  const DispatchFacts& facts = aState.mFacts;
  const double limit = LoadLimit(aPool, facts);
  Search search;
  search.mLeastLoad = std::numeric_limits<double>::max();
  search.mLeastModelLoad = std::numeric_limits<double>::max();
  for (const TargetName& name : aPool.mTargets) {
    Target& target = mTargets.at(name);
    if (!target.mState.TakesWork()) {
      continue;
    }
    if (!facts.mModel.IsEmpty()) {
      const HeldModel* held = FindHeld(target.mState, facts.mModel);
      if (held == nullptr) {
        continue;
      }
      search.mModelHeld = true;
      if (target.mHealth.IsReachable(aNow)) {
        search.mLeastModelLoad = std::min(search.mLeastModelLoad,
                                          LoadOf(target, LoadAt(aNow, target)));
      }
      const bool hasAdapter =
        facts.mAdapter.IsEmpty() ||
        std::ranges::find(held->mAdapters, facts.mAdapter) !=
          held->mAdapters.end();
      if (!hasAdapter) {
        continue;
      }
    }
    search.mAdapterHeld = true;
    ++search.mHolders;
    if (!target.mHealth.IsReachable(aNow) ||
        std::ranges::find(aState.mTried, name) != aState.mTried.end()) {
      continue;
    }
    const TargetLoad all = LoadAt(aNow, target);
    const double load = LoadOf(target, all);
    search.mLeastLoad = std::min(search.mLeastLoad, load);
    if (load >= limit || IsReading(aPool, facts, all)) {
      continue;
    }
    const double score = ScoreOf(aNow, target, aPool, facts, all);
    if (search.mBest == nullptr || score < search.mScore) {
      search.mBest = &target;
      search.mScore = score;
      search.mLoad = all;
    }
  }
  return search;
}

} // namespace carobtide
