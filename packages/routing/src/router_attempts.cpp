// Dispatch and end of attempts, and retries.
#include "router_impl.hpp"

#include <algorithm>
#include <cassert>

namespace carobtide {

namespace {

/** Initial time for which a target that refused a connection is avoided. */
constexpr Duration kConnectBackoff = 250ms;
/** Limit of the exponential backoff. */
constexpr std::uint32_t kMaxBackoffDoublings = 4;
/** Limit on the latency ratio of an answer whose length is unknown. */
constexpr double kMaxUnknownLengthRatio = 2.0;
/** Fewest tokens of a report whose timing is used as a latency sample. */
constexpr double kMinTokensPerSample = 1.0;

ErrorCode FailureCode(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::ConnectRefused:
      return ErrorCode::ConnectRefused;
    case AttemptEnd::Rejected:
      return ErrorCode::Overloaded;
    case AttemptEnd::TimedOut:
      return ErrorCode::Timeout;
    default:
      return ErrorCode::ConnectionLost;
  }
}

} // namespace

RouterEffects Router::Impl::OnFirstByte(Instant aNow, AttemptId aAttempt)
{
  RouterEffects effects;
  const auto it = mAttempts.find(aAttempt);
  if (it == mAttempts.end() || it->second.mFirstByteAt.has_value()) {
    return effects;
  }
  AttemptRecord& attempt = it->second;
  RequestRecord& request = mRequests.at(attempt.mRequest);
  const double seconds = ToSeconds(aNow - attempt.mDispatchedAt);
  attempt.mFirstByteAt = aNow;
  attempt.mLastTokensAt = aNow;
  // Met: an attempt that resumes the answer has only the overall deadline.
  request.mFacts.mFirstByteDeadline = request.mFacts.mDeadline;
  if (request.mFacts.mStreaming) {
    LatencyTracker& latency = mTargets.At(attempt.mTarget).mLatency;
    latency.Observe(aNow, seconds / ExpectedFirstByte(request));
    StatsOf(attempt.mRoute).LearnFirstByte(seconds);
  }
  const TargetIndex target = attempt.mTarget;
  const bool isAnyCancelled = request.mRunning.size() > 1;
  CancelOthers(aNow, request, aAttempt, effects);
  ApplyCrashDecision(aNow, mCrashDetector.OnAlive(aNow, target), effects);
  if (isAnyCancelled) {
    Drain(aNow, kNoTarget, effects);
  }
  return effects;
}

void Router::Impl::OnTokens(Instant aNow, AttemptId aAttempt,
                            std::uint32_t aTokens)
{
  const auto it = mAttempts.find(aAttempt);
  if (it == mAttempts.end()) {
    return;
  }
  AttemptRecord& attempt = it->second;
  RequestRecord& request = mRequests.at(attempt.mRequest);
  TargetEntry& target = mTargets.At(attempt.mTarget);
  attempt.mTokens += aTokens;
  request.mTokens = attempt.mTokens;
  if (request.mFacts.mStreaming && attempt.mFirstByteAt.has_value() &&
      aTokens >= kMinTokensPerSample) {
    const double perToken = ToSeconds(aNow - attempt.mLastTokensAt) / aTokens;
    const double expected = StatsOf(attempt.mRoute).TokenSeconds();
    target.mLatency.Observe(aNow, perToken / expected);
  }
  attempt.mLastTokensAt = aNow;
  attempt.mLastReportTokens = std::max(1U, aTokens);
  const bool isOverrun = attempt.mTokens >= mLengths.LongThreshold();
  if (isOverrun && !attempt.mIsLong &&
      request.mKey.mClass != WorkClass::Batch) {
    attempt.mIsLong = true;
    ++target.mOwnLong;
  }
}

