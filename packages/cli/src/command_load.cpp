#include "carobtide/cli/clock.hpp"
#include "carobtide/cli/command_options.hpp"
#include "carobtide/cli/load_worker.hpp"
#include "carobtide/cli/option_units.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <ostream>
#include <thread>

namespace carobtide {

namespace {

constexpr Duration kStartDelay = std::chrono::milliseconds(200);

/** Options of `carobtide load`. */
struct LoadOptions
{
  std::string mScenarioFile;
  LoadRunOptions mRun;
  std::optional<std::uint64_t> mSeed;
  std::string mKeysFile;
  std::string mResultFile;
  std::string mPlotFile;
  bool mQuiet = false;
  bool mShowBench = false;
};

std::optional<LoadScenario> ReadScenario(CommandContext& aContext,
                                         const std::string& aFile)
{
  const auto text = ReadFile(aFile);
  if (!text) {
    FailWith(aContext, text.GetError());
    aContext.mExit = ExitCode::Usage;
    return std::nullopt;
  }
  auto parsed = ParseLoadScenario(*text);
  if (const auto* faults = std::get_if<std::vector<YamlFault>>(&parsed)) {
    for (const YamlFault& fault : *faults) {
      aContext.mErr << aFile << ":" << fault.ToString() << '\n';
    }
    aContext.mExit = ExitCode::Usage;
    return std::nullopt;
  }
  return std::move(std::get<LoadScenario>(parsed));
}

/** Keys of the scenario's organisations; none if it has no organisations. */
Result<std::vector<std::string>> ReadKeys(const LoadScenario& aScenario,
                                          const std::string& aFile)
{
  if (aScenario.mOrganisations.mMembers.empty()) {
    return std::vector<std::string>();
  }
  const auto text = ReadFile(aFile);
  if (!text) {
    return text.GetError();
  }
  return ParseLoadKeys(aScenario.mOrganisations, aFile, *text);
}

/** Sums of all workers. */
struct ProgressSum
{
  std::uint64_t mSent = 0;
  std::uint64_t mOpen = 0;
  std::uint64_t mWhole = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mOther = 0;
  std::uint64_t mEvents = 0;
};

using Workers = std::vector<std::unique_ptr<LoadWorker>>;

ProgressSum SumProgress(const Workers& aWorkers)
{
  ProgressSum sum;
  for (const auto& worker : aWorkers) {
    const LoadProgress& progress = worker->Progress();
    sum.mSent += progress.mSent;
    sum.mOpen += progress.mOpen;
    sum.mWhole += progress.mWhole;
    sum.mNotRun += progress.mNotRun;
    sum.mOther += progress.mOther;
    sum.mEvents += progress.mEvents;
  }
  return sum;
}

/** Prints a line each second until every thread is done. */
void ShowProgress(const Workers& aWorkers,
                  const std::atomic<std::size_t>& aRunning, Instant aStart,
                  std::ostream& aErr)
{
  constexpr std::chrono::milliseconds kPoll{ 100 };
  constexpr std::int64_t kPollsPerLine = 10;
  ProgressSum last;
  for (std::int64_t poll = 1; aRunning > 0; ++poll) {
    std::this_thread::sleep_for(kPoll);
    if (poll % kPollsPerLine != 0) {
      continue;
    }
    const ProgressSum sum = SumProgress(aWorkers);
    const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(SteadyNow() - aStart);
    aErr << seconds.count() << "s sent " << sum.mSent << " (+"
         << sum.mSent - last.mSent << ") open " << sum.mOpen << " whole "
         << sum.mWhole << " (+" << sum.mWhole - last.mWhole << ") not-run "
         << sum.mNotRun << " other " << sum.mOther << " events +"
         << sum.mEvents - last.mEvents << std::endl;
    last = sum;
  }
}

LoadStats RunScenario(const LoadScenario& aScenario,
                      const LoadRunOptions& aOptions, std::ostream* aErr)
{
  Workers workers;
  for (std::size_t i = 0; i < aOptions.mThreads; ++i) {
    workers.push_back(std::make_unique<LoadWorker>(aScenario, aOptions, i));
  }
  const Instant start = SteadyNow() + kStartDelay;
  std::atomic<std::size_t> running{ workers.size() };
  std::vector<std::thread> threads;
  for (const auto& worker : workers) {
    threads.emplace_back([&running, start, one = worker.get()] {
      one->Run(start);
      --running;
    });
  }
  if (aErr != nullptr) {
    ShowProgress(workers, running, start, *aErr);
  }
  std::ranges::for_each(threads, &std::thread::join);
  LoadStats stats(aScenario);
  for (const auto& worker : workers) {
    stats.Merge(worker->Stats());
  }
  return stats;
}

void WriteResult(CommandContext& aContext, const std::string& aFile,
                 const std::string& aText)
{
  if (aFile.empty()) {
    return;
  }
  const auto written = WriteFile(aFile, aText);
  if (!written) {
    FailWith(aContext, written.GetError());
  }
}

void RunLoad(CommandContext& aContext, LoadOptions aOptions)
{
  auto scenario = ReadScenario(aContext, aOptions.mScenarioFile);
  if (!scenario) {
    return;
  }
  if (aOptions.mShowBench) {
    aContext.mOut << RenderBenchJson(*scenario) << '\n';
    return;
  }
  if (aOptions.mRun.mDaemons.empty()) {
    aContext.mErr << "carobtide: load: --daemon is required\n";
    aContext.mExit = ExitCode::Usage;
    return;
  }
  auto keys = ReadKeys(*scenario, aOptions.mKeysFile);
  if (!keys) {
    FailWith(aContext, keys.GetError());
    aContext.mExit = ExitCode::Usage;
    return;
  }
  aOptions.mRun.mKeys = std::move(*keys);
  scenario->mSeed = aOptions.mSeed.value_or(scenario->mSeed);
  aOptions.mRun.mSeed = scenario->mSeed;
  const LoadStats stats = RunScenario(
    *scenario, aOptions.mRun, aOptions.mQuiet ? nullptr : &aContext.mErr);
  aContext.mOut << stats.RenderText();
  WriteResult(aContext, aOptions.mResultFile, stats.RenderJson() + "\n");
  WriteResult(aContext, aOptions.mPlotFile, stats.RenderSvg());
  if (stats.Total().Count(LoadOutcome::Wrong) > 0) {
    aContext.mErr << "carobtide: load: wrong answers were taken for whole\n";
    aContext.mExit = ExitCode::Refused;
  }
}

} // namespace

void AddLoadCommand(CLI::App& aApp, CommandContext& aContext)
{
  CLI::App* load =
    aApp.add_subcommand("load", "Open-loop load from a scenario file");
  auto options = std::make_shared<LoadOptions>();
  load->add_option("SCENARIO", options->mScenarioFile, "Scenario in YAML")
    ->required();
  AddEndpointsOption(*load, "--daemon", options->mRun.mDaemons,
                     "Callers' address of a daemon; repeatable");
  load->add_option("--seed", options->mSeed, "Replaces the scenario's seed");
  load->add_option("--threads", options->mRun.mThreads, "Threads")
    ->check(CLI::Range(1, 64))
    ->capture_default_str();
  load
    ->add_option("--max-open", options->mRun.mMaxOpen,
                 "Requests open at once on each thread")
    ->check(CLI::PositiveNumber)
    ->capture_default_str();
  load->add_option(
    "--keys", options->mKeysFile,
    "File with the organisations' API keys, \"NAME KEY\" a line");
  load->add_option("--result", options->mResultFile, "Write the result (JSON)");
  load->add_option("--plot", options->mPlotFile, "Write a plot (SVG)");
  load->add_flag("--quiet", options->mQuiet, "No progress lines");
  load->add_flag("--show-bench", options->mShowBench,
                 "Print what tools/bench starts for the scenario, and exit");
  load->callback([options, &aContext] { RunLoad(aContext, *options); });
}

} // namespace carobtide
