// What a dispatcher does with a request that no target can take now: whether it
// waits, and when its caller should return.
#include "carobtide/routing/dispatcher.hpp"

#include <algorithm>
#include <limits>
#include <random>

namespace carobtide {

namespace {

/** A request waits for capacity for at most its objective / divisor. */
constexpr int kInteractiveWaitDivisor = 3;
constexpr int kTolerantWaitDivisor = 2;
/** Bounds of the retry delay sent to a rejected caller, before jitter. */
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(2000);
/** Retry delay for an adapter, or for a model whose load time is not known. */
constexpr Duration kModelLoadRetryAfter = std::chrono::milliseconds(800);
/** Bound for the retry delay while a model is loaded, and its jitter. */
constexpr Duration kMaxLoadRetryAfter = std::chrono::seconds(6);
constexpr Duration kLoadRetrySpread = std::chrono::milliseconds(800);
/** Until targets that cannot be reached may be back, and the spread. */
constexpr Duration kUnreachableRetryAfter = std::chrono::milliseconds(1400);
constexpr Duration kUnreachableSpread = std::chrono::milliseconds(800);
/** Over which callers return to targets that want a pause. */
constexpr Duration kPauseSpread = std::chrono::milliseconds(800);
/** Time until the leader has a load started for a model. */
constexpr Duration kPlanningTime = std::chrono::milliseconds(500);
/** Time until the end of a load is known here. */
constexpr Duration kResidencyDelay = std::chrono::milliseconds(150);
/** A load that is late by more than this may not come. */
constexpr Duration kMaxLoadDelay = std::chrono::milliseconds(1500);
/** A tolerant request waits for a load for its time limit / divisor. */
constexpr int kTolerantLoadWaitDivisor = 2;

} // namespace

void Dispatcher::RecordUnplaced(Instant aNow, const Pool& aPool,
                                DispatchState& aState)
{
  const DispatchFacts& facts = aState.mFacts;
  // The daemon that handed it on counts it.
  if (facts.mModel.IsEmpty() || aState.mUnplaced != 0 || aState.mIsRelayed) {
    return;
  }
  aState.mUnplaced = mNextUnplaced++;
  mUnplaced[aState.mUnplaced] = {
    DemandKey{ facts.mService, facts.mModel, facts.mAdapter },
    aNow + RunTime(aPool, facts), aState.mSoftware
  };
}

Instant Dispatcher::WaitLimit(Instant aNow, const DispatchState& aState,
                              const Search& aSearch)
{
  const DispatchFacts& facts = aState.mFacts;
  const bool isTolerant = facts.IsLatencyTolerant();
  const bool hasDeadline = facts.mDeadline != Instant::max();
  if (aSearch.AreAllUnreachable() &&
      (aState.mIsRelayed || !aState.mRelays.empty())) {
    return {};
  }
  if (aState.mSoftware && !facts.mModel.IsEmpty() && hasDeadline) {
    // The stream can go on nowhere else, and a copy is loaded for it.
    const Instant latest = facts.mArrived + (facts.mDeadline - facts.mArrived) /
                                              kTolerantLoadWaitDivisor;
    return std::min(latest, aSearch.mUntriedSendableAt.value_or(latest));
  }
  const Instant limit =
    facts.mArrived + facts.mObjective / (isTolerant ? kTolerantWaitDivisor
                                                    : kInteractiveWaitDivisor);
  if (aSearch.AreAllHeldBack()) {
    return aSearch.mUntriedSendableAt && *aSearch.mUntriedSendableAt <= limit
             ? *aSearch.mUntriedSendableAt
             : Instant();
  }
  if (aSearch.mModelHeld || aSearch.mAdapterHeld) {
    return std::min(limit, aSearch.mUntriedSendableAt.value_or(limit));
  }
  if (!aSearch.mReadyAt || *aSearch.mReadyAt + kMaxLoadDelay < aNow) {
    return isTolerant && !facts.mModel.IsEmpty() ? limit : Instant();
  }
  // A copy is being loaded: wait for it if it serves in time.
  const Instant readyAt = std::max(*aSearch.mReadyAt, aNow) + kResidencyDelay;
  const Instant latest =
    isTolerant && hasDeadline
      ? facts.mArrived +
          (facts.mDeadline - facts.mArrived) / kTolerantLoadWaitDivisor
      : limit;
  return readyAt <= latest ? readyAt : Instant();
}

Duration Dispatcher::LoadTime(const DispatchFacts& aFacts) const
{
  if (mCatalog) {
    const auto service = std::ranges::find(mCatalog->mServices, aFacts.mService,
                                           &CatalogService::mName);
    if (service != mCatalog->mServices.end() && service->mEngine) {
      if (const auto* model = service->mEngine->FindModel(aFacts.mModel)) {
        return model->mStoreLoad + kPlanningTime;
      }
    }
  }
  return kModelLoadRetryAfter;
}

Duration Dispatcher::RetryAfter(Instant aNow, const DispatchState& aState,
                                const Search& aSearch,
                                const Rejection& aRejection, const Pool& aPool)
{
  // Jitter, so that callers rejected together do not retry together.
  constexpr double kMaxJitter = 0.5;
  const double jitter =
    std::uniform_real_distribution<>(0, kMaxJitter)(mRandom);
  const DispatchFacts& facts = aState.mFacts;
  if (aSearch.AreAllHeldBack()) {
    // Targets at their limit take few of those that return: the rest is for a
    // further copy, which the leader has loaded by then.
    const Duration spread = aSearch.mIsLimited
                              ? std::max(LoadTime(facts), kPauseSpread)
                              : kPauseSpread;
    return std::max(*aSearch.mSendableAt - aNow, kMinRetryAfter) +
           std::chrono::duration_cast<Duration>(jitter * spread);
  }
  if (aSearch.AreAllUnreachable()) {
    return kUnreachableRetryAfter +
           std::chrono::duration_cast<Duration>(jitter * kUnreachableSpread);
  }
  if (!facts.mModel.IsEmpty() && !aSearch.mModelHeld) {
    const bool isLoading =
      aSearch.mReadyAt && *aSearch.mReadyAt + kMaxLoadDelay >= aNow;
    const Duration load =
      isLoading
        ? std::max(*aSearch.mReadyAt - aNow, Duration::zero()) + kResidencyDelay
        : LoadTime(facts);
    return std::clamp(load, kMinRetryAfter, kMaxLoadRetryAfter) +
           std::chrono::duration_cast<Duration>(jitter * kLoadRetrySpread);
  }
  Duration retryAfter = kModelLoadRetryAfter;
  if (aSearch.mAdapterHeld) {
    const double excess = aRejection.mLeastLoad == 0
                            ? 0
                            : aRejection.mLeastLoad - aRejection.mLoadLimit;
    retryAfter = Duration(static_cast<Duration::rep>(
      std::max(excess, 0.0) * static_cast<double>(aPool.mRunTime.count())));
  }
  retryAfter = std::clamp(retryAfter, kMinRetryAfter, kMaxRetryAfter);
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(retryAfter.count()) * (1 + jitter)));
}

