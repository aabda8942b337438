// Requests that wait for capacity in the order of their ranks, see WaitingRoom.
#include "carobtide/routing/dispatcher.hpp"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace carobtide {

namespace {

/** The expected run time counts for at most the objective / divisor. */
constexpr int kMaxRunDivisor = 2;
/** Run times vary: a late request is sent so many mean ones before its end. */
constexpr double kRunMargin = 1.5;
/** Late requests are sent to targets with a free slot only. */
constexpr double kLateLoadLimit = 1.0;
/** Share of its slack that a request may spend in a target's queue. */
constexpr double kQueueShare = 0.6;
/**
 * Bound of the random part of a target's score, in units of load. Without it
 * 77 daemons queue at the least loaded targets for twice the run time; 0.4 left
 * a mean queue of 0.6 s at a run time of 0.5 s, 0.7 leaves 0.44 s.
 */
constexpr double kSpreadPerDaemon = 0.01;
constexpr double kMaxSpread = 0.7;
/** A late request is forecast anew after this time. */
constexpr Duration kForecastInterval = std::chrono::milliseconds(500);
/** All targets are looked at this often if no total arrives. */
constexpr Duration kScanInterval = std::chrono::milliseconds(100);
/** Offers that are made again in one round because nobody could use them. */
constexpr std::uint32_t kMaxReoffers = 4;
/** A caller honours a delay up to this part of the time that it has left. */
constexpr int kMaxReturnDivisor = 3;
/** Callers with hardly any time left do not return at once, again and again. */
constexpr Duration kMinBoundedReturn = std::chrono::milliseconds(20);
constexpr Duration kMinReturn = std::chrono::milliseconds(200);
/** Bounds of the jitter, as factors of a delay. */
constexpr double kMinReturnFactor = 0.75;
constexpr double kMaxReturnFactor = 1.25;
/** The same for a delay at its bound. */
constexpr double kMinBoundFactor = 0.6;

Duration Scale(Duration aTime, double aFactor)
{
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

void Dispatcher::SetUnevenTargets(bool aAreUneven)
{
  mAreTargetsUneven = aAreUneven;
  UpdateOrder();
}

void Dispatcher::UpdateOrder()
{
  mIsOrdered =
    mOptions.mWaitingOrder == WaitingOrder::Slack ||
    (mOptions.mWaitingOrder == WaitingOrder::Automatic && mAreTargetsUneven);
}

WaitingRequest Dispatcher::MakeWaiting(const Pool& aPool,
                                       const DispatchFacts& aFacts)
{
  const Duration run = RunTime(aPool, aFacts);
  const Duration toObjective =
    std::min(IsStream(aFacts.mKind) ? aPool.mFirstByte : run,
             aFacts.mObjective / kMaxRunDivisor);
  WaitingRequest request;
  request.mService = aFacts.mService;
  request.mModel = aFacts.mModel;
  request.mOrganisation = aFacts.mOrganisation;
  request.mPriority = aFacts.mPriority;
  request.mIsTolerant = aFacts.IsLatencyTolerant();
  request.mObjective = aFacts.mObjective;
  request.mInTimeUntil = aFacts.Due() - toObjective;
  request.mServableUntil = aFacts.mDeadline == Instant::max()
                             ? request.mInTimeUntil
                             : aFacts.mDeadline - Scale(run, kRunMargin);
  request.mTokens = aFacts.mPromptTokens + aFacts.mAnswerTokens;
  return request;
}

double Dispatcher::AdmissionLimit(Instant aNow, const Pool& aPool,
                                  const DispatchFacts& aFacts) const
{
  const double limit = LoadLimit(aPool, aFacts);
  if (!mIsOrdered) {
    return limit;
  }
  const Duration slack = MakeWaiting(aPool, aFacts).mInTimeUntil - aNow;
  if (slack <= Duration::zero()) {
    return std::min(limit, kLateLoadLimit);
  }
  // A target with more requests than slots works off one load in a run time.
  return std::min(limit,
                  1.0 + kQueueShare * static_cast<double>(slack.count()) /
                          static_cast<double>(RunTime(aPool, aFacts).count()));
}

double Dispatcher::OrderedPenalty(const DispatchState& aState,
                                  const TargetName& aTarget)
{
  if (!mIsOrdered || mDaemons <= 1 || aState.mOffered == aTarget) {
    return 0;
  }
  return (aState.mOffered ? kMaxSpread : 0) +
         std::uniform_real_distribution<>(0, OrderedSpread())(mRandom);
}

double Dispatcher::OrderedSpread() const
{
  return mIsOrdered && mDaemons > 1
           ? std::min(kSpreadPerDaemon * static_cast<double>(mDaemons),
                      kMaxSpread)
           : 0;
}

void Dispatcher::ResolveOffer(DispatchState& aState)
{
  aState.mOffered.reset();
  const auto offer = mOffers.find(aState.mWaiter);
  if (aState.mWaiter == 0 || offer == mOffers.end()) {
    return;
  }
  aState.mOffered = offer->second;
  mOffers.erase(offer);
  if (const auto target = mTargets.find(*aState.mOffered);
      target != mTargets.end()) {
    target->second.mOffered -= std::min(target->second.mOffered, 1U);
  }
}

void Dispatcher::GiveBack(DispatchState& aState)
{
  if (!aState.mOffered) {
    return;
  }
  if (const auto target = mTargets.find(*aState.mOffered);
      target != mTargets.end() && mReoffers < kMaxReoffers) {
    ++mReoffers;
    target->second.mCapacity.OnUnused();
    mFreed.push_back(*aState.mOffered);
  }
  aState.mOffered.reset();
}

void Dispatcher::Withdraw(DispatchState& aState)
{
  if (aState.mWaiter == 0) {
    return;
  }
  // An offer that is open now was made after the last call of Choose.
  if (mOffers.contains(aState.mWaiter)) {
    ResolveOffer(aState);
    GiveBack(aState);
  }
  mWaitingFacts.erase(aState.mWaiter);
  mWaiting.Remove(std::exchange(aState.mWaiter, 0));
}

bool Dispatcher::IsOutranked(Instant aNow, const Pool& aPool,
                             const DispatchState& aState)
{
  return mIsOrdered && !aState.mSoftware &&
         mWaiting.HasBetter(aNow, MakeWaiting(aPool, aState.mFacts),
                            aState.mWaiter);
}

void Dispatcher::OnOrderedSend(Instant aNow, const Pool& aPool,
                               DispatchState& aState)
{
  aState.mOffered.reset();
  Withdraw(aState);
  if (!mIsOrdered) {
    return;
  }
  const DispatchFacts& facts = aState.mFacts;
  mForecast.OnSent(aNow, facts.mService, facts.mModel);
  const auto pace = aPool.mModelTokenMicros.find(facts.mModel);
  const double micros =
    pace == aPool.mModelTokenMicros.end() ? aPool.mTokenMicros : pace->second;
  const double tokens = 1.0 + facts.mPromptTokens + facts.mAnswerTokens;
  mWaiting.OnUsed(aNow, facts.mOrganisation,
                  tokens * (micros > 0 ? micros : 1.0));
}

void Dispatcher::Enroll(Instant aNow, const Pool& aPool, DispatchState& aState)
{
  if (aState.mWaiter == 0) {
    aState.mWaiter = mWaiting.Add(aNow, MakeWaiting(aPool, aState.mFacts));
    mWaitingFacts.emplace(aState.mWaiter, aState.mFacts);
    return;
  }
  mWaiting.Return(aState.mWaiter);
  GiveBack(aState);
}

void Dispatcher::OfferAt(Instant aNow, Target& aTarget,
                         std::vector<WaiterId>& aOffered)
{
  const Heartbeat& last = aTarget.mState.mLast;
  if (!aTarget.mState.TakesWork() || aTarget.mLeaves || !IsReachable(aTarget) ||
      SendableAt(aNow, aTarget) > aNow) {
    return;
  }
  std::vector<ModelName> models;
  if (last.mEngine) {
    std::ranges::transform(aTarget.mState.mModels, std::back_inserter(models),
                           &HeldModel::mName);
  } else {
    models.emplace_back();
  }
  const Pool& pool = PoolOf(last.mService);
  while (const auto best = mWaiting.Best(aNow, last.mService, models)) {
    const DispatchFacts& facts = mWaitingFacts.at(*best);
    const TargetRate& rate = pool.mRates.Of(aTarget.mKey);
    const double limit = LimitAt(AdmissionLimit(aNow, pool, facts), rate);
    KnownLoad load = KnownLoadAt(aNow, aTarget);
    load.mOwn += aTarget.mOffered;
    if (aTarget.mCapacity.Available(load, limit, mTakenPart.Current(mDaemons),
                                    mRandom) == 0 ||
        pool.mRates.IsBarred(aNow, aTarget.mKey, IsRepeatable(facts.mKind)) ||
        ExceedsPrefillLimit(pool, facts, LoadAt(aNow, aTarget), rate)) {
      return;
    }
    aTarget.mCapacity.OnOffered();
    ++aTarget.mOffered;
    mWaiting.Offer(*best);
    mOffers[*best] = last.mTarget;
    aOffered.push_back(*best);
  }
}

void Dispatcher::AdaptTakenPart(Instant aNow)
{
  if (mIncludedReport <= mPartReport) {
    return;
  }
  mPartReport = mReportSequence;
  double free = 0;
  double excess = 0;
  for (const auto& [name, target] : mTargets) {
    if (target.mState.TakesWork() && IsReachable(target)) {
      const KnownLoad load = KnownLoadAt(aNow, target);
      const double left =
        static_cast<double>(load.mSlots) - load.mOwn - load.mOthers;
      free += std::max(left, 0.0);
      excess += std::max(-left, 0.0);
    }
  }
  mTakenPart.OnTotal(free, excess, mDaemons);
}

std::vector<WaiterId> Dispatcher::TakeOffers(Instant aNow)
{
  std::vector<WaiterId> offered;
  const std::vector<TargetName> freed = std::exchange(mFreed, {});
  if (!mIsOrdered || mWaiting.IsEmpty()) {
    return offered;
  }
  if (mIsScanDue || aNow - mScannedAt >= kScanInterval) {
    mIsScanDue = false;
    mScannedAt = aNow;
    mReoffers = 0;
    mWaiting.BeginRound(aNow);
    AdaptTakenPart(aNow);
    for (auto& [name, target] : mTargets) {
      OfferAt(aNow, target, offered);
    }
    return offered;
  }
  for (const TargetName& name : freed) {
    if (const auto target = mTargets.find(name); target != mTargets.end()) {
      OfferAt(aNow, target->second, offered);
    }
  }
  return offered;
}

WaitForecast::Ahead Dispatcher::AheadOf(Instant aNow,
                                        const WaitingRequest& aRequest,
                                        bool aIsWaiting)
{
  WaitForecast::Ahead ahead{ mWaiting.CountAhead(aNow, aRequest, true),
                             mWaiting.CountAhead(aNow, aRequest, false) };
  if (aIsWaiting) {
    // Its place among its equals is not known: in the middle on average.
    ahead.mOfModel /= 2;
    ahead.mOfService /= 2;
  }
  return ahead;
}

Dispatcher::OrderedWait Dispatcher::DecideWait(Instant aNow,
                                               const DispatchState& aState,
                                               const Search& aSearch,
                                               const Pool& aPool)
{
  OrderedWait wait;
  const DispatchFacts& facts = aState.mFacts;
  const bool isCapacityKnown = !aState.mSoftware && !aSearch.AreAllHeldBack();
  const bool isServable = (aSearch.mModelHeld || aSearch.mAdapterHeld) &&
                          !aSearch.AreAllUnreachable();
  const bool isTolerant = facts.IsLatencyTolerant();
  if (!isCapacityKnown || (!isServable && !isTolerant) ||
      (!isServable && facts.mModel.IsEmpty() && !aSearch.AreAllUnreachable())) {
    wait.mUntil = WaitLimit(aNow, aState, aSearch);
    return wait;
  }
  const WaitingRequest request = MakeWaiting(aPool, facts);
  wait.mIsRanked = true;
  if (!isServable) {
    wait.mUntil = request.mInTimeUntil;
    return wait;
  }
  wait.mForecast = mForecast.Wait(aNow, facts.mService, facts.mModel,
                                  AheadOf(aNow, request, aState.mWaiter != 0));
  if (wait.mForecast && aNow + *wait.mForecast > request.mServableUntil) {
    wait.mIsHopeless = true;
    return wait;
  }
  wait.mUntil = aNow < request.mInTimeUntil
                  ? request.mInTimeUntil
                  : std::min(request.mServableUntil, aNow + kForecastInterval);
  return wait;
}

Duration Dispatcher::OrderedRetryAfter(Instant aNow,
                                       const DispatchState& aState,
                                       const Search& aSearch, const Pool& aPool,
                                       Duration aUsual)
{
  const DispatchFacts& facts = aState.mFacts;
  Duration retryAfter = aUsual;
  if (aSearch.mAdapterHeld && !aSearch.AreAllHeldBack() &&
      !aSearch.AreAllUnreachable()) {
    const auto forecast =
      mForecast.Return(aNow, facts.mService, facts.mModel,
                       AheadOf(aNow, MakeWaiting(aPool, facts), false));
    if (forecast) {
      retryAfter = std::max(
        Scale(*forecast, std::uniform_real_distribution<>(
                           kMinReturnFactor, kMaxReturnFactor)(mRandom)),
        kMinReturn);
    }
    mForecast.OnRefused(aNow, facts.mService, facts.mModel);
  }
  if (facts.mDeadline != Instant::max()) {
    const Duration bound = (facts.mDeadline - aNow) / kMaxReturnDivisor;
    if (retryAfter > bound) {
      retryAfter =
        Scale(std::max(bound, kMinBoundedReturn),
              std::uniform_real_distribution<>(kMinBoundFactor, 1)(mRandom));
    }
  }
  return retryAfter;
}

} // namespace carobtide
