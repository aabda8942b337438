// Hedged attempts for late answers, and probes of slow targets.
#include "router_impl.hpp"

#include <algorithm>
#include <unordered_map>

namespace carobtide {

namespace {

constexpr Duration kMinHedgeDelay = 20ms;
/** Failed target selections for hedges after which a tick stops. */
constexpr std::size_t kMaxHedgeFailures = 16;
/** Multiple of its expected time after which an unstreamed answer is hedged. */
constexpr double kUnstreamedHedgeFactor = 2.5;
/** Lateness from which a single late stream counts against its target. */
constexpr double kSingleLateRatio = 3.0;
/** Shorter pauses within a stream are not counted as late. */
constexpr double kMinStallSeconds = 0.1;

/** Lateness of the two attempts of a target that are most overdue. */
struct Lateness
{
  double mWorst = 0.0;
  double mSecond = 0.0;
  bool mIsWorstStreamed = false;
};

} // namespace

void Router::Impl::ObservePendingAttempts(Instant aNow)
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
    // A single late answer may only be long. A very late stream or two late
    // answers indicate a slow target.
    const bool isSingle =
      row.mIsWorstStreamed && row.mWorst >= kSingleLateRatio;
    const double ratio = isSingle ? row.mWorst : row.mSecond;
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
  const double stalled = ToSeconds(aNow - aAttempt.mLastTokensAt);
  const double expected =
    StatsOf(aAttempt.mRoute).TokenSeconds() * aAttempt.mLastReportTokens;
  return stalled < kMinStallSeconds ? 0.0 : stalled / expected;
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
      if (++failures >= kMaxHedgeFailures) {
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
    // The target is known to be slow, so a longer wait gains nothing.
    return kMinHedgeDelay;
  }
  const double seconds = aRequest.mFacts.mStreaming
                           ? stats.LateFirstByteSeconds()
                           : kUnstreamedHedgeFactor * aRequest.mExpectedSeconds;
  return std::max(kMinHedgeDelay, FromSeconds(seconds));
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