RouterEffects Router::Impl::OnFinished(Instant aNow, AttemptId aAttempt,
                                       AttemptEnd aEnd, bool aDelivered)
{
  RouterEffects effects;
  const auto it = mAttempts.find(aAttempt);
  if (it == mAttempts.end()) {
    return effects;
  }
  const AttemptRecord attempt = it->second;
  RequestRecord& request = mRequests.at(attempt.mRequest);
  if (aEnd == AttemptEnd::Whole) {
    LearnFromAnswer(aNow, attempt, request);
  }
  RemoveAttempt(aNow, aAttempt);
  if (aEnd == AttemptEnd::ConnectRefused) {
    // Before the retry, which must not select the same target.
    BackOff(aNow, attempt.mTarget);
  }
  switch (aEnd) {
    case AttemptEnd::Whole:
      mQuarantine.Clear(request.mFacts.mFingerprint);
      mCrashDetector.Forget(attempt.mRequest);
      EndRequest(aNow, attempt.mRequest, effects);
      ApplyCrashDecision(aNow, mCrashDetector.OnAlive(aNow, attempt.mTarget),
                         effects);
      break;
    case AttemptEnd::CallerGone:
      EndRequest(aNow, attempt.mRequest, effects);
      break;
    case AttemptEnd::ConnectionLost:
      HandleLostConnection(aNow, attempt, request, aDelivered, effects);
      break;
    default:
      if (request.mRunning.empty()) {
        RetryOrFail(aNow, request, aEnd, aDelivered, effects);
      }
      break;
  }
  if (aEnd == AttemptEnd::ConnectRefused) {
    ApplyCrashDecision(aNow, mCrashDetector.OnDead(attempt.mTarget), effects);
  }
  RunNextSuspect(aNow, effects);
  Drain(aNow, attempt.mTarget, effects);
  return effects;
}

TargetIndex Router::Impl::Select(Instant aNow, const RequestRecord& aRequest)
{
  SelectionRequest selection;
  selection.mRoute = aRequest.mKey.mRoute;
  selection.mClass = aRequest.mKey.mClass;
  selection.mPrefixHashes = aRequest.mFacts.mPrefixHashes;
  selection.mTried = aRequest.mTried;
  selection.mIgnoreSlots = mOptions.mPlainFifo;
  selection.mWaitedRatio = ToSeconds(aNow - aRequest.mArrivedAt) /
                           std::max(1e-6, aRequest.mExpectedSeconds);
  const TargetIndex fresh =
    mSelector.Choose(aNow, selection, mTargets, mPrefixes);
  if (fresh != kNoTarget || aRequest.mTried.empty() ||
      !aRequest.mRunning.empty()) {
    return fresh;
  }
  // No untried target has room; a target tried before may have recovered.
  selection.mTried = {};
  return mSelector.Choose(aNow, selection, mTargets, mPrefixes);
}

AttemptId Router::Impl::Dispatch(Instant aNow, RequestRecord& aRequest,
                                 TargetIndex aTarget, RouterEffects& aEffects)
{
  assert(aRequest.mFacts.mIdempotent || aRequest.mAttempts == 0);
  const AttemptId id(++mLastAttempt);
  TargetEntry& target = mTargets.At(aTarget);
  const QueueKey& key = aRequest.mKey;
  AttemptRecord& attempt = mAttempts[id];
  attempt.mRequest = aRequest.mFacts.mId;
  attempt.mTarget = aTarget;
  attempt.mRoute = key.mRoute;
  attempt.mIncarnation = target.mIncarnation;
  attempt.mDispatchedAt = aNow;
  attempt.mIsLong = IsLong(key.mClass);
  attempt.mIsHedge = !aRequest.mRunning.empty();
  ++target.mOwnInFlight;
  target.mOwnLong += attempt.mIsLong ? 1 : 0;
  ++StatsOf(key.mRoute).mInFlight;
  ++aRequest.mAttempts;
  aRequest.mState = RequestState::Running;
  aRequest.mTried.push_back(aTarget);
  aRequest.mRunning.push_back(id);
  mCallers.Charge(aNow, key.mCaller, PriorityOf(key.mClass),
                  aRequest.mExpectedSeconds);
  for (const std::uint64_t hash : aRequest.mFacts.mPrefixHashes) {
    mPrefixes.Insert(aNow, aTarget, hash);
  }
  aEffects.emplace_back(
    DispatchAttempt{ aRequest.mFacts.mId, id, target.mName, target.mAddress,
                     attempt.mIsHedge, static_cast<std::uint8_t>(key.mClass) });
  return id;
}

