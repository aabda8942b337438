/**
 * @file
 * Measures planning time and memory for deployments of several sizes: a first
 * plan, a plan with unchanged input, a plan after the demand has changed, and
 * one step of the placement controller.
 */

#include "scenario.hpp"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::size_t gAllocated = 0;
std::size_t gPeak = 0;

} // namespace

[[gnu::noinline]] void* operator new(std::size_t aSize)
{
  void* memory = std::malloc(aSize);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  gAllocated += malloc_usable_size(memory);
  gPeak = std::max(gPeak, gAllocated);
  return memory;
}

[[gnu::noinline]] void operator delete(void* aMemory) noexcept
{
  gAllocated -= malloc_usable_size(aMemory);
  std::free(aMemory);
}

[[gnu::noinline]] void operator delete(void* aMemory, std::size_t) noexcept
{
  operator delete(aMemory);
}

using namespace carobtide;

namespace {

/** Elapsed time and peak of additional memory. */
struct Cost
{
  double mMillis = 0.0;
  double mMebibytes = 0.0;
};

template<class Work>
Cost Measure(Work aWork)
{
  const std::size_t before = gAllocated;
  gPeak = gAllocated;
  const auto start = std::chrono::steady_clock::now();
  aWork();
  const std::chrono::duration<double, std::milli> time =
    std::chrono::steady_clock::now() - start;
  return { time.count(),
           static_cast<double>(gPeak - before) / static_cast<double>(kMiB) };
}

/** Random demand of all models that adds up to aTotal accelerators. */
DemandTable MakeDemand(const Bundle& aBundle, double aTotal,
                       std::uint64_t aSeed)
{
  RandomEngine random(aSeed);
  std::uniform_real_distribution<double> exponent(0.0, 1.0);
  DemandTable demand;
  double sum = 0.0;
  for (const ModelSpec& model : aBundle.mModels) {
    const double load = std::pow(10.0, exponent(random));
    demand[model.mName] = { load, load };
    sum += load;
  }
  for (auto& [name, load] : demand) {
    load.mFast *= aTotal / sum;
    load.mSlow *= aTotal / sum;
  }
  return demand;
}

/** Prints the costs of the three kinds of plans of one planner. */
void MeasurePlanner(std::string_view aPlanner, const Deployment& aDeployment)
{
  const Bundle bundle = MakeBundle(aDeployment, 1);
  const double total = 0.6 * static_cast<double>(aDeployment.mTargets) *
                       aDeployment.mAcceleratorsPerTarget;
  const DemandTable before = MakeDemand(bundle, total, 1);
  const DemandTable after = MakeDemand(bundle, total, 2);
  PlannerInput input;
  input.mBundle = &bundle;
  input.mTargets = MakeTargets(aDeployment);
  input.mDemand = &before;
  const auto planner = MakePlanner(aPlanner);
  Plan plan;
  const Cost cold = Measure([&] { plan = planner->MakePlan(input); });
  for (int n = 0; n < 20; ++n) {
    ApplyPlan(input.mTargets, bundle, plan);
    input.mNow += 1s;
    plan = planner->MakePlan(input);
  }
  ApplyPlan(input.mTargets, bundle, plan);
  const Cost same = Measure([&] { plan = planner->MakePlan(input); });
  input.mDemand = &after;
  const Cost moved = Measure([&] { plan = planner->MakePlan(input); });
  std::printf("%-14s %6zu %7zu %8zu %9.2f %9.2f %9.2f %9.2f\n",
              std::string(aPlanner).c_str(), aDeployment.mModels,
              aDeployment.mTargets, plan.mCopies.size(), cold.mMillis,
              same.mMillis, moved.mMillis,
              std::max({ cold.mMebibytes, same.mMebibytes, moved.mMebibytes }));
  std::fflush(stdout);
}

/** Prints the costs of a controller step with and without a new plan. */
void MeasureController(const Deployment& aDeployment)
{
  const Bundle bundle = MakeBundle(aDeployment, 1);
  PlannerInput input;
  input.mBundle = &bundle;
  input.mTargets = MakeTargets(aDeployment);
  Plan plan = MakePlanner("static-spread")->MakePlan(input);
  ApplyPlan(input.mTargets, bundle, plan);
  TargetRegistry registry;
  Announcement announcement;
  for (const PlannerTarget& target : input.mTargets) {
    announcement.mTarget = target.mName;
    announcement.mFailureDomain = target.mFailureDomain;
    announcement.mPool = target.mPool;
    announcement.mMemory = target.mMemory;
    announcement.mAccelerators = aDeployment.mAcceleratorsPerTarget;
    announcement.mResident = target.mHolds;
    ++announcement.mSequence;
    registry.Apply(Instant{}, announcement);
  }
  Placement record;
  record.Apply(1, BeginTerm{ FencingToken(1) });
  PlacementController controller({}, FencingToken(1));
  Instant now{};
  const auto step = [&] {
    now += 60s; // Longer than any interval between plans.
    controller.Step(now, bundle, registry, record, {});
  };
  step();
  const Cost planned = Measure(step);
  const Cost idle = Measure([&] {
    now += 100ms;
    controller.Step(now, bundle, registry, record, {});
  });
  std::printf("%-14s %6zu %7zu %8zu %9.2f %9.2f %9s %9.2f\n", "(step)",
              aDeployment.mModels, aDeployment.mTargets, plan.mCopies.size(),
              planned.mMillis, idle.mMillis, "-", planned.mMebibytes);
}

} // namespace

int main()
{
  std::printf("%-14s %6s %7s %8s %9s %9s %9s %9s\n", "planner", "models",
              "targets", "copies", "first ms", "same ms", "moved ms",
              "peak MiB");
  const std::vector<Deployment> sizes{ Sanglerie(), Scaled(109, 875),
                                       Scaled(218, 1750), Scaled(435, 3500),
                                       Scaled(870, 7000) };
  for (const std::string_view planner : PlannerNames()) {
    for (const Deployment& size : sizes) {
      MeasurePlanner(planner, size);
    }
  }
  for (const Deployment& size : sizes) {
    MeasureController(size);
  }
  return 0;
}
