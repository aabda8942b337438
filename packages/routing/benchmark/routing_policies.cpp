// Compares routing policies on a seeded model of the targets, at the sizes of
// both deployments: service at the crest, wait of short work behind long work,
// latency while targets are slowed, and attainment per accelerator.
#include "workload.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>

using namespace carobtide;
using namespace carobtide::model;

namespace {

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

struct Variant
{
  const char* mName;
  RouterOptions mOptions;
  bool mHasHints = true;
};

Variant Baseline(const char* aName)
{
  Variant variant{ aName, {}, true };
  variant.mOptions.mPolicy = aName;
  variant.mOptions.mPlainFifo = true;
  return variant;
}

/** The baselines and the policy as shipped. */
std::vector<Variant> MainVariants()
{
  return { Baseline("round-robin"), Baseline("least-reported"),
           Variant{ "two-choices", {}, true } };
}

/** The policy with one part taken away at a time. */
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

/** Latency that stands for an answer that never came. */
constexpr double kNoAnswer = 60.0;
constexpr double kDuration = 120.0;
constexpr double kDrain = 120.0;
constexpr double kCrestFrom = 40.0;
constexpr double kCrestTo = 70.0;

struct Figures
{
  double mP50 = 0.0;
  double mP99 = 0.0;
  /** Of models that more than one target holds. */
  double mReplicatedP99 = 0.0;
  double mWholeP99 = 0.0;
  double mWaitMean = 0.0;
  double mWaitP99 = 0.0;
  double mAttained = 0.0;
  double mAttainedShare = 0.0;
  double mAttainedInteractive = 0.0;
  double mAnswered = 0.0;
  RouterStats mStats;
};

bool IsAttained(const Outcome& aOutcome)
{
  if (aOutcome.mWhole < 0.0) {
    return false;
  }
  switch (aOutcome.mPriority) {
    case PriorityClass::Interactive:
      return aOutcome.mIsStreaming ? aOutcome.mFirstByte <= 1.0
                                   : aOutcome.mWhole <= 5.0;
    case PriorityClass::Standard:
      return aOutcome.mIsStreaming ? aOutcome.mFirstByte <= 5.0
                                   : aOutcome.mWhole <= 15.0;
    default:
      return aOutcome.mWhole <= 600.0;
  }
}

Figures Measure(const ServiceModel& aModel, const ModelOptions& aOptions,
                double aFrom, double aTo)
{
  Figures figures;
  std::vector<double> firstBytes;
  std::vector<double> replicated;
  std::vector<double> wholes;
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
    answered += it.mWhole >= 0.0 ? 1.0 : 0.0;
    attained += IsAttained(it) ? 1.0 : 0.0;
    if (it.mPriority != PriorityClass::Interactive) {
      continue;
    }
    interactive += 1.0;
    interactiveAttained += IsAttained(it) ? 1.0 : 0.0;
    if (it.mTokens < 240.0) {
      const bool isAnswered = it.mWhole >= 0.0;
      if (it.mIsStreaming) {
        const double firstByte = isAnswered ? it.mFirstByte : kNoAnswer;
        firstBytes.push_back(firstByte);
        if (!it.mIsOnlyCopy) {
          replicated.push_back(firstByte);
        }
      }
      wholes.push_back(isAnswered ? it.mWhole : kNoAnswer);
      waits.push_back(isAnswered ? it.mWaited : kNoAnswer);
    }
  }
  figures.mP50 = Quantile(firstBytes, 0.5);
  figures.mP99 = Quantile(firstBytes, 0.99);
  figures.mReplicatedP99 = Quantile(replicated, 0.99);
  figures.mWholeP99 = Quantile(wholes, 0.99);
  figures.mWaitMean = Mean(waits);
  figures.mWaitP99 = Quantile(waits, 0.99);
  figures.mAttained =
    attained / (aTo - aFrom) / static_cast<double>(aOptions.mTargets);
  figures.mAttainedShare = attained / count;
  figures.mAttainedInteractive = interactiveAttained / interactive;
  figures.mAnswered = answered / count;
  for (std::uint32_t it = 0; it < aOptions.mDaemons; ++it) {
    const RouterStats stats = aModel.RouterAt(it).Stats();
    figures.mStats.mRefused += stats.mRefused;
    figures.mStats.mHedges += stats.mHedges;
    figures.mStats.mProbes += stats.mProbes;
    figures.mStats.mDropped += stats.mDropped;
  }
  return figures;
}