void Router::Impl::RemoveAttempt(Instant aNow, AttemptId aAttempt)
{
  const auto it = mAttempts.find(aAttempt);
  assert(it != mAttempts.end());
  const AttemptRecord attempt = it->second;
  mAttempts.erase(it);
  RequestRecord& request = mRequests.at(attempt.mRequest);
  TargetEntry& target = mTargets.At(attempt.mTarget);
  assert(target.mOwnInFlight > 0);
  --target.mOwnInFlight;
  target.mOwnLong -= attempt.mIsLong ? 1 : 0;
  --StatsOf(attempt.mRoute).mInFlight;
  std::erase(request.mRunning, aAttempt);
  const double actual = ToSeconds(aNow - attempt.mDispatchedAt);
  mCallers.Charge(aNow, request.mKey.mCaller, PriorityOf(request.mKey.mClass),
                  actual - request.mExpectedSeconds);
  if (attempt.mIsIsolated) {
    ReleaseIsolation(attempt.mRequest);
  }
}

void Router::Impl::CancelOthers(Instant aNow, RequestRecord& aRequest,
                                AttemptId aWinner, RouterEffects& aEffects)
{
  const std::vector<AttemptId> running = aRequest.mRunning;
  for (const AttemptId it : running) {
    if (it == aWinner) {
      continue;
    }
    const AttemptRecord& loser = mAttempts.at(it);
    const double seconds = ToSeconds(aNow - loser.mDispatchedAt);
    mTargets.At(loser.mTarget)
      .mLatency.ObservePending(aNow, seconds / ExpectedFirstByte(aRequest));
    RemoveAttempt(aNow, it);
    aEffects.emplace_back(CancelAttempt{ aRequest.mFacts.mId, it });
  }
}

void Router::Impl::EndRequest(Instant aNow, RequestId aRequest,
                              RouterEffects& aEffects)
{
  const auto it = mRequests.find(aRequest);
  assert(it != mRequests.end());
  RequestRecord& request = it->second;
  const std::vector<AttemptId> running = request.mRunning;
  for (const AttemptId attempt : running) {
    RemoveAttempt(aNow, attempt);
    aEffects.emplace_back(CancelAttempt{ aRequest, attempt });
  }
  if (request.mState == RequestState::Queued) {
    mQueue.Remove(request.mKey, aRequest);
  }
  mSuspects.Remove(aRequest);
  ReleaseIsolation(aRequest);
  mCallers.OnEnded(request.mKey.mCaller, request.mExpectedTokens,
                   request.mTokens);
  mRequests.erase(it);
}

void Router::Impl::LearnFromAnswer(Instant aNow, const AttemptRecord& aAttempt,
                                   const RequestRecord& aRequest)
{
  RouteStats& stats = StatsOf(aAttempt.mRoute);
  AttemptTiming timing;
  timing.mWholeSeconds = ToSeconds(aNow - aAttempt.mDispatchedAt);
  timing.mTokens = aAttempt.mTokens;
  const bool isModel = !aRequest.mFacts.mModel.IsEmpty();
  const bool isStreamed =
    aRequest.mFacts.mStreaming && aAttempt.mFirstByteAt.has_value();
  timing.mFirstByteSeconds =
    isStreamed ? ToSeconds(*aAttempt.mFirstByteAt - aAttempt.mDispatchedAt)
               : std::min(stats.FirstByteSeconds(), timing.mWholeSeconds);
  if (!isStreamed) {
    const bool isKnown = !isModel || timing.mTokens > 0.0;
    const double expected = isModel && isKnown
                              ? stats.ExpectedSeconds(timing.mTokens)
                              : stats.MeanSeconds();
    const double ratio = timing.mWholeSeconds / expected;
    mTargets.At(aAttempt.mTarget)
      .mLatency.Observe(
        aNow, isKnown ? ratio : std::min(ratio, kMaxUnknownLengthRatio));
  }
  if (isModel) {
    const double tokens = timing.mTokens > 0.0
                            ? timing.mTokens
                            : timing.mWholeSeconds / stats.TokenSeconds();
    mLengths.Learn(aRequest.mLengthKey, aRequest.mFacts.mPriority, tokens);
  }
  stats.Learn(timing);
  mTargets.At(aAttempt.mTarget).mRefusals = 0;
}

