#pragma once

/**
 * @file
 * Simulates one planner over one demand trace, and computes offline bounds on
 * the result of any planner.
 */

#include "executor.hpp"
#include "offline_bounds.hpp"
#include "scenario.hpp"

namespace carobtide {

/** Results of one run. Work and capacity are in accelerator-seconds. */
struct AttainmentResult
{
  double mDemanded = 0.0;
  double mServed = 0.0;
  /** Upper bound on mServed. */
  double mServedBound = 0.0;
  /** Work in the tenth of the seconds with the highest total demand. */
  double mPeakDemanded = 0.0;
  double mPeakServed = 0.0;
  double mCapacity = 0.0;
  /** Model loads, and a lower bound on them. */
  std::size_t mMoves = 0;
  std::size_t mMoveBound = 0;
};

/** Sums of the results of several seeds. */
class AttainmentSum
{
public:
  void Add(const AttainmentResult& aResult)
  {
    mSum.mDemanded += aResult.mDemanded;
    mSum.mServed += aResult.mServed;
    mSum.mServedBound += aResult.mServedBound;
    mSum.mPeakDemanded += aResult.mPeakDemanded;
    mSum.mPeakServed += aResult.mPeakServed;
    mSum.mCapacity += aResult.mCapacity;
    mSum.mMoves += aResult.mMoves;
    mSum.mMoveBound += aResult.mMoveBound;
    ++mRuns;
  }

  /** Share of the demand that was served in time. */
  double Attainment() const { return mSum.mServed / mSum.mDemanded; }
  /** Upper bound on Attainment. */
  double Bound() const { return mSum.mServedBound / mSum.mDemanded; }
  /** Share of the capacity that was used. */
  double PerAccelerator() const { return mSum.mServed / mSum.mCapacity; }
  /** Attainment in the seconds with peak demand. */
  double PeakAttainment() const
  {
    return mSum.mPeakServed / mSum.mPeakDemanded;
  }
  /** Mean number of model loads per run. */
  double Moves() const
  {
    return static_cast<double>(mSum.mMoves) / static_cast<double>(mRuns);
  }
  /** Mean lower bound on the model loads per run. */
  double MoveBound() const
  {
    return static_cast<double>(mSum.mMoveBound) / static_cast<double>(mRuns);
  }

private:
  AttainmentResult mSum;
  std::size_t mRuns = 0;
};

/** Work not served within this many seconds counts as missed. */
inline constexpr std::size_t kMaxWaitSeconds = 5;

/** Seconds at the start that are excluded from the results. */
inline constexpr std::size_t kWarmUpSeconds = 120;

/** Seconds between two plans. */
inline constexpr std::size_t kPlanIntervalSeconds = 1;

/** Exponential moving averages of the demand per model, as in the daemon. */
class DemandMeter
{
public:
  explicit DemandMeter(const Bundle& aBundle)
  {
    for (const ModelSpec& model : aBundle.mModels) {
      mRows.push_back(&mTable[model.mName]);
    }
  }

  void Observe(std::size_t aModel, double aDemand)
  {
    constexpr double kFastSeconds = 5.0;
    constexpr double kSlowSeconds = 120.0;
    ModelDemand& row = *mRows[aModel];
    row.mFast += (aDemand - row.mFast) / kFastSeconds;
    row.mSlow += (aDemand - row.mSlow) / kSlowSeconds;
  }

  const DemandTable& Table() const { return mTable; }

private:
  DemandTable mTable;
  std::vector<ModelDemand*> mRows;
};

/** Work that can still be served in time, by model and by age in seconds. */
class Backlog
{
public:
  explicit Backlog(std::size_t aModels)
    : mWork(aModels, std::vector<double>(kMaxWaitSeconds, 0.0))
  {
  }

  /** Starts a new second: work that has become too old is dropped. */
  void Arrive(std::size_t aModel, double aWork)
  {
    std::vector<double>& work = mWork[aModel];
    std::shift_right(work.begin(), work.end(), 1);
    work.front() = aWork;
  }

