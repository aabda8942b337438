#pragma once

/**
 * @file
 * Deployments and demand traces for the planner benchmarks.
 */

#include "carobtide/placement.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <string>
#include <vector>

namespace carobtide {

/** Size of a deployment. */
struct Deployment
{
  std::string mName;
  std::size_t mModels = 0;
  std::size_t mAdapters = 0;
  std::size_t mTargets = 0;
  std::size_t mDomains = 1;
  std::uint32_t mAcceleratorsPerTarget = 1;
  StoreSpec mStore;
};

inline Deployment Sanglerie()
{
  return { "sanglerie", 34, 100, 18, 4, 1, { 3.0, 9, 70 } };
}

inline Deployment LanternReef()
{
  return { "lantern-reef", 17, 60, 9, 3, 1, { 1.5, 6, 50 } };
}

/**
 * A deployment of any size with the failure domains, accelerators per target,
 * store limits and adapters per model of the size that the system is designed
 * for.
 */
inline Deployment Scaled(std::size_t aModels, std::size_t aTargets)
{
  return { "scaled", aModels, aModels * 3, aTargets, 22, 8, { 30.0, 90, 700 } };
}

/** Accelerator memory of one target. */
inline constexpr Bytes kTargetMemory = 80 * kGiB;

/** A bundle with models of 8 to 28 GiB and evenly distributed adapters. */
inline Bundle MakeBundle(const Deployment& aDeployment, std::uint64_t aSeed)
{
  RandomEngine random(aSeed);
  std::uniform_int_distribution<Bytes> size(8, 28);
  Bundle bundle;
  bundle.mName = aDeployment.mName;
  bundle.mVersion = 1;
  bundle.mStore = aDeployment.mStore;
  for (std::size_t n = 0; n < aDeployment.mModels; ++n) {
    ModelSpec model;
    model.mName = ModelName("model-" + std::to_string(n));
    model.mPool = "engines";
    model.mMemory = size(random) * kGiB;
    bundle.mModels.push_back(std::move(model));
  }
  for (std::size_t n = 0; n < aDeployment.mAdapters; ++n) {
    ModelSpec& model = bundle.mModels[n % aDeployment.mModels];
    model.mAdapters.push_back(
      { AdapterName("adapter-" + std::to_string(n)), 1, 128 * kMiB });
  }
  return bundle;
}

/** Empty targets, distributed evenly over the failure domains. */
inline std::vector<PlannerTarget> MakeTargets(const Deployment& aDeployment)
{
  std::vector<PlannerTarget> targets;
  for (std::size_t n = 0; n < aDeployment.mTargets; ++n) {
    PlannerTarget target;
    target.mName = TargetName("target-" + std::to_string(n));
    target.mFailureDomain =
      FailureDomain("domain-" + std::to_string(n % aDeployment.mDomains));
    target.mPool = "engines";
    target.mMemory = kTargetMemory;
    target.mCapacity = aDeployment.mAcceleratorsPerTarget;
    targets.push_back(std::move(target));
  }
  return targets;
}

/** Replaces the contents of the targets by the copies of a plan. */
inline void ApplyPlan(std::vector<PlannerTarget>& aTargets,
                      const Bundle& aBundle, const Plan& aPlan)
{
  std::map<TargetName, PlannerTarget*> byName;
  for (PlannerTarget& target : aTargets) {
    target.mHolds.clear();
    byName[target.mName] = &target;
  }
  std::map<ModelName, const ModelSpec*> specs;
  for (const ModelSpec& spec : aBundle.mModels) {
    specs[spec.mName] = &spec;
  }
  for (const WantedCopy& copy : aPlan.mCopies) {
    Bytes memory = specs[copy.mModel]->mMemory;
    for (const AdapterSpec& adapter : specs[copy.mModel]->mAdapters) {
      memory = adapter.mName == copy.mAdapter ? adapter.mMemory : memory;
    }
    byName[copy.mTarget]->mHolds.push_back(
      { copy.mModel, copy.mAdapter, copy.mVersion, memory, {} });
  }
}

/**
 * Demand of each model per second, in accelerators. The base demand of a model
 * falls with its rank (Zipf distribution with exponent 0.7). Bursts of up to
 * ten times the base demand rise within seconds and last for minutes.
 */
class DemandTrace
{
public:
  /** aMeanTotal is the mean demand of all models together, before noise. */
  DemandTrace(std::size_t aModels, double aMeanTotal, std::size_t aSeconds,
              std::uint64_t aSeed)
    : mDemand(aModels, std::vector<double>(aSeconds, 0.0))
  {
    RandomEngine random(aSeed);
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    double sum = 0.0;
    for (std::size_t m = 0; m < aModels; ++m) {
      const double popularity = 1.0 / std::pow(static_cast<double>(m + 1), 0.7);
      AddModel(mDemand[m], popularity, random);
      for (const double demand : mDemand[m]) {
        sum += demand;
      }
    }
    const double scale = aMeanTotal * static_cast<double>(aSeconds) / sum;
    for (auto& series : mDemand) {
      for (double& demand : series) {
        demand *= scale * (0.9 + 0.2 * unit(random));
      }
    }
  }

  /** Demand of a model in one second, in accelerators. */
  double At(std::size_t aModel, std::size_t aSecond) const
  {
    return mDemand[aModel][aSecond];
  }
  std::size_t Models() const { return mDemand.size(); }
  std::size_t Seconds() const { return mDemand.front().size(); }

private:
  /** Fills the series of one model with base demand and bursts. */
  static void AddModel(std::vector<double>& aSeries, double aPopularity,
                       RandomEngine& aRandom)
  {
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    std::fill(aSeries.begin(), aSeries.end(), aPopularity);
    auto at = static_cast<std::size_t>(unit(aRandom) * 300.0);
    while (at < aSeries.size()) {
      const double peak = 9.0 * (0.3 + 0.7 * unit(aRandom));
      const double rise = 5.0 + 25.0 * unit(aRandom);
      const double hold = 40.0 + 160.0 * unit(aRandom);
      const double fall = 20.0 + 60.0 * unit(aRandom);
      const auto length = static_cast<std::size_t>(rise + hold + fall);
      for (std::size_t n = 0; n < length && at + n < aSeries.size(); ++n) {
        const auto t = static_cast<double>(n);
        double shape = 1.0;
        if (t < rise) {
          shape = t / rise;
        } else if (t > rise + hold) {
          shape = std::max(0.0, 1.0 - (t - rise - hold) / fall);
        }
        aSeries[at + n] += aPopularity * peak * shape;
      }
      at += length + static_cast<std::size_t>(60.0 + 500.0 * unit(aRandom));
    }
  }

  std::vector<std::vector<double>> mDemand;
};

} // namespace carobtide