void Router::Impl::BackOff(Instant aNow, TargetIndex aTarget)
{
  TargetEntry& target = mTargets.At(aTarget);
  const std::uint32_t doublings =
    std::min(target.mRefusals, kMaxBackoffDoublings);
  target.mAvoidUntil = aNow + kConnectBackoff * (1U << doublings);
  mTargets.AwaitAnnouncement(aNow, aTarget);
  ++target.mRefusals;
}

void Router::Impl::RetryOrFail(Instant aNow, RequestRecord& aRequest,
                               AttemptEnd aEnd, bool aDelivered,
                               RouterEffects& aEffects)
{
  // A refused connection puts no load on its target, so it neither uses the
  // retry budget nor counts as an attempt. The backoff limits how often it
  // happens.
  const bool isConnectRefused = aEnd == AttemptEnd::ConnectRefused;
  if (isConnectRefused) {
    ++aRequest.mRefusedConnects;
  }
  const std::uint32_t counted = aRequest.mAttempts - aRequest.mRefusedConnects;
  // Without a reachable target the request fails at once.
  const bool mayRetry = aRequest.mFacts.mIdempotent && !aDelivered &&
                        counted < mOptions.mMaxAttempts &&
                        aRequest.mFacts.mDeadline > aNow &&
                        mTargets.HasReachable(aNow, aRequest.mKey.mRoute);
  if (mayRetry && (isConnectRefused || mRetryBudget.Take())) {
    ++mStats.mRetries;
    Requeue(aNow, aRequest, aEffects);
    return;
  }
  Fail(aNow, aRequest.mFacts.mId, FailureCode(aEnd), kAttemptEnds.Name(aEnd),
       aEffects);
}

void Router::Impl::Requeue(Instant aNow, RequestRecord& aRequest,
                           RouterEffects& aEffects)
{
  const Suspicion suspicion =
    mQuarantine.Find(aNow, aRequest.mFacts.mFingerprint);
  if (suspicion == Suspicion::Suspect) {
    QueueSuspect(aNow, aRequest, aEffects);
  } else {
    Enqueue(aRequest, true);
  }
}

void Router::Impl::Fail(Instant aNow, RequestId aRequest, ErrorCode aCode,
                        std::string_view aDetail, RouterEffects& aEffects)
{
  aEffects.emplace_back(FailRequest{ aRequest, aCode, std::string(aDetail) });
  EndRequest(aNow, aRequest, aEffects);
}

double Router::Impl::ExpectedFirstByte(const RequestRecord& aRequest) const
{
  const RouteStats& stats = StatsOf(aRequest.mKey.mRoute);
  return aRequest.mFacts.mStreaming ? stats.FirstByteSeconds()
                                    : aRequest.mExpectedSeconds;
}

RouteStats& Router::Impl::StatsOf(RouteIndex aRoute)
{
  if (aRoute >= mRouteStats.size()) {
    mRouteStats.resize(aRoute + 1);
  }
  return mRouteStats[aRoute];
}

const RouteStats& Router::Impl::StatsOf(RouteIndex aRoute) const
{
  static const RouteStats kUnknown;
  return aRoute < mRouteStats.size() ? mRouteStats[aRoute] : kUnknown;
}

} // namespace carobtide