DispatchDecision Dispatcher::Refuse(Instant aNow, DispatchState& aState,
                                    const Search& aSearch, const Pool& aPool)
{
  const DispatchFacts& facts = aState.mFacts;
  const bool isSoftwareGone = aState.mSoftware && !aSearch.mSoftwareServes;
  if (aSearch.mHolders == 0 && aSearch.mSettledAt &&
      *aSearch.mSettledAt < facts.mDeadline) {
    GiveBack(aState);
    Withdraw(aState);
    return WaitForCapacity{ *aSearch.mSettledAt, std::nullopt, std::nullopt };
  }
  if (!isSoftwareGone) {
    RecordUnplaced(aNow, aPool, aState);
  }
  const OrderedWait wait = mIsOrdered
                             ? DecideWait(aNow, aState, aSearch, aPool)
                             : OrderedWait{ WaitLimit(aNow, aState, aSearch),
                                            false, false, std::nullopt };
  if (const Instant until = wait.mUntil; !isSoftwareGone && aNow < until) {
    if (const auto it = mUnplaced.find(aState.mUnplaced);
        it != mUnplaced.end()) {
      it->second.mUntil = until + RunTime(aPool, facts);
    }
    if (!wait.mIsRanked) {
      Withdraw(aState);
      return WaitForCapacity{ until, std::nullopt, std::nullopt };
    }
    Enroll(aNow, aPool, aState);
    return WaitForCapacity{ until, wait.mForecast,
                            WaitingRoom::ClassOf(
                              aNow, mWaiting.Get(aState.mWaiter)) };
  }
  GiveBack(aState);
  Withdraw(aState);
  Rejection rejection;
  rejection.mReason = isSoftwareGone
                        ? "no target runs the software that began the stream"
                      : aSearch.AreAllHeldBack()
                        ? (aSearch.mIsLimited ? "all targets are at their limit"
                                              : "all targets want a pause")
                      : aSearch.AreAllUnreachable() ? "no holder can be reached"
                      : wait.mIsHopeless     ? "no capacity before its deadline"
                      : aSearch.mAdapterHeld ? "no target has room"
                      : aSearch.mModelHeld   ? "no target holds the adapter"
                      : facts.mModel.IsEmpty() ? "no target is known"
                      : aSearch.mReadyAt       ? "the model is being loaded"
                                               : "no target holds the model";
  rejection.mHolders = aSearch.mHolders;
  rejection.mIsUnreachable = aSearch.AreAllUnreachable();
  rejection.mLoadLimit = AdmissionLimit(aNow, aPool, facts);
  rejection.mForecast = wait.mForecast;
  // No load is known if all holders are unreachable or were tried before.
  const bool isMeasured =
    aSearch.mLeastLoad < std::numeric_limits<double>::max();
  rejection.mLeastLoad = isMeasured ? aSearch.mLeastLoad : 0;
  rejection.mRetryAfter = RetryAfter(aNow, aState, aSearch, rejection, aPool);
  if (mIsOrdered) {
    rejection.mRetryAfter =
      OrderedRetryAfter(aNow, aState, aSearch, aPool, rejection.mRetryAfter);
  }
  mStats.mRefusedByForecast += wait.mIsHopeless ? 1 : 0;
  ++mStats.mRejected;
  return rejection;
}

} // namespace carobtide
