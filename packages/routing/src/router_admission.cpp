// Admission, queueing and deadlines.
#include "router_impl.hpp"

#include "carobtide/routing/wait_estimate.hpp"

#include <algorithm>
#include <array>
#include <cassert>

namespace carobtide {

namespace {

constexpr Duration kNoCapacityRetryAfter = 1s;
constexpr double kMinRetryAfterSeconds = 1.0;
constexpr double kMaxRetryAfterSeconds = 60.0;
/** Factor on predicted waits when they are compared with a deadline. */
constexpr double kWaitMargin = 1.25;
/** Share of freed slots that batch work is assumed to get. */
constexpr double kBatchSlotShare = 0.5;
/** Share of the time to its deadline after which batch work is promoted. */
constexpr double kBatchPromotionShare = 0.5;
/** Wait after which batch work is promoted at the latest. */
constexpr Duration kBatchPromotionWait = 600s;
constexpr Duration kForgetSilentAfter = 600s;
/** Interval of expiry in the peer, quarantine and target tables. */
constexpr Duration kMaintenanceInterval = 500ms;
/** Interval of dispatch over all routes, which finds slots freed by peers. */
constexpr Duration kFullDrainInterval = 20ms;
/** Added to the interval per queued request, to bound the CPU time. */
constexpr Duration kFullDrainDelayPerRequest = 20us;

constexpr std::array<WorkClass, kWorkClassCount> kClassesByUrgency{
  WorkClass::ShortInteractive, WorkClass::LongInteractive,
  WorkClass::ShortStandard, WorkClass::LongStandard, WorkClass::Batch
};

bool IsBounded(Instant aDeadline)
{
  return aDeadline != Instant::max();
}

} // namespace

Router::Impl::Impl(RouterOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mTargets(mOptions.mFailureDomain)
  , mSelector(mOptions.mPolicy,
              SlotRules{ mOptions.mLongShare, mOptions.mShortReserve,
                         mOptions.mInteractiveOvercommit, mOptions.mDaemons },
              mOptions.mSeed)
  , mQueue(mOptions.mMaxQueued)
  , mRetryBudget(mOptions.mRetryBudget)
  , mHedgeBudget(mOptions.mHedgeBudget)
{
}

void Router::Impl::SetBundle(std::shared_ptr<const Bundle> aBundle)
{
  mBundle = std::move(aBundle);
  if (mBundle != nullptr) {
    mTargets.SetBundle(*mBundle);
    mCallers.SetBundle(*mBundle);
  }
}

RouterEffects Router::Impl::OnAnnouncement(Instant aNow,
                                           const Announcement& aTarget)
{
  RouterEffects effects;
  const TargetUpdate update = mTargets.Apply(aNow, aTarget);
  if (!update.mApplied) {
    return effects;
  }
  const bool wasPending = mCrashDetector.IsPending(update.mIndex);
  ApplyCrashDecision(aNow,
                     update.mRestarted
                       ? mCrashDetector.OnDead(update.mIndex)
                       : mCrashDetector.OnAlive(aNow, update.mIndex),
                     effects);
  // A crash decision may have ended quarantined requests, which frees slots.
  if (update.mRoutesChanged || wasPending) {
    Drain(aNow, update.mIndex, effects);
  }
  return effects;
}

RouterEffects Router::Impl::OnTargetSilent(Instant aNow,
                                           const TargetName& aTarget)
{
  RouterEffects effects;
  const TargetIndex target = mTargets.MarkSilent(aTarget);
  if (target != kNoTarget) {
    ApplyCrashDecision(aNow, mCrashDetector.OnDead(target), effects);
    Drain(aNow, kNoTarget, effects);
  }
  return effects;
}

RouterEffects Router::Impl::Admit(Instant aNow, const RequestFacts& aFacts)
{
  assert(!mRequests.contains(aFacts.mId));
  RouterEffects effects;
  const Suspicion suspicion = mQuarantine.Find(aNow, aFacts.mFingerprint);
  if (suspicion == Suspicion::Quarantined) {
    Refuse(aFacts.mId, ErrorCode::Quarantined, Duration(0),
           "this request has crashed targets", effects);
    return effects;
  }
  const RouteIndex route = FindRoute(aFacts);
  if (route == kNoRoute || mTargets.Targets(route).IsEmpty()) {
    Refuse(aFacts.mId, ErrorCode::NoCapacity, kNoCapacityRetryAfter,
           "no available target holds the model or service", effects);
    return effects;
  }
  const CallerIndex caller = mCallers.Intern(aFacts.mCaller);
  const LimitDecision limit = mCallers.Check(aNow, caller);
  if (!limit.mAllowed && !mOptions.mPlainFifo) {
    Refuse(aFacts.mId, ErrorCode::RateLimited, limit.mRetryAfter,
           "the caller's concurrency or token limit is reached", effects);
    return effects;
  }
  RequestRecord& request = CreateRecord(aNow, aFacts, route, caller);
  if (suspicion == Suspicion::Suspect) {
    QueueSuspect(aNow, request, effects);
    return effects;
  }
  const double wait = mQueue.CountUpTo(route, request.mKey.mClass) > 0
                        ? WaitSeconds(request)
                        : 0.0;
  if (!mOptions.mPlainFifo && !CanMeetDeadlines(aNow, request, wait)) {
    RefuseOrFail(aNow, aFacts.mId, ErrorCode::Overloaded,
                 "the expected wait and run time exceed the deadline", effects);
    return effects;
  }
  if (!EnsureQueueRoom(aNow, request.mKey, effects)) {
    RefuseOrFail(aNow, aFacts.mId, ErrorCode::Overloaded, "the queue is full",
                 effects);
    return effects;
  }
  Enqueue(request, false);
  mDrainRoutes.assign(1, route);
  DrainClass(aNow, request.mKey.mClass, effects);
  return effects;
}

RouterEffects Router::Impl::OnCallerGone(Instant aNow, RequestId aRequest)
{
  RouterEffects effects;
  if (mRequests.contains(aRequest)) {
    EndRequest(aNow, aRequest, effects);
    RunNextSuspect(aNow, effects);
    Drain(aNow, kNoTarget, effects);
  }
  return effects;
}

RouterEffects Router::Impl::Tick(Instant aNow)
{
  RouterEffects effects;
  mLastTick = aNow;
  if (mNextMaintenance <= aNow) {
    mNextMaintenance = aNow + kMaintenanceInterval;
    mPeers.Expire(aNow, mTargets);
    mQuarantine.Expire(aNow);
    mTargets.ForgetSilent(aNow - kForgetSilentAfter);
  }
  for (const CrashDecision& decision : mCrashDetector.Expire(aNow)) {
    ApplyCrashDecision(aNow, decision, effects);
  }
  RunNextSuspect(aNow, effects);
  ObservePendingAttempts(aNow);
  if (mNextFullDrain <= aNow) {
    DropExpired(aNow, effects);
    PromoteBatch(aNow);
    mNextFullDrain =
      aNow + kFullDrainInterval + kFullDrainDelayPerRequest * mQueue.Size();
    Drain(aNow, kNoTarget, effects);
  }
  StartHedges(aNow, effects);
  return effects;
}

RouteIndex Router::Impl::FindRoute(const RequestFacts& aFacts) const
{
  return aFacts.mModel.IsEmpty()
           ? mTargets.FindServiceRoute(aFacts.mService)
           : mTargets.FindModelRoute(aFacts.mModel, aFacts.mAdapter);
}

void Router::Impl::Refuse(RequestId aRequest, ErrorCode aCode,
                          Duration aRetryAfter, std::string_view aDetail,
                          RouterEffects& aEffects)
{
  ++mStats.mRefused;
  aEffects.emplace_back(
    RefuseRequest{ aRequest, aCode, aRetryAfter, std::string(aDetail) });
}

void Router::Impl::RefuseOrFail(Instant aNow, RequestId aRequest,
                                ErrorCode aCode, std::string_view aDetail,
                                RouterEffects& aEffects)
{
  const RequestRecord& request = mRequests.at(aRequest);
  if (request.mAttempts == 0) {
    const Duration retryAfter = RetryAfter(WaitSeconds(request));
    Refuse(aRequest, aCode, retryAfter, aDetail, aEffects);
  } else {
    aEffects.emplace_back(FailRequest{ aRequest, aCode, std::string(aDetail) });
  }
  EndRequest(aNow, aRequest, aEffects);
}

RequestRecord& Router::Impl::CreateRecord(Instant aNow,
                                          const RequestFacts& aFacts,
                                          RouteIndex aRoute,
                                          CallerIndex aCaller)
{
  RequestRecord& request = mRequests[aFacts.mId];
  request.mFacts = aFacts;
  request.mArrivedAt = aNow;
  const RouteStats& stats = StatsOf(aRoute);
  if (aFacts.mModel.IsEmpty()) {
    request.mExpectedSeconds = stats.MeanSeconds();
    request.mKey = { ClassifyWork(aFacts.mPriority, false), aRoute, aCaller };
  } else {
    request.mLengthKey = LengthKey::Of(aFacts.mCaller, aFacts.mModel);
    const LengthEstimate length =
      mLengths.Estimate(request.mLengthKey, aFacts.mMaxTokens);
    request.mExpectedTokens = length.mTokens;
    request.mExpectedSeconds = stats.ExpectedSeconds(length.mTokens);
    request.mKey = { ClassifyWork(aFacts.mPriority, length.mIsLong), aRoute,
                     aCaller };
  }
  ++mStats.mAdmitted;
  mCallers.OnAdmitted(aNow, aCaller, request.mExpectedTokens);
  RecordDemand(aNow, request);
  return request;
}

void Router::Impl::Enqueue(RequestRecord& aRequest, bool aFront)
{
  aRequest.mState = RequestState::Queued;
  mQueue.Push(aRequest.mKey, aRequest.mFacts.mId, aFront);
}

bool Router::Impl::EnsureQueueRoom(Instant aNow, const QueueKey& aKey,
                                   RouterEffects& aEffects)
{
  if (mQueue.HasRoom(aKey.mClass)) {
    return true;
  }
  // Displace from the least urgent class, from the caller with the most queued
  // requests per share.
  for (auto it = kClassesByUrgency.rbegin(); it != kClassesByUrgency.rend();
       ++it) {
    if (*it < aKey.mClass || mQueue.CountOf(*it) == 0) {
      continue;
    }
    mKeys.clear();
    mQueue.ListKeys(*it, kNoRoute, mKeys);
    const auto load = [this](const QueueKey& aIt) {
      return static_cast<double>(mQueue.CountOf(aIt)) /
             mCallers.Share(aIt.mCaller);
    };
    const auto most = std::ranges::max_element(mKeys, {}, load);
    const bool isOwnClass = *it == aKey.mClass;
    const double own = load(aKey) + 1.0 / mCallers.Share(aKey.mCaller);
    if (isOwnClass && load(*most) <= own) {
      return false;
    }
    ++mStats.mDropped;
    RefuseOrFail(aNow, mQueue.Back(*most), ErrorCode::Overloaded,
                 "displaced from a full queue", aEffects);
    return true;
  }
  return false;
}

double Router::Impl::WaitSeconds(const RequestRecord& aRequest) const
{
  const QueueKey& key = aRequest.mKey;
  const RouteStats& stats = StatsOf(key.mRoute);
  WaitInputs inputs;
  inputs.mAhead = mQueue.CountUpTo(key.mRoute, key.mClass);
  inputs.mOwnAhead = mQueue.CountOf(key);
  inputs.mShare = ShareAmongWaiting(key);
  inputs.mInFlight = stats.mInFlight;
  inputs.mMeanSeconds = stats.MeanSeconds();
  inputs.mSlotShare = key.mClass == WorkClass::Batch ? kBatchSlotShare : 1.0;
  return EstimateWaitSeconds(inputs);
}

double Router::Impl::ShareAmongWaiting(const QueueKey& aKey) const
{
  std::vector<QueueKey> keys;
  mQueue.ListKeys(aKey.mClass, aKey.mRoute, keys);
  const double own = mCallers.Share(aKey.mCaller);
  double sum = own;
  for (const QueueKey& it : keys) {
    sum += it.mCaller == aKey.mCaller ? 0.0 : mCallers.Share(it.mCaller);
  }
  return own / sum;
}

bool Router::Impl::CanMeetDeadlines(Instant aNow, const RequestRecord& aRequest,
                                    double aWaitSeconds) const
{
  const RequestFacts& facts = aRequest.mFacts;
  // Estimates come from attempts: with none in flight, admit one to get a new
  // sample.
  if (StatsOf(aRequest.mKey.mRoute).mInFlight == 0) {
    return std::min(facts.mFirstByteDeadline, facts.mDeadline) > aNow;
  }
  const double wait = aWaitSeconds * kWaitMargin;
  if (IsBounded(facts.mFirstByteDeadline)) {
    const double budget = ToSeconds(facts.mFirstByteDeadline - aNow);
    if (wait + ExpectedFirstByte(aRequest) > budget) {
      return false;
    }
  }
  if (IsBounded(facts.mDeadline)) {
    const double budget = ToSeconds(facts.mDeadline - aNow);
    return wait + aRequest.mExpectedSeconds <= budget;
  }
  return true;
}

Duration Router::Impl::RetryAfter(double aWaitSeconds)
{
  constexpr double kJitter = 0.25;
  std::uniform_real_distribution<double> jitter(1.0 - kJitter, 1.0 + kJitter);
  const double seconds =
    std::clamp(aWaitSeconds, kMinRetryAfterSeconds, kMaxRetryAfterSeconds);
  return FromSeconds(seconds * jitter(mRandom));
}

void Router::Impl::Drain(Instant aNow, TargetIndex aTarget,
                         RouterEffects& aEffects)
{
  if (mQueue.Size() == 0) {
    return;
  }
  if (aTarget == kNoTarget) {
    mDrainRoutes.assign(1, kNoRoute);
  } else {
    mDrainRoutes = mTargets.At(aTarget).mRoutes;
    for (const RouteIndex it : mTargets.At(aTarget).mRoutes) {
      mTargets.AppendAdapters(it, mDrainRoutes);
    }
    std::ranges::sort(mDrainRoutes);
    const auto rest = std::unique(mDrainRoutes.begin(), mDrainRoutes.end());
    mDrainRoutes.erase(rest, mDrainRoutes.end());
  }
  for (const WorkClass it : kClassesByUrgency) {
    if (mQueue.CountOf(it) > 0) {
      DrainClass(aNow, it, aEffects);
    }
  }
}

void Router::Impl::DrainClass(Instant aNow, WorkClass aClass,
                              RouterEffects& aEffects)
{
  mKeys.clear();
  for (const RouteIndex it : mDrainRoutes) {
    mQueue.ListKeys(aClass, it, mKeys);
  }
  const PriorityClass priority = PriorityOf(aClass);
  const auto usage = [&](const QueueKey& aKey) {
    return mCallers.Usage(aNow, aKey.mCaller, priority);
  };
  // Lazy priority queue: usage only grows during a pass, so an outdated entry
  // is corrected when it reaches the top.
  mHeap.clear();
  for (const QueueKey& key : mKeys) {
    mHeap.push_back({ usage(key), key });
  }
  std::ranges::make_heap(mHeap, std::ranges::greater{});
  mFullRoutes.clear();
  while (!mHeap.empty()) {
    std::ranges::pop_heap(mHeap, std::ranges::greater{});
    HeapEntry next = mHeap.back();
    mHeap.pop_back();
    const double now = usage(next.mKey);
    const bool isOutdated = now > next.mUsage;
    if (!isOutdated && mFullRoutes.contains(next.mKey.mRoute)) {
      continue;
    }
    if (!isOutdated && !DispatchFront(aNow, next.mKey, aEffects)) {
      // No target of the route has room for the class.
      mFullRoutes.insert(next.mKey.mRoute);
      continue;
    }
    if (mQueue.CountOf(next.mKey) > 0) {
      next.mUsage = isOutdated ? now : usage(next.mKey);
      mHeap.push_back(next);
      std::ranges::push_heap(mHeap, std::ranges::greater{});
    }
  }
}

bool Router::Impl::DispatchFront(Instant aNow, const QueueKey& aKey,
                                 RouterEffects& aEffects)
{
  RequestRecord& request = mRequests.at(mQueue.Front(aKey));
  if (!mOptions.mPlainFifo && !CanMeetDeadlines(aNow, request, 0.0) &&
      request.mArrivedAt < aNow) {
    ++mStats.mDropped;
    RefuseOrFail(aNow, request.mFacts.mId, ErrorCode::Overloaded,
                 "the deadline cannot be met after the wait in the queue",
                 aEffects);
    return true;
  }
  if (mQuarantine.Find(aNow, request.mFacts.mFingerprint) ==
      Suspicion::Suspect) {
    // Became suspect while queued: another request with the same content was
    // in flight at a crash.
    mQueue.Remove(aKey, request.mFacts.mId);
    QueueSuspect(aNow, request, aEffects);
    return true;
  }
  const TargetIndex target = Select(aNow, request);
  if (target == kNoTarget && mTargets.Targets(aKey.mRoute).IsEmpty()) {
    // The route has no target left, so the request would only wait for its
    // deadline.
    ++mStats.mDropped;
    RefuseOrFail(aNow, request.mFacts.mId, ErrorCode::NoCapacity,
                 "the last target that held the model or service is gone",
                 aEffects);
    return true;
  }
  if (target == kNoTarget) {
    return false;
  }
  mQueue.Remove(aKey, request.mFacts.mId);
  const bool isFirst = request.mAttempts == 0;
  Dispatch(aNow, request, target, aEffects);
  if (isFirst) {
    mRetryBudget.OnFirstAttempt();
    mHedgeBudget.OnFirstAttempt();
    StartProbe(aNow, request, aEffects);
  }
  return true;
}

void Router::Impl::DropExpired(Instant aNow, RouterEffects& aEffects)
{
  std::vector<RequestId> expired;
  for (const auto& [id, request] : mRequests) {
    const bool isWaiting = request.mState != RequestState::Running;
    const Instant deadline =
      std::min(request.mFacts.mFirstByteDeadline, request.mFacts.mDeadline);
    if (isWaiting && deadline <= aNow) {
      expired.push_back(id);
    }
  }
  std::ranges::sort(expired);
  for (const RequestId id : expired) {
    ++mStats.mDropped;
    RefuseOrFail(aNow, id,
                 mRequests.at(id).mAttempts == 0 ? ErrorCode::Overloaded
                                                 : ErrorCode::Timeout,
                 "the deadline passed while the request was waiting", aEffects);
  }
}

void Router::Impl::PromoteBatch(Instant aNow)
{
  if (mQueue.CountOf(WorkClass::Batch) == 0) {
    return;
  }
  mKeys.clear();
  mQueue.ListKeys(WorkClass::Batch, kNoRoute, mKeys);
  for (const QueueKey& key : mKeys) {
    RequestRecord& request = mRequests.at(mQueue.Front(key));
    const Duration waited = aNow - request.mArrivedAt;
    Duration patience = kBatchPromotionWait;
    if (IsBounded(request.mFacts.mDeadline)) {
      const double window =
        ToSeconds(request.mFacts.mDeadline - request.mArrivedAt);
      patience = std::min(patience, FromSeconds(window * kBatchPromotionShare));
    }
    if (waited >= patience) {
      mQueue.Remove(key, request.mFacts.mId);
      request.mKey.mClass = WorkClass::ShortStandard;
      Enqueue(request, false);
    }
  }
}

void Router::Impl::RecordDemand(Instant aNow, const RequestRecord& aRequest)
{
  const RequestFacts& facts = aRequest.mFacts;
  if (facts.mModel.IsEmpty()) {
    return;
  }
  const RouteTargets targets = mTargets.Targets(aRequest.mKey.mRoute);
  const auto list = !targets.mLocal.empty()    ? targets.mLocal
                    : !targets.mRemote.empty() ? targets.mRemote
                                               : targets.mFallback;
  const TargetEntry& target = mTargets.At(list.front());
  const double perSlot =
    static_cast<double>(target.mAccelerators) / target.mSlots;
  mDemand[facts.mModel].Add(aNow, aRequest.mExpectedSeconds * perSlot);
}

} // namespace carobtide
