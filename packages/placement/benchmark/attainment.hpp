#pragma once

/**
 * @file
 * Runs one planner over one demand trace and bounds what any could reach.
 */

#include "executor.hpp"
#include "hindsight.hpp"
#include "scenario.hpp"

namespace carobtide {

/** What one run came to. */
struct AttainmentResult
{
  /** Accelerator-seconds. */
  double mDemanded = 0.0;
  double mServed = 0.0;
  double mServedBound = 0.0;
  /** In the tenth of the seconds with the highest total demand. */
  double mCrestDemanded = 0.0;
  double mCrestServed = 0.0;
  double mCapacity = 0.0;
  std::size_t mMoves = 0;
  std::size_t mMoveBound = 0;
};

/** Sums over seeds. */
class AttainmentSum
{
public:
  void Add(const AttainmentResult& aResult)
  {
    mSum.mDemanded += aResult.mDemanded;
    mSum.mServed += aResult.mServed;
    mSum.mServedBound += aResult.mServedBound;
    mSum.mCrestDemanded += aResult.mCrestDemanded;
    mSum.mCrestServed += aResult.mCrestServed;
    mSum.mCapacity += aResult.mCapacity;
    mSum.mMoves += aResult.mMoves;
    mSum.mMoveBound += aResult.mMoveBound;
    ++mRuns;
  }

  double Attainment() const { return mSum.mServed / mSum.mDemanded; }
  double Bound() const { return mSum.mServedBound / mSum.mDemanded; }
  double PerAccelerator() const { return mSum.mServed / mSum.mCapacity; }
  double Crest() const { return mSum.mCrestServed / mSum.mCrestDemanded; }
  /** Mean moves of a run. */
  double Moves() const
  {
    return static_cast<double>(mSum.mMoves) / static_cast<double>(mRuns);
  }
  double MoveBound() const
  {
    return static_cast<double>(mSum.mMoveBound) / static_cast<double>(mRuns);
  }

private:
  AttainmentResult mSum;
  std::size_t mRuns = 0;
};

/** Demand waits this many seconds at most to be served in time. */
inline constexpr std::size_t kPatienceSeconds = 5;

/** Seconds at the start that are not counted. */
inline constexpr std::size_t kWarmUpSeconds = 120;

/** Seconds between two plans. */
inline constexpr std::size_t kPlanEverySeconds = 1;

/** Exponential averages of the demand, as the daemon measures it. */
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

/** Work that arrived and may still be served in time, by model and age. */
class Backlog
{
public:
  explicit Backlog(std::size_t aModels)
    : mWork(aModels, std::vector<double>(kPatienceSeconds, 0.0))
  {
  }

  void Arrive(std::size_t aModel, double aWork)
  {
    std::vector<double>& work = mWork[aModel];
    std::shift_right(work.begin(), work.end(), 1);
    work.front() = aWork;
  }

  std::vector<double> Totals() const
  {
    std::vector<double> totals;
    for (const auto& work : mWork) {
      totals.push_back(std::accumulate(work.begin(), work.end(), 0.0));
    }
    return totals;
  }

  /** Serves the oldest work first. */
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

/** Total demand above which a second belongs to the crest. */
inline double CrestLevel(const DemandTrace& aTrace)
{
  std::vector<double> totals;
  for (std::size_t t = kWarmUpSeconds; t < aTrace.Seconds(); ++t) {
    totals.push_back(TotalAt(aTrace, t));
  }
  const auto at = static_cast<std::ptrdiff_t>(totals.size() * 9 / 10);
  std::nth_element(totals.begin(), totals.begin() + at, totals.end());
  return totals[static_cast<std::size_t>(at)];
}

/** Runs a planner over a trace. */
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
  const double crest = CrestLevel(trace);
  const auto planner = MakePlanner(aPlanner);
  DemandMeter meter(bundle);
  Backlog backlog(bundle.mModels.size());
  Executor executor(bundle, targets);
  AttainmentResult result;
  for (std::size_t t = 0; t < aSeconds; ++t) {
    for (std::size_t m = 0; m < trace.Models(); ++m) {
      meter.Observe(m, trace.At(m, t));
      backlog.Arrive(m, trace.At(m, t));
    }
    if (t % kPlanEverySeconds == 0) {
      PlannerInput input;
      input.mBundle = &bundle;
      input.mTargets = executor.ForPlanner();
      input.mDemand = &meter.Table();
      input.mNow = Instant(std::chrono::seconds(t));
      executor.Follow(planner->MakePlan(input));
    }
    executor.Advance(1.0);
    if (t == kWarmUpSeconds) {
      executor.ResetMoves();
    }
    const std::vector<double> served = executor.Serve(backlog.Totals());
    const bool isCounted = t >= kWarmUpSeconds;
    const bool isCrest = TotalAt(trace, t) >= crest;
    for (std::size_t m = 0; m < served.size(); ++m) {
      backlog.Serve(m, served[m]);
      result.mServed += isCounted ? served[m] : 0.0;
      result.mDemanded += isCounted ? trace.At(m, t) : 0.0;
      result.mCrestServed += isCounted && isCrest ? served[m] : 0.0;
      result.mCrestDemanded += isCounted && isCrest ? trace.At(m, t) : 0.0;
    }
    result.mCapacity += isCounted ? capacity : 0.0;
  }
  result.mMoves = executor.Moves();
  result.mServedBound =
    BoundServed(trace, capacity, kWarmUpSeconds, kPatienceSeconds);
  result.mMoveBound = BoundMoves(trace, bundle, targets, kWarmUpSeconds);
  return result;
}

} // namespace carobtide
