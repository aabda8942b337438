// Compares routing policies in a simulation with a fixed seed, at the sizes of
// both deployments: latency during a load peak, queueing of short requests
// behind long ones, latency while targets are slow, and the number of requests
// per accelerator that meet their latency objective.
#include "workload.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>

using namespace carobtide;
using namespace carobtide::model;

namespace {

/** Size of a deployment. */
struct Deployment
{
  const char* mName;
  std::uint32_t mDomains;
  std::uint32_t mTargets;
  std::uint32_t mModels;
};

constexpr std::array<Deployment, 2> kDeployments{ {
  { "sanglerie", 4, 18, 34 },
  { "lantern-reef", 3, 9, 17 },
} };

/** A router configuration to compare. */
struct Variant
{
  const char* mName;
  RouterOptions mOptions;
  bool mHasHints = true;
};

/** A policy without admission control, with FIFO queues on the targets. */
Variant Baseline(const char* aName)
{
  Variant variant{ aName, {}, true };
  variant.mOptions.mPolicy = aName;
  variant.mOptions.mPlainFifo = true;
  return variant;
}

/** The baselines and the default configuration. */
std::vector<Variant> MainVariants()
{
  return { Baseline("round-robin"), Baseline("least-reported"),
           Variant{ "two-choices", {}, true } };
}

/** The default configuration and variants of it with one change each. */
std::vector<Variant> Ablations()
{
  std::vector<Variant> variants{ Variant{ "as shipped", {}, true } };
  const auto add = [&](const char* aName) -> RouterOptions& {
    variants.push_back({ aName, {}, true });
    return variants.back().mOptions;
  };
  add("no long share").mLongShare = 1.0;
  add("no reserve").mShortReserve = 0.0;
  add("no excess").mInteractiveOvercommit = 0.0;
  add("no hedges").mHedgeBudget = 0.0;
  add("round-robin").mPolicy = "round-robin";
  add("least-reported").mPolicy = "least-reported";
  add("no hints");
  variants.back().mHasHints = false;
  return variants;
}

/** Latency in seconds that is counted for a request without an answer. */
constexpr double kNoAnswerLatency = 60.0;
/** Seconds with arrivals, and seconds after them for open requests to end. */
constexpr double kDuration = 120.0;
constexpr double kDrain = 120.0;
/** Start and end of the load peak, in seconds. */
constexpr double kPeakFrom = 40.0;
constexpr double kPeakTo = 70.0;

/** Results of one run. Times in seconds. */
struct Summary
{
  /** Time to first byte of short streamed interactive requests. */
  double mP50 = 0.0;
  double mP99 = 0.0;
  /** The same for models with several replicas. */
  double mReplicatedP99 = 0.0;
  /** Total latency and queueing time of short interactive requests. */
  double mTotalP99 = 0.0;
  double mWaitMean = 0.0;
  double mWaitP99 = 0.0;
  /** Requests within their objective, per second and accelerator. */
  double mAttained = 0.0;
  double mAttainedShare = 0.0;
  double mAttainedInteractive = 0.0;
  double mAnswered = 0.0;
  RouterStats mStats;
};

/** True if the latency objective of the request's class was met. */
bool IsAttained(const Outcome& aOutcome)
{
  if (aOutcome.mTotalLatency < 0.0) {
    return false;
  }
  switch (aOutcome.mPriority) {
    case PriorityClass::Interactive:
      return aOutcome.mIsStreaming ? aOutcome.mFirstByte <= 1.0
                                   : aOutcome.mTotalLatency <= 5.0;
    case PriorityClass::Standard:
      return aOutcome.mIsStreaming ? aOutcome.mFirstByte <= 5.0
                                   : aOutcome.mTotalLatency <= 15.0;
    default:
      return aOutcome.mTotalLatency <= 600.0;
  }
}

/** Summarizes the requests that arrived from aFrom until before aTo. */
Summary Measure(const ServiceModel& aModel, const ModelOptions& aOptions,
                double aFrom, double aTo)
{
  Summary summary;
  std::vector<double> firstBytes;
  std::vector<double> replicated;
  std::vector<double> totals;
  std::vector<double> waits;
  double attained = 0.0;
  double interactive = 0.0;
  double interactiveAttained = 0.0;
  double answered = 0.0;
  double count = 0.0;
  for (const Outcome& it : aModel.Outcomes()) {
    if (it.mArrivedAt < aFrom || it.mArrivedAt >= aTo) {
      continue;
    }
    count += 1.0;
    answered += it.mTotalLatency >= 0.0 ? 1.0 : 0.0;
    attained += IsAttained(it) ? 1.0 : 0.0;
    if (it.mPriority != PriorityClass::Interactive) {
      continue;
    }
    interactive += 1.0;
    interactiveAttained += IsAttained(it) ? 1.0 : 0.0;
    if (it.mTokens < 240.0) {
      const bool isAnswered = it.mTotalLatency >= 0.0;
      if (it.mIsStreaming) {
        const double firstByte = isAnswered ? it.mFirstByte : kNoAnswerLatency;
        firstBytes.push_back(firstByte);
        if (!it.mIsSingleReplica) {
          replicated.push_back(firstByte);
        }
      }
      totals.push_back(isAnswered ? it.mTotalLatency : kNoAnswerLatency);
      waits.push_back(isAnswered ? it.mWaited : kNoAnswerLatency);
    }
  }
  summary.mP50 = Quantile(firstBytes, 0.5);
  summary.mP99 = Quantile(firstBytes, 0.99);
  summary.mReplicatedP99 = Quantile(replicated, 0.99);
  summary.mTotalP99 = Quantile(totals, 0.99);
  summary.mWaitMean = Mean(waits);
  summary.mWaitP99 = Quantile(waits, 0.99);
  summary.mAttained =
    attained / (aTo - aFrom) / static_cast<double>(aOptions.mTargets);
  summary.mAttainedShare = attained / count;
  summary.mAttainedInteractive = interactiveAttained / interactive;
  summary.mAnswered = answered / count;
  for (std::uint32_t it = 0; it < aOptions.mDaemons; ++it) {
    const RouterStats stats = aModel.RouterAt(it).Stats();
    summary.mStats.mRefused += stats.mRefused;
    summary.mStats.mHedges += stats.mHedges;
    summary.mStats.mProbes += stats.mProbes;
    summary.mStats.mDropped += stats.mDropped;
  }
  return summary;
}

/** Load and faults of one run. */
struct Scenario
{
  const char* mName;
  double mLoad;
  double mPeakFactor;
  /** True if targets become slow at intervals. */
  bool mHasSlowTargets;
};

constexpr std::array<Scenario, 5> kScenarios{ {
  { "crest", 0.6, 2.2, false },
  { "stragglers", 0.85, 1.0, false },
  { "unslowed", 0.6, 1.0, false },
  { "slowed", 0.6, 1.0, true },
  { "mixed", 0.75, 1.6, true },
} };

Summary RunScenario(const Deployment& aDeployment, const Variant& aVariant,
                    const Scenario& aScenario, std::uint64_t aSeed)
{
  ModelOptions options;
  options.mDomains = aDeployment.mDomains;
  options.mTargets = aDeployment.mTargets;
  options.mModels = aDeployment.mModels;
  options.mSeed = aSeed;
  options.mRouter = aVariant.mOptions;
  options.mHasHints = aVariant.mHasHints;
  WorkloadOptions workload;
  workload.mDuration = kDuration;
  workload.mLoad = aScenario.mLoad;
  workload.mRatePeak = { kPeakFrom, kPeakTo, aScenario.mPeakFactor };
  workload.mSeed = aSeed;
  ServiceModel model(options);
  AddWorkload(model, options, workload);
  if (aScenario.mHasSlowTargets) {
    AddSlowPeriods(model, options, kDuration, aSeed);
  }
  model.Run(kDuration + kDrain);
  const bool hasPeak = aScenario.mPeakFactor > 1.0;
  return Measure(model, options, hasPeak ? kPeakFrom : 10.0,
                 hasPeak ? kPeakTo : kDuration);
}

void PrintScenario(const Deployment& aDeployment, const Scenario& aScenario,
                   const std::vector<Variant>& aVariants, std::uint64_t aSeed)
{
  std::printf("%s, %s\n", aDeployment.mName, aScenario.mName);
  std::printf("  %-15s %8s %8s %8s %8s %8s %8s %8s %8s %8s %6s %6s %6s\n",
              "policy", "p50", "p99", "p99-rep", "whole99", "wait", "wait99",
              "att/s/a", "att-int", "answered", "refus", "hedge", "probe");
  for (const Variant& variant : aVariants) {
    const Summary it = RunScenario(aDeployment, variant, aScenario, aSeed);
    std::printf("  %-15s %8.3f %8.3f %8.3f %8.3f %8.4f %8.3f %8.3f %8.3f "
                "%8.3f %6llu %6llu %6llu\n",
                variant.mName, it.mP50, it.mP99, it.mReplicatedP99,
                it.mTotalP99, it.mWaitMean, it.mWaitP99, it.mAttained,
                it.mAttainedInteractive, it.mAnswered,
                static_cast<unsigned long long>(it.mStats.mRefused),
                static_cast<unsigned long long>(it.mStats.mHedges),
                static_cast<unsigned long long>(it.mStats.mProbes));
  }
}

/**
 * Prints the highest load up to which enough requests meet their objective,
 * both among all requests and among the interactive ones. It measures the
 * useful capacity of the accelerators under a policy.
 */
void PrintSustainedLoad(const Deployment& aDeployment,
                        const std::vector<Variant>& aVariants,
                        std::uint64_t aSeed)
{
  constexpr double kRequiredShare = 0.95;
  constexpr double kLoadStep = 0.05;
  constexpr double kMinLoad = 0.3;
  constexpr double kMaxLoad = 1.2;
  for (const Variant& variant : aVariants) {
    double sustained = 0.0;
    for (double load = kMinLoad; load <= kMaxLoad; load += kLoadStep) {
      const Scenario scenario{ "sustained", load, 1.0, true };
      const Summary it = RunScenario(aDeployment, variant, scenario, aSeed);
      if (std::min(it.mAttainedInteractive, it.mAttainedShare) <
          kRequiredShare) {
        break;
      }
      sustained = load;
    }
    std::printf("%s, sustained load with slowed targets: %-15s %.2f of the "
                "slots\n",
                aDeployment.mName, variant.mName, sustained);
  }
}

} // namespace

/**
 * Arguments, all optional: a seed, "main" (policies) or "ablation" (variants of
 * the default configuration), and the name of the only scenario to run.
 */
int main(int argc, char** argv)
{
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const bool isAblation = argc > 2 && std::string(argv[2]) == "ablation";
  const std::string only = argc > 3 ? argv[3] : "";
  const std::vector<Variant> variants =
    isAblation ? Ablations() : MainVariants();
  std::printf("seed %llu; times in seconds; att/s/a: requests within their "
              "objective per second and accelerator\n",
              static_cast<unsigned long long>(seed));
  for (const Deployment& deployment : kDeployments) {
    for (const Scenario& scenario : kScenarios) {
      if (only.empty() || only == scenario.mName) {
        PrintScenario(deployment, scenario, variants, seed);
      }
    }
    if (only.empty()) {
      PrintSustainedLoad(deployment, variants, seed);
    }
  }
  return 0;
}
