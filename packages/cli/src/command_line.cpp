#include "carobtide/cli/command_line.hpp"

#include "carobtide/base.hpp"

#include <CLI/CLI.hpp>

#include <ostream>
#include <sstream>
#include <string>

namespace carobtide {

namespace {

void AddAllCommands(CLI::App& aApp, CommandContext& aContext)
{
  aApp.set_version_flag("--version", std::string(Version()));
  aApp.require_subcommand(1);
  AddSettingsCommands(aApp, aContext);
  AddBundleCommands(aApp, aContext);
  AddStatusCommands(aApp, aContext);
  AddTimelineCommand(aApp, aContext);
  AddExplainCommand(aApp, aContext);
  AddStandinCommands(aApp, aContext);
  AddLoadCommand(aApp, aContext);
}

void CollectNames(const CLI::App& aApp, const std::string& aPrefix,
                  std::vector<std::string>& aOut)
{
  for (const CLI::App* child : aApp.get_subcommands({})) {
    const std::string name = aPrefix + child->get_name();
    if (child->get_subcommands({}).empty()) {
      aOut.push_back(name);
    }
    CollectNames(*child, name + " ", aOut);
  }
}

} // namespace

std::vector<std::string> ListCommands()
{
  std::ostringstream sink;
  CommandContext context{ sink, sink };
  CLI::App app;
  AddAllCommands(app, context);
  std::vector<std::string> names;
  CollectNames(app, "", names);
  return names;
}

int RunCommandLine(int argc, const char* const* argv, std::ostream& aOut,
                   std::ostream& aErr)
{
  CommandContext context{ aOut, aErr };
  CLI::App app{ "carobtide, the operators' tool" };
  AddAllCommands(app, context);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error, aOut, aErr);
    return code == 0 ? 0 : static_cast<int>(ExitCode::Usage);
  }
  return static_cast<int>(context.mExit);
}

} // namespace carobtide
