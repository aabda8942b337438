#include "../benchmark/workload.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;
using namespace carobtide::model;

namespace {

constexpr double kDuration = 40.0;

/** Results of one run of the service model. */
struct RunResult
{
  /** Answers, and their tokens, per second that met their deadline. */
  double mGoodput = 0.0;
  double mGoodTokens = 0.0;
  double mInteractiveGood = 0.0;
  double mDispatchesPerAnswer = 0.0;
  /** Share of the requests after the overload that met their deadline. */
  double mGoodAfter = 0.0;
  std::uint32_t mPeakLoad = 0;
  bool mIsEachEndedOnce = true;
  bool mIsRefusedNeverRun = true;
};

struct LoadShape
{
  /** Offered load, as a share of capacity. */
  double mLoad = 1.0;
  /** Seconds of overload; the rest of the run has a load of 0.6. */
  double mOverloadSeconds = kDuration;
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

RunResult RunLoad(const LoadShape& aLoad, std::uint64_t aSeed)
{
  constexpr double kBase = 0.6;
  ModelOptions options;
  options.mSeed = aSeed;
  WorkloadOptions workload;
  workload.mDuration = kDuration;
  workload.mLoad = kBase;
  workload.mRatePeak = { 0.0, aLoad.mOverloadSeconds, aLoad.mLoad / kBase };
  workload.mInteractiveShare = aLoad.mInteractiveShare;
  workload.mKnownLongShare = 0.0;
  workload.mSeed = aSeed;
  ServiceModel model(options);
  AddWorkload(model, options, workload);
  model.Run(kDuration + 700.0);
  RunResult run;
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
    // Answers after the load are the backlog and say nothing of throughput.
    const bool isInTime = it.mArrivedAt + it.mTotalLatency <= kDuration;
    run.mGoodput += isInTime ? good / kDuration : 0.0;
    run.mGoodTokens += isInTime ? good * it.mTokens / kDuration : 0.0;
    if (it.mPriority == PriorityClass::Interactive) {
      interactive += 1.0;
      run.mInteractiveGood += good;
    }
    if (it.mArrivedAt >= aLoad.mOverloadSeconds + 5.0) {
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

TEST_CASE("goodput under overload stays within 10 % of its peak")
{
  double peak = 0.0;
  double peakTokens = 0.0;
  for (const double load : { 0.8, 1.0, 1.2 }) {
    const RunResult run = RunLoad({ load }, 3);
    peak = std::max(peak, run.mGoodput);
    peakTokens = std::max(peakTokens, run.mGoodTokens);
  }
  for (const double load : { 2.0, 5.0 }) {
    INFO("load " << load);
    const RunResult run = RunLoad({ load }, 3);
    CHECK(run.mGoodput >= 0.9 * peak);
    CHECK(run.mGoodTokens >= 0.9 * peakTokens);
    CHECK(run.mIsEachEndedOnce);
    CHECK(run.mIsRefusedNeverRun);
    // Hedges and retries stay within their budgets.
    CHECK(run.mDispatchesPerAnswer < 1.25);
    // Slots, the interactive overcommit, and the equal share of each daemon.
    CHECK(run.mPeakLoad <= 16 + 4 + 6 * 3);
  }
}

TEST_CASE("interactive work meets its deadlines while the rest overloads")
{
  const RunResult run = RunLoad({ 2.0, kDuration, 0.3 }, 4);
  CHECK(run.mInteractiveGood >= 0.98);
}

TEST_CASE("requests meet their deadlines five seconds after a burst")
{
  const RunResult run = RunLoad({ 5.0, 15.0 }, 5);
  CHECK(run.mGoodAfter >= 0.98);
  CHECK(run.mIsEachEndedOnce);
}
