// Requests that may have crashed a target: crash decisions, isolated runs and
// quarantine.
#include "router_impl.hpp"

#include <algorithm>
#include <cassert>

namespace carobtide {

namespace {

/** Maximum wait for other attempts on a target before an isolated run. */
constexpr Duration kIsolationDrainTimeout = 1s;

} // namespace

RouterEffects Router::Impl::OnCrashReport(Instant aNow,
                                          const CrashReport& aReport)
{
  mQuarantine.AddCrash(aNow, aReport);
  return {};
}

RouterEffects Router::Impl::OnQuarantine(Instant aNow,
                                         const Digest& aFingerprint)
{
  RouterEffects effects;
  mQuarantine.MarkQuarantined(aNow, aFingerprint);
  EndQuarantinedRequests(aNow, aFingerprint, effects);
  RunNextSuspect(aNow, effects);
  Drain(aNow, kNoTarget, effects);
  return effects;
}

void Router::Impl::HandleLostConnection(Instant aNow,
                                        const AttemptRecord& aAttempt,
                                        RequestRecord& aRequest,
                                        bool aDelivered,
                                        RouterEffects& aEffects)
{
  const TargetEntry& target = mTargets.At(aAttempt.mTarget);
  const bool isSameProcess = target.mIncarnation == aAttempt.mIncarnation;
  mCrashDetector.OnConnectionLost(aNow, aAttempt.mTarget,
                                  { aRequest.mFacts.mId,
                                    aRequest.mFacts.mFingerprint,
                                    aAttempt.mIncarnation });
  if (isSameProcess) {
    mTargets.AwaitAnnouncement(aNow, aAttempt.mTarget);
  }
  if (aAttempt.mIsIsolated) {
    // The next suspect waits for the crash decision on this one.
    mSuspects.Pause(aNow + CrashDetector::kDecisionTimeout);
  }
  // Retry without waiting for the crash decision: callers would notice the
  // delay, and most requests in flight at a crash did not cause it.
  if (aRequest.mRunning.empty()) {
    RetryOrFail(aNow, aRequest, AttemptEnd::ConnectionLost, aDelivered,
                aEffects);
  }
  const bool isDead = target.mSilent || !isSameProcess;
  if (isDead) {
    ApplyCrashDecision(aNow, mCrashDetector.OnDead(aAttempt.mTarget), aEffects);
  }
}

void Router::Impl::ApplyCrashDecision(Instant aNow,
                                      const CrashDecision& aDecision,
                                      RouterEffects& aEffects)
{
  if (aDecision.mLost.empty()) {
    return;
  }
  if (!aDecision.mCrashed) {
    mSuspects.Pause(aNow);
    return;
  }
  mSuspects.Pause(aNow + SuspectQueue::kPauseAfterCrash);
  std::set<Digest> repeated;
  for (const LostRequest& it : aDecision.mLost) {
    const CrashReport report{ it.mFingerprint,
                              mTargets.At(aDecision.mTarget).mName,
                              it.mIncarnation };
    if (mQuarantine.HasOtherCrash(aNow, report)) {
      repeated.insert(it.mFingerprint);
    }
    if (mQuarantine.AddCrash(aNow, report)) {
      aEffects.emplace_back(AnnounceCrash{ report });
    }
  }
  // The cause is the only content that was also in flight at an earlier crash.
  if (repeated.size() == 1) {
    QuarantineContent(aNow, *repeated.begin(), aEffects);
  }
}

void Router::Impl::QuarantineContent(Instant aNow, const Digest& aFingerprint,
                                     RouterEffects& aEffects)
{
  ++mStats.mQuarantined;
  mQuarantine.MarkQuarantined(aNow, aFingerprint);
  aEffects.emplace_back(AnnounceQuarantine{ aFingerprint });
  EndQuarantinedRequests(aNow, aFingerprint, aEffects);
}

void Router::Impl::EndQuarantinedRequests(Instant aNow,
                                          const Digest& aFingerprint,
                                          RouterEffects& aEffects)
{
  std::vector<RequestId> ended;
  for (const auto& [id, request] : mRequests) {
    const bool mayEnd =
      request.mFacts.mIdempotent || request.mState != RequestState::Running;
    if (request.mFacts.mFingerprint == aFingerprint && mayEnd) {
      ended.push_back(id);
    }
  }
  std::ranges::sort(ended);
  for (const RequestId id : ended) {
    RefuseOrFail(aNow, id, ErrorCode::Quarantined,
                 "this request has crashed targets", aEffects);
  }
}

void Router::Impl::QueueSuspect(Instant aNow, RequestRecord& aRequest,
                                RouterEffects& aEffects)
{
  aRequest.mState = RequestState::Suspect;
  if (!mSuspects.Push(aRequest.mFacts.mId, aRequest.mTokens > 0.0)) {
    RefuseOrFail(aNow, aRequest.mFacts.mId, ErrorCode::Overloaded,
                 "too many suspect requests are waiting", aEffects);
    return;
  }
  RunNextSuspect(aNow, aEffects);
}

void Router::Impl::RunNextSuspect(Instant aNow, RouterEffects& aEffects)
{
  const std::optional<RequestId> next = mSuspects.Next(aNow);
  if (!next.has_value()) {
    return;
  }
  RequestRecord& request = mRequests.at(*next);
  if (mIsolation.has_value() &&
      (mIsolation->mRequest != *next ||
       !mTargets.At(mIsolation->mTarget).TakesWork())) {
    ReleaseIsolation(mIsolation->mRequest);
  }
  if (!mIsolation.has_value()) {
    const TargetIndex target = SelectIsolationTarget(aNow, request);
    if (target == kNoTarget) {
      return;
    }
    mTargets.At(target).mExclusive = true;
    mIsolation = Isolation{ *next, target, aNow };
  }
  const TargetEntry& target = mTargets.At(mIsolation->mTarget);
  const bool isClear = target.mOwnInFlight == 0;
  if (!isClear && aNow < mIsolation->mSince + kIsolationDrainTimeout) {
    return;
  }
  mSuspects.OnDispatched(*next);
  const AttemptId attempt =
    Dispatch(aNow, request, mIsolation->mTarget, aEffects);
  mAttempts.at(attempt).mIsIsolated = true;
}

TargetIndex Router::Impl::SelectIsolationTarget(Instant aNow,
                                                const RequestRecord& aRequest)
{
  const RouteTargets lists = mTargets.Targets(aRequest.mKey.mRoute);
  TargetIndex best = kNoTarget;
  std::uint32_t least = 0;
  for (const auto& list : { lists.mLocal, lists.mRemote, lists.mFallback }) {
    for (const TargetIndex it : list) {
      const TargetEntry& target = mTargets.At(it);
      const std::uint32_t load = target.mOwnInFlight + target.mPeerInFlight;
      if (target.IsReachable(aNow) && (best == kNoTarget || load < least)) {
        best = it;
        least = load;
      }
    }
  }
  return best;
}

void Router::Impl::ReleaseIsolation(RequestId aRequest)
{
  mSuspects.Release(aRequest);
  if (mIsolation.has_value() && mIsolation->mRequest == aRequest) {
    mTargets.At(mIsolation->mTarget).mExclusive = false;
    mIsolation.reset();
  }
}

} // namespace carobtide
