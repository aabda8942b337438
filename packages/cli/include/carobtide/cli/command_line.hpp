#pragma once

/**
 * @file
 * The command line of `carobtide`. CLI11 stays out of this header.
 */

#include <iosfwd>
#include <string>
#include <vector>

namespace CLI { // NOLINT(readability-identifier-naming): a library's
class App;
}

namespace carobtide {

/** Exit codes of every command. */
enum class ExitCode
{
  Ok = 0,
  /** The system refused, or a check of it failed. */
  Refused = 1,
  /** Wrong usage, or faults in a file. */
  Usage = 2,
  /** No daemon could be reached. */
  Unreachable = 3,
};

/** Where a command writes, and how it ended. */
struct CommandContext
{
  std::ostream& mOut;
  std::ostream& mErr;
  ExitCode mExit = ExitCode::Ok;
};

/** Each adds its commands to the tree; they run when the line is parsed. */
void AddSettingsCommands(CLI::App& aApp, CommandContext& aContext);
void AddBundleCommands(CLI::App& aApp, CommandContext& aContext);
void AddStatusCommands(CLI::App& aApp, CommandContext& aContext);
void AddTimelineCommand(CLI::App& aApp, CommandContext& aContext);
void AddExplainCommand(CLI::App& aApp, CommandContext& aContext);
void AddStandinCommands(CLI::App& aApp, CommandContext& aContext);
void AddLoadCommand(CLI::App& aApp, CommandContext& aContext);

/** Every command by its full name, e.g. "bundle sign-off". */
std::vector<std::string> ListCommands();

/**
 * Parses a command line and runs the command. Returns the process's exit
 * code.
 */
int RunCommandLine(int argc, const char* const* argv, std::ostream& aOut,
                   std::ostream& aErr);

} // namespace carobtide