  /** Open work of each model. */
  std::vector<double> Totals() const
  {
    std::vector<double> totals;
    for (const auto& work : mWork) {
      totals.push_back(std::accumulate(work.begin(), work.end(), 0.0));
    }
    return totals;
  }

  /** Removes served work, the oldest first. */
  void Serve(std::size_t aModel, double aWork)
  {
    std::vector<double>& work = mWork[aModel];
    for (auto it = work.rbegin(); it != work.rend() && aWork > 0.0; ++it) {
      const double part = std::min(*it, aWork);
      *it -= part;
      aWork -= part;
    }
  }

private:
  std::vector<std::vector<double>> mWork;
};

/** 90th percentile of the total demand, from which a second counts as peak. */
inline double PeakDemandLevel(const DemandTrace& aTrace)
{
  std::vector<double> totals;
  for (std::size_t t = kWarmUpSeconds; t < aTrace.Seconds(); ++t) {
    totals.push_back(TotalAt(aTrace, t));
  }
  const auto at = static_cast<std::ptrdiff_t>(totals.size() * 9 / 10);
  std::nth_element(totals.begin(), totals.begin() + at, totals.end());
  return totals[static_cast<std::size_t>(at)];
}

/**
 * Runs a planner over a generated trace of aSeconds. aUtilization is the mean
 * total demand divided by the capacity of all targets.
 */
inline AttainmentResult RunTrace(std::string_view aPlanner,
                                 const Deployment& aDeployment,
                                 double aUtilization, std::size_t aSeconds,
                                 std::uint64_t aSeed)
{
  const Bundle bundle = MakeBundle(aDeployment, aSeed);
  const auto targets = MakeTargets(aDeployment);
  const double capacity = static_cast<double>(targets.size());
  const DemandTrace trace(bundle.mModels.size(), aUtilization * capacity,
                          aSeconds, aSeed);
  const double peakLevel = PeakDemandLevel(trace);
  const auto planner = MakePlanner(aPlanner);
  DemandMeter meter(bundle);
  Backlog backlog(bundle.mModels.size());
  PlanExecutor executor(bundle, targets);
  AttainmentResult result;
  for (std::size_t t = 0; t < aSeconds; ++t) {
    for (std::size_t m = 0; m < trace.Models(); ++m) {
      meter.Observe(m, trace.At(m, t));
      backlog.Arrive(m, trace.At(m, t));
    }
    if (t % kPlanIntervalSeconds == 0) {
      PlannerInput input;
      input.mBundle = &bundle;
      input.mTargets = executor.Targets();
      input.mDemand = &meter.Table();
      input.mNow = Instant(std::chrono::seconds(t));
      executor.StartLoads(planner->MakePlan(input));
    }
    executor.Advance(1.0);
    if (t == kWarmUpSeconds) {
      executor.ResetMoves();
    }
    const std::vector<double> served = executor.Serve(backlog.Totals());
    const bool isCounted = t >= kWarmUpSeconds;
    const bool isPeak = TotalAt(trace, t) >= peakLevel;
    for (std::size_t m = 0; m < served.size(); ++m) {
      backlog.Serve(m, served[m]);
      result.mServed += isCounted ? served[m] : 0.0;
      result.mDemanded += isCounted ? trace.At(m, t) : 0.0;
      result.mPeakServed += isCounted && isPeak ? served[m] : 0.0;
      result.mPeakDemanded += isCounted && isPeak ? trace.At(m, t) : 0.0;
    }
    result.mCapacity += isCounted ? capacity : 0.0;
  }
  result.mMoves = executor.Moves();
  result.mServedBound =
    UpperBoundServed(trace, capacity, kWarmUpSeconds, kMaxWaitSeconds);
  result.mMoveBound = LowerBoundMoves(trace, bundle, targets, kWarmUpSeconds);
  return result;
}

} // namespace carobtide
