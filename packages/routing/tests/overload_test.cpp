#include "../benchmark/workload.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;
using namespace carobtide::model;

namespace {

constexpr double kDuration = 40.0;

/** What one run of the model gave. */
struct Run
{
  /** Answers within their deadline, and their tokens, per second. */
  double mGoodput = 0.0;
  double mGoodTokens = 0.0;
  double mInteractiveGood = 0.0;
  double mDispatchesPerAnswer = 0.0;
  /** Share of answers within the deadline after the overload ended. */
  double mGoodAfter = 0.0;
  std::uint32_t mPeakLoad = 0;
  bool mIsEachEndedOnce = true;
  bool mIsRefusedNeverRun = true;
};

struct Load
{
  double mLoad = 1.0;
  /** Seconds of overload; the rest runs at 60 %. */
  double mUntil = kDuration;
  double mInteractiveShare = 0.55;
};

bool IsGood(const Outcome& aOutcome)
{
  if (aOutcome.mTotalLatency < 0.0) {
    return false;
  }
  switch (aOutcome.mPriority) {
    case PriorityClass::Interactive:
      return (aOutcome.mIsStreaming ? aOutcome.mFirstByte
                                    : aOutcome.mTotalLatency) <= 5.0;
    case PriorityClass::Standard:
      return (aOutcome.mIsStreaming ? aOutcome.mFirstByte
                                    : aOutcome.mTotalLatency) <= 30.0;
    default:
      return aOutcome.mTotalLatency <= 600.0;
  }
}

Run RunLoad(const Load& aLoad, std::uint64_t aSeed)
{
  constexpr double kBase = 0.6;
  ModelOptions options;
  options.mSeed = aSeed;
  WorkloadOptions workload;
  workload.mDuration = kDuration;
  workload.mLoad = kBase;
  workload.mRatePeak = { 0.0, aLoad.mUntil, aLoad.mLoad / kBase };
  workload.mInteractiveShare = aLoad.mInteractiveShare;
  workload.mKnownLongShare = 0.0;
  workload.mSeed = aSeed;
  ServiceModel model(options);
  AddWorkload(model, options, workload);
  model.Run(kDuration + 700.0);
  Run run;
  double interactive = 0.0;
  double dispatches = 0.0;
  double answers = 0.0;
  double after = 0.0;
  for (const Outcome& it : model.Outcomes()) {
    run.mIsEachEndedOnce &= it.mEnds == 1;
    run.mIsRefusedNeverRun &= !it.mRefused || it.mDispatches == 0;
    dispatches += it.mDispatches;
    answers += it.mTotalLatency >= 0.0 ? 1.0 : 0.0;
    const double good = IsGood(it) ? 1.0 : 0.0;
    // Later answers do not count: the queue empties only after the load.
    const bool isInTime = it.mArrivedAt + it.mTotalLatency <= kDuration;
    run.mGoodput += isInTime ? good / kDuration : 0.0;
    run.mGoodTokens += isInTime ? good * it.mTokens / kDuration : 0.0;
    if (it.mPriority == PriorityClass::Interactive) {
      interactive += 1.0;
      run.mInteractiveGood += good;
    }
    if (it.mArrivedAt >= aLoad.mUntil + 5.0) {
      after += 1.0;
      run.mGoodAfter += good;
    }
  }
  run.mInteractiveGood /= interactive;
  run.mDispatchesPerAnswer = dispatches / answers;
  run.mGoodAfter = after > 0.0 ? run.mGoodAfter / after : 1.0;
  run.mPeakLoad = model.PeakLoad();
  return run;
}

} // namespace

TEST_CASE("useful throughput holds under overload")
{
  double peak = 0.0;
  double peakTokens = 0.0;
  for (const double load : { 0.8, 1.0, 1.2 }) {
    const Run run = RunLoad({ load }, 3);
    peak = std::max(peak, run.mGoodput);
    peakTokens = std::max(peakTokens, run.mGoodTokens);
  }
  for (const double load : { 2.0, 5.0 }) {
    INFO("load " << load);
    const Run run = RunLoad({ load }, 3);
    CHECK(run.mGoodput >= 0.9 * peak);
    CHECK(run.mGoodTokens >= 0.9 * peakTokens);
    CHECK(run.mIsEachEndedOnce);
    CHECK(run.mIsRefusedNeverRun);
    // Hedges and retries stay a share of traffic.
    CHECK(run.mDispatchesPerAnswer < 1.25);
    // Slots, the excess of urgent work, and one part per daemon.
    CHECK(run.mPeakLoad <= 16 + 4 + 6 * 3);
  }
}

TEST_CASE("urgent work is served first while the rest overloads")
{
  const Run run = RunLoad({ 2.0, kDuration, 0.3 }, 4);
  CHECK(run.mInteractiveGood >= 0.98);
}

TEST_CASE("service is back within seconds after a burst")
{
  const Run run = RunLoad({ 5.0, 15.0 }, 5);
  CHECK(run.mGoodAfter >= 0.98);
  CHECK(run.mIsEachEndedOnce);
}
