#pragma once

/**
 * @file
 * Simulates ResidencyPlanner over demand traces on engines of unequal speed.
 */

#include "../tests/residency_simulation.hpp"
#include "executor.hpp"
#include "offline_bounds.hpp"
#include "scenario.hpp"

namespace carobtide {

/** Which speeds the planner is told. */
enum class ToldSpeeds
{
  None,
  Measured,
};

/** Results of runs with several seeds. Work is in slots at mean speed. */
struct UnevenResult
{
  double mDemanded = 0;
  double mServed = 0;
  /** Upper bound on mServed: each engine is assumed to hold every model. */
  double mServedBound = 0;
  std::size_t mLoads = 0;
};

/** Seconds from which a third of the engines is slowed, and the factor. */
inline constexpr std::size_t kSlowedFrom = 300;
inline constexpr double kSlowedFactor = 0.4;

/**
 * True speeds at a time: 0.6, 1.0 and 1.6 in turn; of each three engines in a
 * row of nine one group is slowed later.
 */
inline double UnevenSpeedAt(std::size_t aEngine, std::size_t aSecond)
{
  constexpr std::array<double, 3> kSpeeds{ 0.6, 1.0, 1.6 };
  const bool isSlowed = aSecond >= kSlowedFrom && aEngine / 3 % 3 == 0;
  return kSpeeds[aEngine % 3] * (isSlowed ? kSlowedFactor : 1.0);
}

/**
 * Mean true speed of the engines that serve a model, 1 if none does. Requests
 * stay longer on slow engines: work divided by it is what daemons report.
 */
inline double MeanServingSpeed(Simulation& aSimulation, const ModelName& aModel,
                               const std::vector<double>& aSpeeds)
{
  double total = 0;
  std::size_t count = 0;
  for (std::size_t n = 0; n < aSpeeds.size(); ++n) {
    const TargetName target = Simulation::Target(static_cast<int>(n));
    if (aSimulation.mEngines.at(target).Holds(aModel)) {
      total += aSpeeds[n];
      ++count;
    }
  }
  return count == 0 ? 1 : total / static_cast<double>(count);
}

/** Adds one run; aUtilization is mean demand over capacity at the start. */
inline void RunUneven(UnevenResult& aResult, ToldSpeeds aTold,
                      double aUtilization, std::uint64_t aSeed)
{
  constexpr std::size_t kEngines = 36;
  constexpr std::size_t kModels = 100;
  constexpr std::size_t kSeconds = 600;
  constexpr std::size_t kWarmUp = 60;
  constexpr double kSlots = 16;
  // Estimates are within 15 in 100 of the speed.
  constexpr double kNoise = 0.15;
  const DemandTrace trace(kModels, aUtilization * kSlots * kEngines, kSeconds,
                          aSeed);
  Simulation simulation(kEngines, kModels, 0);
  Bundle bundle;
  for (std::size_t m = 0; m < kModels; ++m) {
    bundle.mModels.emplace_back().mName =
      Simulation::Model(static_cast<int>(m));
  }
  RandomEngine random(aSeed);
  std::uniform_real_distribution<double> noise(-kNoise, kNoise);
  for (std::size_t t = 0; t < kSeconds; ++t) {
    simulation.mSpeeds.clear();
    std::vector<double> speeds;
    for (std::size_t n = 0; n < kEngines; ++n) {
      speeds.push_back(UnevenSpeedAt(n, t));
      if (aTold == ToldSpeeds::Measured) {
        simulation.mSpeeds.push_back({ Simulation::Target(static_cast<int>(n)),
                                       Incarnation(1),
                                       speeds[n] * (1 + noise(random)) });
      }
    }
    std::vector<double> work;
    std::map<ModelName, std::uint32_t> demand;
    for (std::size_t m = 0; m < kModels; ++m) {
      work.push_back(std::round(trace.At(m, t)));
      const ModelName model = Simulation::Model(static_cast<int>(m));
      demand[model] = static_cast<std::uint32_t>(
        std::lround(work.back() / MeanServingSpeed(simulation, model, speeds)));
    }
    simulation.Run(1s, demand);
    if (t < kWarmUp) {
      simulation.mOrders.clear();
      continue;
    }
    std::vector<PlannerTarget> targets;
    double capacity = 0;
    for (std::size_t n = 0; n < kEngines; ++n) {
      PlannerTarget& target = targets.emplace_back();
      target.mName = Simulation::Target(static_cast<int>(n));
      target.mCapacity = kSlots * speeds[n];
      capacity += target.mCapacity;
      for (const HeldModel& held :
           simulation.mEngines.at(target.mName).mModels) {
        target.mHolds.push_back({ held.mName, {}, 1, 0, {} });
      }
    }
    const std::vector<double> served =
      PlanExecutor(bundle, std::move(targets)).Serve(work);
    const double total = std::accumulate(work.begin(), work.end(), 0.0);
    aResult.mDemanded += total;
    aResult.mServed += std::accumulate(served.begin(), served.end(), 0.0);
    aResult.mServedBound += std::min(total, capacity);
  }
  aResult.mLoads += static_cast<std::size_t>(
    std::ranges::count_if(simulation.mOrders, [](const std::string& aOrder) {
      return aOrder.find(" load ") != std::string::npos;
    }));
}

} // namespace carobtide