struct Scenario
{
  const char* mName;
  double mLoad;
  double mCrestFactor;
  bool mIsSlowed;
};

constexpr std::array<Scenario, 5> kScenarios{ {
  { "crest", 0.6, 2.2, false },
  { "stragglers", 0.85, 1.0, false },
  { "unslowed", 0.6, 1.0, false },
  { "slowed", 0.6, 1.0, true },
  { "mixed", 0.75, 1.6, true },
} };

Figures RunScenario(const Deployment& aDeployment, const Variant& aVariant,
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
  workload.mCrest = { kCrestFrom, kCrestTo, aScenario.mCrestFactor };
  workload.mSeed = aSeed;
  ServiceModel model(options);
  AddWorkload(model, options, workload);
  if (aScenario.mIsSlowed) {
    AddSlowSpells(model, options, kDuration, aSeed);
  }
  model.Run(kDuration + kDrain);
  const bool hasCrest = aScenario.mCrestFactor > 1.0;
  return Measure(model, options, hasCrest ? kCrestFrom : 10.0,
                 hasCrest ? kCrestTo : kDuration);
}

void PrintScenario(const Deployment& aDeployment, const Scenario& aScenario,
                   const std::vector<Variant>& aVariants, std::uint64_t aSeed)
{
  std::printf("%s, %s\n", aDeployment.mName, aScenario.mName);
  std::printf("  %-15s %8s %8s %8s %8s %8s %8s %8s %8s %8s %6s %6s %6s\n",
              "policy", "p50", "p99", "p99-rep", "whole99", "wait", "wait99",
              "att/s/a", "att-int", "answered", "refus", "hedge", "probe");
  for (const Variant& variant : aVariants) {
    const Figures it = RunScenario(aDeployment, variant, aScenario, aSeed);
    std::printf("  %-15s %8.3f %8.3f %8.3f %8.3f %8.4f %8.3f %8.3f %8.3f "
                "%8.3f %6llu %6llu %6llu\n",
                variant.mName, it.mP50, it.mP99, it.mReplicatedP99,
                it.mWholeP99, it.mWaitMean, it.mWaitP99, it.mAttained,
                it.mAttainedInteractive, it.mAnswered,
                static_cast<unsigned long long>(it.mStats.mRefused),
                static_cast<unsigned long long>(it.mStats.mHedges),
                static_cast<unsigned long long>(it.mStats.mProbes));
  }
}

/**
 * The highest load at which enough requests of every kind are within their
 * objective: what one accelerator is worth.
 */
void PrintSustainedLoad(const Deployment& aDeployment,
                        const std::vector<Variant>& aVariants,
                        std::uint64_t aSeed)
{
  constexpr double kEnough = 0.95;
  constexpr double kStep = 0.05;
  constexpr double kLeast = 0.3;
  constexpr double kMost = 1.2;
  for (const Variant& variant : aVariants) {
    double sustained = 0.0;
    for (double load = kLeast; load <= kMost; load += kStep) {
      const Scenario scenario{ "sustained", load, 1.0, true };
      const Figures it = RunScenario(aDeployment, variant, scenario, aSeed);
      if (std::min(it.mAttainedInteractive, it.mAttainedShare) < kEnough) {
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
 * Arguments: a seed, "main" or "ablation" (the parts of the policy), and
 * optionally the name of one scenario.
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
