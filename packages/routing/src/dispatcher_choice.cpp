// The scoring of targets by a dispatcher: the lowest score is chosen.
#include "carobtide/routing/dispatcher.hpp"

#include <algorithm>
#include <limits>
#include <random>
#include <utility>
#include <vector>

namespace carobtide {

namespace {

/** Penalty for a target in another failure domain, in units of load. */
constexpr double kRemotePenalty = 0.08;
/** Penalty for a target that fails every request. */
constexpr double kFailurePenalty = 1.5;
/** The same for failures over all daemons beyond the mean of the service. */
constexpr double kSharedFailurePenalty = 4.0;
/**
 * Penalty for each multiple of the pool's time to the first byte beyond twice
 * that time.
 */
constexpr double kSlownessPenalty = 0.25;
constexpr double kMaxSlownessPenalty = 1.0;
/** Penalty for a target whose oldest request has waited unusually long. */
constexpr double kHangPenalty = 1.0;
/** Penalty for a target without recent heartbeats at any daemon. */
constexpr double kSilencePenalty = 0.4;
/** Penalty for a target whose software others may not know. */
constexpr double kUnknownOriginPenalty = 2.0;
/** Bonus for a target that was recently sent the same shared prefix. */
constexpr double kSharedPrefixBonus = 0.06;
/** A shorter wait for the first byte never counts as a hang. */
constexpr Duration kMinHang = std::chrono::milliseconds(600);
/** Multiple of the pool's time to the first byte that counts as a hang. */
constexpr int kHangFactor = 4;
/** Share of the objective that a request may spend in a target's queue. */
constexpr double kQueueShare = 0.6;
/** Bound on the load beyond the slots, whatever the run time. */
constexpr double kMaxQueueLoad = 3.0;
/**
 * Share of the pause objective that the prefill of all prompts queued at an
 * engine may take, the new prompt included: its streams pause during prefill.
 */
constexpr double kInteractivePauseShare = 0.6;
constexpr double kTolerantPauseShare = 0.25;
/**
 * Prompts below this size are no samples: their time to the first byte depends
 * more on the network than on the engine.
 */
constexpr std::uint32_t kMinSampleTokens = 128;
/**
 * A sample counts only if the prompt's own prefill is at least this share of
 * the prefill at the target, since the rest may be of other models.
 */
constexpr double kMinOwnShare = 0.5;
/** Bound of one sample, since a first byte can be late for other reasons. */
constexpr double kMaxRatio = 3.0;
/** Inverse weight of the newest sample: averages about the last twenty. */
constexpr double kSmoothingDivisor = 20.0;
/**
 * Bonus for an avoided target that is to be tried: without it, failures of the
 * past would keep the request away.
 */
constexpr double kProbeBonus = 8.0;
/** Load up to which latency-tolerant requests are sent to engines. */
constexpr double kTolerantLoadLimit = 0.95;
/** Run times assumed until the first sample. */
constexpr Duration kEngineRunTime = std::chrono::milliseconds(1500);
constexpr Duration kServiceRunTime = std::chrono::milliseconds(50);

void KeepEarliest(std::optional<Instant>& aKept, Instant aTime)
{
  aKept = std::min(aKept.value_or(Instant::max()), aTime);
}

const HeldModel* FindHeld(const RoutedTarget& aState, const ModelName& aModel)
{
  const auto it = std::ranges::find(aState.mModels, aModel, &HeldModel::mName);
  return it == aState.mModels.end() ? nullptr : &*it;
}

} // namespace

TargetLoad Dispatcher::LoadAt(Instant aNow, const Target& aTarget) const
{
  TargetLoad load{ aTarget.mInFlight, aTarget.mPrefillTime };
  const auto it = mPeerLoads.find(aTarget.mKey);
  if (it != mPeerLoads.end() &&
      aNow - it->second.mReceivedAt < kPeerLoadLifetime) {
    load.mInFlight += it->second.mLoad.mInFlight;
    load.mPrefillTime += it->second.mLoad.mPrefillTime;
  }
  return load;
}

std::uint32_t Dispatcher::ReportedAt(std::uint64_t aReport,
                                     const Target& aTarget) const
{
  const auto report = mReports.find(aReport);
  if (report == mReports.end()) {
    return 0;
  }
  const auto own = report->second.find(aTarget.mKey);
  return own == report->second.end() ? 0 : own->second.mInFlight;
}

KnownLoad Dispatcher::KnownLoadAt(Instant aNow, const Target& aTarget) const
{
  KnownLoad load;
  load.mSlots = std::max<std::uint32_t>(aTarget.mState.mLast.mSlots, 1);
  load.mOwn = aTarget.mInFlight;
  load.mOthers = LoadAt(aNow, aTarget).mInFlight - aTarget.mInFlight;
  load.mDaemons = mDaemons;
  if (aNow - mPeerLoadsAt < kPeerLoadLifetime) {
    load.mIsKnown = true;
    load.mReport = mReportSequence;
    load.mReportInTotal = mIncludedReport;
    load.mOwnInTotal = ReportedAt(mIncludedReport, aTarget);
    load.mOwnReported = ReportedAt(mReportSequence, aTarget);
  }
  return load;
}

Instant Dispatcher::SendableAt(Instant aNow, const Target& aTarget) const
{
  TargetLimit::Others others;
  others.mDaemons = mDaemons;
  if (mPeerLoadsAt != Instant()) {
    others.mUnknownSince = mPeerLoadsAt + kPeerLoadLifetime;
    others.mPhase = mPhase;
  }
  if (aNow - mPeerLoadsAt < kPeerLoadLifetime) {
    const auto it = mPeerLoads.find(aTarget.mKey);
    const bool isKnown = it != mPeerLoads.end();
    others.mRecentSends = isKnown ? it->second.mLoad.mRecentSends : 0;
    others.mAt = isKnown ? it->second.mReceivedAt : aNow;
  }
  return std::max(aTarget.mPause.Until(),
                  aTarget.mLimit.SendableAt(aNow, others));
}

double Dispatcher::LoadOf(const Target& aTarget, const TargetLoad& aLoad)
{
  const auto slots = std::max<std::uint32_t>(aTarget.mState.mLast.mSlots, 1);
  return static_cast<double>(aLoad.mInFlight) / slots;
}

Duration Dispatcher::PrefillTime(const Pool& aPool, const DispatchFacts& aFacts)
{
  const auto it = aPool.mModelTokenMicros.find(aFacts.mModel);
  const double micros =
    it == aPool.mModelTokenMicros.end() ? aPool.mTokenMicros : it->second;
  return Duration(static_cast<Duration::rep>(micros * aFacts.mPromptTokens));
}

void Dispatcher::LearnPrefillTime(Pool& aPool, const OpenSend& aSend,
                                  Duration aTook)
{
  const auto took = static_cast<double>(aTook.count());
  const auto expected = static_cast<double>(aSend.mTotalPrefillTime.count());
  const auto own = static_cast<double>(aSend.mPrefillTime.count());
  if (aSend.mPromptTokens < kMinSampleTokens ||
      (expected > 0 && own < kMinOwnShare * expected)) {
    return;
  }
  double& micros = aPool.mModelTokenMicros[aSend.mModel];
  if (micros == 0) {
    micros =
      aPool.mTokenMicros == 0 ? took / aSend.mPromptTokens : aPool.mTokenMicros;
  }
  if (expected > 0) {
    const double ratio = std::clamp(took / expected, 1 / kMaxRatio, kMaxRatio);
    micros += micros * (ratio - 1) / kSmoothingDivisor;
  }
  aPool.mTokenMicros =
    aPool.mTokenMicros == 0
      ? micros
      : aPool.mTokenMicros + (micros - aPool.mTokenMicros) / kSmoothingDivisor;
}

bool Dispatcher::ExceedsPrefillLimit(const Pool& aPool,
                                     const DispatchFacts& aFacts,
                                     const TargetLoad& aLoad,
                                     const TargetRate& aRate)
{
  if (aFacts.mPauseObjective <= Duration::zero() ||
      aLoad.mPrefillTime <= Duration::zero()) {
    return false;
  }
  const double share =
    aFacts.IsLatencyTolerant() ? kTolerantPauseShare : kInteractivePauseShare;
  const auto limit =
    static_cast<double>(aFacts.mPauseObjective.count()) * share;
  const Duration total = aLoad.mPrefillTime + PrefillTime(aPool, aFacts);
  return static_cast<double>(total.count()) > limit * aRate.mSpeed;
}

double Dispatcher::ScoreOf(Instant aNow, const Target& aTarget,
                           const Pool& aPool, const DispatchFacts& aFacts,
                           const TargetLoad& aLoad)
{
  const TargetRate& rate = aPool.mRates.Of(aTarget.mKey);
  double score = BacklogScore(aTarget, aPool, aFacts, aLoad);
  const Heartbeat& last = aTarget.mState.mLast;
  if (last.mFailureDomain != mOptions.mFailureDomain) {
    score += kRemotePenalty;
  }
  if (aTarget.mState.mSilent) {
    score += kSilencePenalty;
  }
  score += kFailurePenalty * aTarget.mHealth.FailureShare(aNow) +
           kSharedFailurePenalty * rate.mFailures;
  const Duration usual = aPool.mFirstByte;
  const Duration own = aTarget.mHealth.FirstByteTime(aNow);
  if (usual > Duration::zero() && own > 2 * usual) {
    const double ratio =
      static_cast<double>(own.count()) / static_cast<double>(usual.count());
    score += std::min(kMaxSlownessPenalty, kSlownessPenalty * (ratio - 2));
  }
  if (aTarget.mHealth.OldestWait(aNow) >
      std::max(kMinHang, kHangFactor * usual)) {
    score += kHangPenalty;
  }
  if (aFacts.mSharedPrefix != 0 &&
      aTarget.mPrefixes.contains(aFacts.mSharedPrefix)) {
    score -= kSharedPrefixBonus;
  }
  if (rate.mIsAvoided) {
    score -= kProbeBonus;
  }
  return score + std::uniform_real_distribution<>(0, aPool.mTieBreak)(mRandom);
}

Duration Dispatcher::RunTime(const Pool& aPool, const DispatchFacts& aFacts)
{
  if (aPool.mRunTime > Duration::zero()) {
    return aPool.mRunTime;
  }
  return aFacts.mModel.IsEmpty() ? kServiceRunTime : kEngineRunTime;
}

double Dispatcher::LoadLimit(const Pool& aPool,
                             const DispatchFacts& aFacts) const
{
  const bool isEngine = !aFacts.mModel.IsEmpty();
  if (isEngine && aFacts.IsLatencyTolerant()) {
    return kTolerantLoadLimit;
  }
  const Duration run = RunTime(aPool, aFacts);
  const double queue = kQueueShare *
                       static_cast<double>(aFacts.mObjective.count()) /
                       static_cast<double>(run.count());
  return 1.0 + std::min(queue, kMaxQueueLoad);
}

Dispatcher::Search Dispatcher::FindTarget(Instant aNow, Pool& aPool,
                                          const DispatchState& aState)
{
  const DispatchFacts& facts = aState.mFacts;
  RefreshRates(aNow, aPool);
  const double usualLimit = AdmissionLimit(aNow, aPool, facts);
  const bool isRepeatable = IsRepeatable(facts.mKind);
  // Used only if all holders are avoided.
  Search barred;
  bool hasUsable = false;
  // The size is derived less often than the rates.
  const bool hasSubset =
    aPool.mSubsetSize > 0 && aPool.mRates.IsUneven() && !aState.mOffered;
  std::vector<Candidate> candidates;
  const auto refusals = aPool.mRefusals.Current(aNow);
  Search search;
  search.mLeastLoad = std::numeric_limits<double>::max();
  search.mLeastModelLoad = std::numeric_limits<double>::max();
  for (const TargetName& name : aPool.mTargets) {
    Target& target = mTargets.at(name);
    if (!target.mState.TakesWork() || target.mLeaves ||
        (aState.mSoftware &&
         target.mState.mLast.mSoftware != *aState.mSoftware)) {
      continue;
    }
    search.mSoftwareServes = true;
    if (aState.mSoftware && facts.mKind == RequestKind::ResumableStream &&
        aNow < target.mDoubt.SettledAt()) {
      KeepEarliest(search.mSettledAt, target.mDoubt.SettledAt());
      continue;
    }
    const bool isUnknownProcess = IsUnknownProcess(aNow, target, aState);
    if (isUnknownProcess && aState.mSoftware) {
      continue;
    }
    const bool hasUnknownOrigin =
      isUnknownProcess || IsUnestablished(target, aState);
    const Instant sendableAt = SendableAt(aNow, target);
    const bool isHeldBack = sendableAt > aNow;
    const bool isReachable = IsReachable(target);
    const TargetRate& rate = aPool.mRates.Of(target.mKey);
    const bool isBarred =
      aPool.mRates.IsBarred(aNow, target.mKey, isRepeatable);
    const double limit = LimitAt(usualLimit, rate);
    if (!facts.mModel.IsEmpty()) {
      const HeldModel* held = FindHeld(target.mState, facts.mModel);
      if (held == nullptr) {
        const auto loading = std::ranges::find(
          target.mState.mLoading, facts.mModel, &LoadingModel::mName);
        if (loading != target.mState.mLoading.end()) {
          KeepEarliest(search.mReadyAt, loading->ReadyAt());
        }
        continue;
      }
      search.mModelHeld = true;
      if (isReachable && !isHeldBack && !isBarred) {
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
    const bool isTried =
      std::ranges::find(aState.mTried, name) != aState.mTried.end();
    search.mUnreachableHolders += isReachable ? 0 : 1;
    search.mIsLimited = search.mIsLimited || !target.mLimit.Known().IsNone();
    if (isHeldBack) {
      ++search.mHeldBackHolders;
      KeepEarliest(search.mSendableAt, sendableAt);
      if (!isTried) {
        KeepEarliest(search.mUntriedSendableAt, sendableAt);
      }
    }
    if (isHeldBack) {
      continue;
    }
    const TargetLoad total = LoadAt(aNow, target);
    const double load = LoadOf(target, total);
    const bool isUnreached =
      std::ranges::find(aState.mUnreached, name) != aState.mUnreached.end();
    if (isTried ? isUnreached : !isReachable) {
      search.mHasRoomElsewhere = search.mHasRoomElsewhere || load < limit;
      search.mRelayHolders.push_back(name);
    }
    if (isTried || !isReachable) {
      continue;
    }
    hasUsable = hasUsable || !isBarred;
    if (!isBarred) {
      search.mLeastLoad = std::min(search.mLeastLoad, load);
    }
    if (load >= limit || ExceedsPrefillLimit(aPool, facts, total, rate) ||
        !target.mPause.MayTry(aNow) ||
        (refusals && !target.mRefusals.MaySend(aNow, KnownLoadAt(aNow, target),
                                               *refusals, mRandom))) {
      continue;
    }
    // What begins there might be taken for a stream of another version.
    const double score = ScoreOf(aNow, target, aPool, facts, total) +
                         OrderedPenalty(aState, name) +
                         (hasUnknownOrigin ? kUnknownOriginPenalty : 0);
    Search& kept = isBarred ? barred : search;
    if (kept.mBest == nullptr || score < kept.mScore) {
      kept.mBest = &target;
      kept.mScore = score;
      kept.mLoad = total;
    }
    if (hasSubset && !isBarred) {
      candidates.push_back({ &target, score, total });
    }
  }
  if (hasSubset && search.mBest != nullptr) {
    PreferSubset(aNow, aPool, std::move(candidates), search);
  }
  if (search.mBest == nullptr && !hasUsable) {
    search.mBest = barred.mBest;
    search.mScore = barred.mScore;
    search.mLoad = barred.mLoad;
  }
  return search;
}

} // namespace carobtide
