/**
 * @file
 * Runs the fault matrix and the mutation check and prints both as tables.
 * Arguments: `--seeds N` per cell from `--first-seed N`, `--step NAME`,
 * `--fault NAME`, `--counts`.
 */

#include "world.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <iostream>
#include <set>
#include <thread>

using namespace carobtide;
using namespace carobtide::matrix;

namespace {

constexpr std::uint64_t kSeeds = 2;
constexpr std::uint64_t kMutationSeeds = 6;
constexpr std::size_t kWorkers = 3;

struct Options
{
  std::uint64_t mSeeds = kSeeds;
  std::uint64_t mFirstSeed = 1;
  std::string mStep;
  std::string mFault;
  /** Prints how often each step is carried out without a fault. */
  bool mCounts = false;
};

/** One cell of the matrix. */
struct Cell
{
  Step mStep = Step::VoteRequest;
  Fault mFault = Fault::Lost;
  std::optional<std::string_view> mWhyNot;
  std::vector<std::string> mFailures;
  bool mIsSkipped = false;
};

/** How often each step is carried out without a fault, by seed. */
using Counts = std::vector<std::array<std::uint64_t, kStepCount>>;

std::string Describe(const std::vector<Violation>& aViolations)
{
  std::string text;
  for (std::size_t n = 0; n < std::min<std::size_t>(3, aViolations.size());
       ++n) {
    text += std::string(n == 0 ? "" : "; ") +
            std::string(kInvariants.Name(aViolations[n].mInvariant)) + ": " +
            aViolations[n].mWhat;
  }
  return text;
}

/** Two different faults that make sense at a step; at most one lost disk. */
std::vector<Fault> PickTwo(Step aStep, RandomEngine& aRandom)
{
  std::vector<Fault> faults;
  while (faults.size() < 2) {
    const auto fault = static_cast<Fault>(aRandom() % (kFaultCount - 1));
    if (!WhyNotApplicable(aStep, fault) &&
        std::ranges::find(faults, fault) == faults.end()) {
      faults.push_back(fault);
    }
  }
  return faults;
}

void RunCell(Cell& aCell, std::uint64_t aSeed,
             const std::array<std::uint64_t, kStepCount>& aCounts)
{
  const auto step = static_cast<std::size_t>(aCell.mStep);
  const auto fault = static_cast<std::size_t>(aCell.mFault);
  const std::uint64_t total = aCounts[step];
  const std::string where = "seed " + std::to_string(aSeed);
  if (total == 0) {
    aCell.mFailures.push_back(where + ": the step is never reached");
    return;
  }
  RandomEngine random(aSeed * 10'007 + step * 101 + fault);
  Injection injection;
  injection.mStep = aCell.mStep;
  injection.mOccurrence = 1 + random() % total;
  injection.mFaults = aCell.mFault == Fault::TwoAtOnce
                        ? PickTwo(aCell.mStep, random)
                        : std::vector<Fault>{ aCell.mFault };
  World world(aSeed, injection, Mutation::None);
  const RunResult result = world.Run();
  if (!result.mFired) {
    aCell.mFailures.push_back(where + ": the fault was not injected");
  }
  if (!result.mViolations.empty()) {
    aCell.mFailures.push_back(where + " at occurrence " +
                              std::to_string(injection.mOccurrence) + ": " +
                              Describe(result.mViolations));
  }
}

/** Calls a function for each position, on a few threads. */
template<class Function>
void ForEachParallel(std::size_t aCount, const Function& aFunction)
{
  std::atomic<std::size_t> next = 0;
  std::vector<std::thread> workers;
  for (std::size_t n = 0; n < kWorkers; ++n) {
    workers.emplace_back([&] {
      for (std::size_t it = next++; it < aCount; it = next++) {
        aFunction(it);
      }
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
}

std::vector<Cell> MakeCells(const Options& aOptions)
{
  std::vector<Cell> cells;
  for (std::size_t step = 0; step < kStepCount; ++step) {
    for (std::size_t fault = 0; fault < kFaultCount; ++fault) {
      Cell cell;
      cell.mStep = static_cast<Step>(step);
      cell.mFault = static_cast<Fault>(fault);
      cell.mWhyNot = WhyNotApplicable(cell.mStep, cell.mFault);
      cell.mIsSkipped = (!aOptions.mStep.empty() &&
                         aOptions.mStep != kSteps.Name(cell.mStep)) ||
                        (!aOptions.mFault.empty() &&
                         aOptions.mFault != kFaults.Name(cell.mFault));
      cells.push_back(cell);
    }
  }
  return cells;
}

void PrintMatrix(const std::vector<Cell>& aCells)
{
  std::printf("%-20s", "step");
  for (std::size_t fault = 0; fault < kFaultCount; ++fault) {
    std::printf("%-10s",
                std::string(kFaults.Name(static_cast<Fault>(fault))).c_str());
  }
  std::set<std::string_view> reasons;
  for (std::size_t n = 0; n < aCells.size(); ++n) {
    const Cell& cell = aCells[n];
    if (n % kFaultCount == 0) {
      std::printf("\n%-20s", std::string(kSteps.Name(cell.mStep)).c_str());
    }
    const char* mark = cell.mFailures.empty() ? "ok" : "FAILED";
    if (cell.mWhyNot) {
      mark = "-";
      reasons.insert(*cell.mWhyNot);
    } else if (cell.mIsSkipped) {
      mark = "";
    }
    std::printf("%-10s", mark);
  }
  std::printf("\n\n- is not applicable:\n");
  for (const std::string_view reason : reasons) {
    std::cout << "  " << reason << "\n";
  }
}

struct Tally
{
  std::size_t mPassed = 0;
  std::size_t mFailed = 0;
  std::size_t mNotApplicable = 0;
};

Tally RunMatrix(const Options& aOptions)
{
  Counts counts(aOptions.mSeeds);
  std::vector<std::string> calm(aOptions.mSeeds);
  ForEachParallel(aOptions.mSeeds, [&](std::size_t aIndex) {
    World world(aOptions.mFirstSeed + aIndex, std::nullopt, Mutation::None);
    const RunResult result = world.Run();
    counts[aIndex] = result.mCounts;
    calm[aIndex] = Describe(result.mViolations);
  });
  Tally tally;
  for (std::size_t n = 0; n < calm.size(); ++n) {
    const bool isGood = calm[n].empty();
    ++(isGood ? tally.mPassed : tally.mFailed);
    std::cout << "without a fault, seed " << aOptions.mFirstSeed + n << ": "
              << (isGood ? "ok" : calm[n]) << "\n";
  }
  for (std::size_t step = 0; aOptions.mCounts && step < kStepCount; ++step) {
    std::cout << kSteps.Name(static_cast<Step>(step)) << ": " << counts[0][step]
              << "\n";
  }
  std::vector<Cell> cells = MakeCells(aOptions);
  ForEachParallel(cells.size(), [&](std::size_t aIndex) {
    Cell& cell = cells[aIndex];
    for (std::uint64_t n = 0; n < aOptions.mSeeds; ++n) {
      if (!cell.mIsSkipped && !cell.mWhyNot) {
        RunCell(cell, aOptions.mFirstSeed + n, counts[n]);
      }
    }
  });
  PrintMatrix(cells);
  for (const Cell& cell : cells) {
    for (const std::string& failure : cell.mFailures) {
      std::cout << "FAILED " << kSteps.Name(cell.mStep) << " / "
                << kFaults.Name(cell.mFault) << ", " << failure << "\n";
    }
    if (cell.mWhyNot) {
      ++tally.mNotApplicable;
    } else if (!cell.mIsSkipped) {
      ++(cell.mFailures.empty() ? tally.mPassed : tally.mFailed);
    }
  }
  return tally;
}

/** The invariant that notices a planted defect. */
Invariant CaughtBy(Mutation aMutation)
{
  switch (aMutation) {
    case Mutation::SendsUnreservedLoad:
      return Invariant::Memory;
    case Mutation::UnloadsLastCopy:
      return Invariant::Reachable;
    case Mutation::CrossesAnswers:
    case Mutation::EndsCutAnswer:
      return Invariant::WholeAnswer;
    case Mutation::SaysNotRunAfterDispatch:
      return Invariant::NotRun;
    case Mutation::GrantsTwice:
    case Mutation::RetriesOrder:
      return Invariant::AtMostOnce;
    case Mutation::IgnoresLeaving:
      return Invariant::Leaving;
    case Mutation::StopsWithWorkInFlight:
      return Invariant::PlannedStop;
    case Mutation::TakesLowerEpoch:
    case Mutation::IgnoresConfiguration:
      return Invariant::Configuration;
    case Mutation::ForgetsEntries:
      return Invariant::Agreement;
    default:
      return Invariant::Convergence;
  }
}

/** The fault under which a planted defect shows. */
std::optional<Injection> FaultFor(Mutation aMutation, std::uint64_t aSeed)
{
  if (aMutation == Mutation::EndsCutAnswer) {
    return Injection{ Step::AttemptChunk, 20 + aSeed, { Fault::DiesAfter } };
  }
  return std::nullopt;
}

Tally RunMutations()
{
  std::vector<std::uint64_t> caughtAt(kMutations.mRows.size());
  ForEachParallel(caughtAt.size() - 1, [&](std::size_t aIndex) {
    const auto mutation = static_cast<Mutation>(aIndex + 1);
    for (std::uint64_t seed = 1; seed <= kMutationSeeds; ++seed) {
      World world(seed, FaultFor(mutation, seed), mutation);
      const RunResult result = world.Run();
      const bool isCaught = std::ranges::any_of(
        result.mViolations, [&](const Violation& aViolation) {
          return aViolation.mInvariant == CaughtBy(mutation);
        });
      if (isCaught) {
        caughtAt[aIndex + 1] = seed;
        return;
      }
    }
  });
  Tally tally;
  std::printf("\n%-44s%-16s%s\n", "planted defect", "invariant", "caught");
  for (std::size_t n = 1; n < caughtAt.size(); ++n) {
    const auto mutation = static_cast<Mutation>(n);
    const bool isCaught = caughtAt[n] != 0;
    ++(isCaught ? tally.mPassed : tally.mFailed);
    std::printf("%-44s%-16s%s\n",
                std::string(kMutations.Name(mutation)).c_str(),
                std::string(kInvariants.Name(CaughtBy(mutation))).c_str(),
                isCaught ? ("seed " + std::to_string(caughtAt[n])).c_str()
                         : "NOT CAUGHT");
  }
  return tally;
}

Options Parse(const std::vector<std::string>& aArguments)
{
  Options options;
  options.mCounts =
    std::ranges::find(aArguments, "--counts") != aArguments.end();
  for (std::size_t n = 0; n + 1 < aArguments.size(); ++n) {
    if (aArguments[n] == "--seeds") {
      options.mSeeds = std::stoull(aArguments[n + 1]);
    } else if (aArguments[n] == "--first-seed") {
      options.mFirstSeed = std::stoull(aArguments[n + 1]);
    } else if (aArguments[n] == "--step") {
      options.mStep = aArguments[n + 1];
    } else if (aArguments[n] == "--fault") {
      options.mFault = aArguments[n + 1];
    }
  }
  return options;
}

} // namespace

int main(int aCount, char** aArguments)
{
  std::ios::sync_with_stdio(true);
  const Options options =
    Parse(std::vector<std::string>(aArguments + 1, aArguments + aCount));
  const Tally cells = RunMatrix(options);
  const Tally mutations = RunMutations();
  std::cout << "\ncells: " << cells.mPassed << " passed, " << cells.mFailed
            << " failed, " << cells.mNotApplicable << " not applicable\n"
            << "planted defects: " << mutations.mPassed << " caught, "
            << mutations.mFailed << " missed\n"
            << cells.mPassed + mutations.mPassed << " passed, "
            << cells.mFailed + mutations.mFailed << " failed\n";
  return cells.mFailed + mutations.mFailed == 0 ? 0 : 1;
}
