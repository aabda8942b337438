// Requests that may have crashed a target: verdicts, isolated runs and
// quarantine.
#include "router_impl.hpp"

#include <algorithm>
#include <cassert>

namespace carobtide {

namespace {

/** How long the attempts of others on an isolated target are waited for. */
constexpr Duration kDrainPatience = 1s;

} // namespace

RouterEffects Router::Impl::OnCrashReport(Instant aNow,
                                          const CrashReport& aStrike)
{
  mQuarantine.AddStrike(aNow, aStrike);
  return {};
}

RouterEffects Router::Impl::OnQuarantine(Instant aNow,
                                         const Digest& aFingerprint)
{
  RouterEffects effects;
  mQuarantine.MarkQuarantined(aNow, aFingerprint);
  EndQuarantined(aNow, aFingerprint, effects);
  RunSuspects(aNow, effects);
  Drain(aNow, kNoTarget, effects);
  return effects;
}

void Router::Impl::NoteLost(Instant aNow, const AttemptRecord& aAttempt,
                            RequestRecord& aRequest, bool aDelivered,
                            RouterEffects& aEffects)
{
  const TargetEntry& target = mTargets.At(aAttempt.mTarget);
  const bool isSameProcess = target.mIncarnation == aAttempt.mIncarnation;
  mCrashes.OnLost(aNow, aAttempt.mTarget,
                  { aRequest.mFacts.mId, aRequest.mFacts.mFingerprint,
                    aAttempt.mIncarnation });
  if (isSameProcess) {
    mTargets.AwaitWord(aNow, aAttempt.mTarget);
  }
  if (aAttempt.mIsIsolated) {
    // The next suspect waits for the verdict on this one.
    mSuspects.Pause(aNow + CrashWatch::kPatience);
  }
  // The verdict is not waited for: callers would see the pause, and most that
  // were in flight at a crash did not cause it.
  if (aRequest.mRunning.empty()) {
    RetryOrFail(aNow, aRequest, AttemptEnd::ConnectionLost, aDelivered,
                aEffects);
  }
  const bool isDead = target.mSilent || !isSameProcess;
  if (isDead) {
    Apply(aNow, mCrashes.OnDead(aAttempt.mTarget), aEffects);
  }
}

void Router::Impl::Apply(Instant aNow, const CrashVerdict& aVerdict,
                         RouterEffects& aEffects)
{
  if (aVerdict.mLost.empty()) {
    return;
  }
  if (!aVerdict.mCrashed) {
    mSuspects.Pause(aNow);
    return;
  }
  mSuspects.Pause(aNow + SuspectQueue::kPauseAfterCrash);
  std::set<Digest> known;
  for (const LostRequest& it : aVerdict.mLost) {
    const CrashReport strike{ it.mFingerprint,
                              mTargets.At(aVerdict.mTarget).mName,
                              it.mIncarnation };
    if (mQuarantine.HasOtherStrike(aNow, strike)) {
      known.insert(it.mFingerprint);
    }
    if (mQuarantine.AddStrike(aNow, strike)) {
      aEffects.emplace_back(AnnounceCrash{ strike });
    }
  }
  // The only one that was also there at an earlier crash is the cause.
  if (known.size() == 1) {
    Convict(aNow, *known.begin(), aEffects);
  }
}

void Router::Impl::Convict(Instant aNow, const Digest& aFingerprint,
                           RouterEffects& aEffects)
{
  ++mStats.mQuarantined;
  mQuarantine.MarkQuarantined(aNow, aFingerprint);
  aEffects.emplace_back(AnnounceQuarantine{ aFingerprint });
  EndQuarantined(aNow, aFingerprint, aEffects);
}

void Router::Impl::EndQuarantined(Instant aNow, const Digest& aFingerprint,
                                  RouterEffects& aEffects)
{
  std::vector<RequestId> ended;
  for (const auto& [id, request] : mRequests) {
    const bool mayStop =
      request.mFacts.mIdempotent || request.mState != RequestState::Running;
    if (request.mFacts.mFingerprint == aFingerprint && mayStop) {
      ended.push_back(id);
    }
  }
  std::ranges::sort(ended);
  for (const RequestId id : ended) {
    EndUnanswered(aNow, id, ErrorCode::Quarantined,
                  "this request has crashed targets", aEffects);
  }
}

void Router::Impl::MakeSuspect(Instant aNow, RequestRecord& aRequest,
                               RouterEffects& aEffects)
{
  aRequest.mState = RequestState::Suspect;
  if (!mSuspects.Push(aRequest.mFacts.mId, aRequest.mTokens > 0.0)) {
    EndUnanswered(aNow, aRequest.mFacts.mId, ErrorCode::Overloaded,
                  "too many requests wait to run alone", aEffects);
    return;
  }
  RunSuspects(aNow, aEffects);
}

void Router::Impl::RunSuspects(Instant aNow, RouterEffects& aEffects)
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
    const TargetIndex target = ChooseIsolated(aNow, request);
    if (target == kNoTarget) {
      return;
    }
    mTargets.At(target).mExclusive = true;
    mIsolation = Isolation{ *next, target, aNow };
  }
  const TargetEntry& target = mTargets.At(mIsolation->mTarget);
  const bool isClear = target.mOwnInFlight == 0;
  if (!isClear && aNow < mIsolation->mSince + kDrainPatience) {
    return;
  }
  mSuspects.OnDispatched(*next);
  const AttemptId attempt =
    Dispatch(aNow, request, mIsolation->mTarget, aEffects);
  mAttempts.at(attempt).mIsIsolated = true;
}

TargetIndex Router::Impl::ChooseIsolated(Instant aNow,
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
