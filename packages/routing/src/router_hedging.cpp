// Hedges of late answers, and probes of shunned targets.
#include "router_impl.hpp"

#include <algorithm>
#include <unordered_map>

namespace carobtide {

namespace {

constexpr Duration kLeastHedgeDelay = 20ms;
/** Hedges without room for them that one tick tries. */
constexpr std::size_t kMostHedgeFailures = 16;
/** Times its expected time that an unstreamed answer is waited for. */
constexpr double kWholeHedgeFactor = 2.5;
/** A lone late attempt counts against its target from this ratio on. */
constexpr double kLoneLateRatio = 3.0;
/** A shorter pause within a stream is ordinary. */
constexpr double kLeastStallSeconds = 0.1;

/** The two latest attempts of a target. */
struct Lateness
{
  double mWorst = 0.0;
  double mSecond = 0.0;
  bool mIsWorstStreamed = false;
};

} // namespace

void Router::Impl::NotePending(Instant aNow)
{
  std::unordered_map<TargetIndex, Lateness> late;
  for (const auto& [id, attempt] : mAttempts) {
    const RequestRecord& request = mRequests.at(attempt.mRequest);
    const double ratio = LatenessOf(aNow, attempt, request);
    Lateness& row = late[attempt.mTarget];
    if (ratio > row.mWorst) {
      row.mSecond = row.mWorst;
      row.mWorst = ratio;
      row.mIsWorstStreamed = request.mFacts.mStreaming;
    } else {
      row.mSecond = std::max(row.mSecond, ratio);
    }
  }
  for (const auto& [index, row] : late) {
    // One late answer may just be long; a late first byte of a stream, or
    // two late answers, point at the target.
    const bool isLone = row.mIsWorstStreamed && row.mWorst >= kLoneLateRatio;
    const double ratio = isLone ? row.mWorst : row.mSecond;
    if (ratio > 1.0) {
      mTargets.At(index).mLatency.ObservePending(aNow, ratio);
    }
  }
}

double Router::Impl::LatenessOf(Instant aNow, const AttemptRecord& aAttempt,
                                const RequestRecord& aRequest) const
{
  if (!aAttempt.mFirstByteAt.has_value()) {
    return ToSeconds(aNow - aAttempt.mDispatchedAt) /
           ExpectedFirstByte(aRequest);
  }
  if (!aRequest.mFacts.mStreaming || aAttempt.mTokens <= 0.0) {
    return 0.0;
  }
  const double stalled = ToSeconds(aNow - aAttempt.mTokensAt);
  const double expected =
    StatsOf(aAttempt.mRoute).TokenSeconds() * aAttempt.mChunk;
  return stalled < kLeastStallSeconds ? 0.0 : stalled / expected;
}

void Router::Impl::StartHedges(Instant aNow, RouterEffects& aEffects)
{
  if (mOptions.mPlainFifo) {
    return;
  }
  std::vector<RequestId> due;
  for (const auto& [id, attempt] : mAttempts) {
    const RequestRecord& request = mRequests.at(attempt.mRequest);
    if (!attempt.mFirstByteAt.has_value() && MayHedge(request) &&
        attempt.mDispatchedAt + HedgeDelay(aNow, request) <= aNow) {
      due.push_back(attempt.mRequest);
    }
  }
  std::ranges::sort(due);
  std::size_t failures = 0;
  for (const RequestId id : due) {
    RequestRecord& request = mRequests.at(id);
    const TargetIndex target = Select(aNow, request);
    if (target == kNoTarget) {
      if (++failures >= kMostHedgeFailures) {
        return;
      }
      continue;
    }
    if (!mHedgeBudget.Take()) {
      return;
    }
    ++mStats.mHedges;
    Dispatch(aNow, request, target, aEffects);
  }
}

bool Router::Impl::MayHedge(const RequestRecord& aRequest) const
{
  const WorkClass work = aRequest.mKey.mClass;
  const bool isUrgent =
    work == WorkClass::ShortInteractive || work == WorkClass::ShortStandard;
  return isUrgent && aRequest.mFacts.mIdempotent &&
         aRequest.mState == RequestState::Running &&
         aRequest.mRunning.size() == 1 &&
         aRequest.mAttempts < mOptions.mMaxAttempts &&
         !mAttempts.at(aRequest.mRunning.front()).mIsIsolated;
}

Duration Router::Impl::HedgeDelay(Instant aNow,
                                  const RequestRecord& aRequest) const
{
  const RouteStats& stats = StatsOf(aRequest.mKey.mRoute);
  const AttemptRecord& attempt = mAttempts.at(aRequest.mRunning.front());
  const double slowness = mTargets.At(attempt.mTarget).Slowness(aNow);
  if (slowness >= TargetSelector::kSlowThreshold) {
    // The target is known to be slow: waiting on gains nothing.
    return kLeastHedgeDelay;
  }
  const double seconds = aRequest.mFacts.mStreaming
                           ? stats.LateFirstByteSeconds()
                           : kWholeHedgeFactor * aRequest.mExpectedSeconds;
  return std::max(kLeastHedgeDelay, FromSeconds(seconds));
}

void Router::Impl::StartProbe(Instant aNow, RequestRecord& aRequest,
                              RouterEffects& aEffects)
{
  if (mOptions.mPlainFifo || !MayHedge(aRequest)) {
    return;
  }
  SelectionRequest selection;
  selection.mRoute = aRequest.mKey.mRoute;
  selection.mTried = aRequest.mTried;
  const TargetIndex target = mSelector.FindProbe(aNow, selection, mTargets);
  if (target == kNoTarget || !mHedgeBudget.Take()) {
    return;
  }
  ++mStats.mProbes;
  mTargets.At(target).mProbedAt = aNow;
  Dispatch(aNow, aRequest, target, aEffects);
}

} // namespace carobtide
