/**
 * @file
 * Compares the planners on demand traces with fixed seeds: demand served in
 * time and model loads, under the store's limits and relative to offline
 * bounds. Each second serves a maximum flow from models to targets for all
 * planners, so that routing does not affect the comparison. The last table runs
 * ResidencyPlanner on engines of unequal speed, with and without their speeds.
 */

#include "attainment.hpp"
#include "uneven_engines.hpp"

#include <cstdio>
#include <cstdlib>

using namespace carobtide;

namespace {

constexpr std::size_t kSeconds = 3600;
/** Number of traces, with the seeds from 1. */
constexpr std::uint64_t kSeeds = 5;

/** Prints one line of mean results per planner. */
void Compare(const Deployment& aDeployment, double aUtilization,
             const std::vector<std::string_view>& aPlanners)
{
  std::printf("%s: %zu models, %zu targets, mean demand %.0f %% of capacity\n",
              aDeployment.mName.c_str(), aDeployment.mModels,
              aDeployment.mTargets, 100.0 * aUtilization);
  std::printf("  %-14s %10s %9s %9s %9s %8s %9s\n", "planner", "attainment",
              "of bound", "per acc.", "crest", "moves", "of bound");
  for (const std::string_view planner : aPlanners) {
    AttainmentSum sum;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      sum.Add(RunTrace(planner, aDeployment, aUtilization, kSeconds, seed));
    }
    std::printf("  %-14s %10.4f %9.4f %9.4f %9.4f %8.1f %9.2f\n",
                std::string(planner).c_str(), sum.Attainment(),
                sum.Attainment() / sum.Bound(), sum.PerAccelerator(),
                sum.PeakAttainment(), sum.Moves(),
                sum.Moves() / sum.MoveBound());
  }
}

/** Prints the results with and without the engines' speeds. */
void CompareUneven()
{
  std::printf("uneven engines: 100 models, 36 engines at 0.6, 1.0 and 1.6, a "
              "third slowed to 0.4 of that after 300 s\n");
  std::printf("  %-9s %-9s %10s %9s %8s\n", "demand", "speeds", "attainment",
              "of bound", "loads");
  for (const double utilization : { 0.5, 0.7, 0.85 }) {
    for (const ToldSpeeds told : { ToldSpeeds::None, ToldSpeeds::Measured }) {
      UnevenResult sum;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        RunUneven(sum, told, utilization, seed);
      }
      std::printf("  %-9.2f %-9s %10.4f %9.4f %8.1f\n", utilization,
                  told == ToldSpeeds::None ? "unknown" : "measured",
                  sum.mServed / sum.mDemanded, sum.mServed / sum.mServedBound,
                  static_cast<double>(sum.mLoads) / kSeeds);
    }
  }
}

} // namespace

/**
 * Arguments, if any, name the planners to run; "uneven" is the comparison on
 * engines of unequal speed.
 */
int main(int argc, char** argv)
{
  std::vector<std::string_view> planners(argv + 1, argv + argc);
  const bool isUnevenOnly =
    planners == std::vector<std::string_view>{ "uneven" };
  if (planners.empty() || isUnevenOnly) {
    CompareUneven();
  }
  if (isUnevenOnly) {
    return 0;
  }
  if (planners.empty()) {
    planners = PlannerNames();
  }
  for (const double utilization : { 0.5, 0.7, 0.85 }) {
    Compare(Sanglerie(), utilization, planners);
    Compare(LanternReef(), utilization, planners);
  }
  return 0;
}
