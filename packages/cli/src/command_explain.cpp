#include "carobtide/cli/command_options.hpp"
#include "carobtide/cli/log_story.hpp"

#include <CLI/CLI.hpp>

#include <iostream>
#include <iterator>
#include <memory>
#include <ostream>

namespace carobtide {

namespace {

/** Options of an explanation. */
struct ExplainOptions
{
  std::string mRequest;
  std::vector<std::string> mLogs;
};

/** The logs' text, in one; standard input if no log is named. */
Result<std::string> ReadLogs(const std::vector<std::string>& aPaths)
{
  std::string text;
  if (aPaths.empty()) {
    text.assign(std::istreambuf_iterator<char>(std::cin), {});
  }
  for (const std::string& path : aPaths) {
    auto read = ReadFile(path);
    if (!read) {
      return read.GetError();
    }
    text += *read + '\n';
  }
  return text;
}

void Explain(CommandContext& aContext, const ExplainOptions& aOptions)
{
  const auto text = ReadLogs(aOptions.mLogs);
  if (!text) {
    FailWith(aContext, text.GetError());
    return;
  }
  std::size_t skipped = 0;
  auto lines = ParseLog(*text, skipped);
  if (skipped > 0) {
    aContext.mErr << skipped << " lines are no log lines and were skipped\n";
  }
  const RequestStory story = TellStory(std::move(lines), aOptions.mRequest);
  aContext.mOut << RenderStory(story, aOptions.mRequest);
}

} // namespace

void AddExplainCommand(CLI::App& aApp, CommandContext& aContext)
{
  CLI::App* explain = aApp.add_subcommand(
    "explain", "Why a request ended as it did, from the daemons' logs");
  auto options = std::make_shared<ExplainOptions>();
  explain
    ->add_option("REQUEST", options->mRequest,
                 "The id that the caller gave it, or the daemon's own number")
    ->required();
  explain->add_option("LOG", options->mLogs,
                      "Log files of daemons; standard input if there are none");
  explain->callback([options, &aContext] { Explain(aContext, *options); });
}

} // namespace carobtide
