#include "carobtide/cli/command_line.hpp"

#include "carobtide/base.hpp"

#include <CLI/CLI.hpp>

#include <ostream>
#include <string>

namespace carobtide {

int RunCommandLine(int argc, const char* const* argv, std::ostream& aOut,
                   std::ostream& aErr)
{
  CommandContext context{ aOut, aErr };
  CLI::App app{ "carobtide, the operators' tool" };
  app.set_version_flag("--version", std::string(Version()));
  app.require_subcommand(1);
  AddSettingsCommands(app, context);
  AddBundleCommands(app, context);
  AddStatusCommands(app, context);
  AddTimelineCommand(app, context);
  AddStandinCommands(app, context);
  AddLoadCommand(app, context);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error, aOut, aErr);
    return code == 0 ? 0 : static_cast<int>(ExitCode::Usage);
  }
  return static_cast<int>(context.mExit);
}

} // namespace carobtide
