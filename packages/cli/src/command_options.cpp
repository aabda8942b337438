#include "carobtide/cli/command_options.hpp"

#include "carobtide/cli/option_units.hpp"
#include "carobtide/cli/text_table.hpp"

#include <fstream>
#include <iterator>
#include <ostream>

namespace carobtide {

void AddOperatorOptions(CLI::App& aApp, OperatorOptions& aOptions)
{
  AddEndpointsOption(aApp, "--daemon", aOptions.mApi.mDaemons,
                     "Operators' address of a daemon; repeatable")
    ->required();
  aApp
    .add_option("--token", aOptions.mApi.mToken,
                "Operator's token; better set in the environment")
    ->envname("CAROBTIDE_TOKEN");
  AddDurationOption(aApp, "--timeout", aOptions.mApi.mTimeout,
                    "Longest wait for one daemon");
  aApp.add_flag("--json", aOptions.mJson, "Print JSON");
}

void FailWith(CommandContext& aContext, const Error& aError)
{
  aContext.mErr << "carobtide: " << aError.ToString() << '\n';
  aContext.mExit =
    IsUnreachable(aError.mCode) ? ExitCode::Unreachable : ExitCode::Refused;
}

void PrintAnswer(CommandContext& aContext, const Result<ApiAnswer>& aAnswer,
                 bool aJson)
{
  if (!aAnswer) {
    FailWith(aContext, aAnswer.GetError());
    return;
  }
  if (aJson) {
    aContext.mOut << aAnswer->mBody << '\n';
  } else {
    aContext.mOut << RenderJsonAsText(aAnswer->mBody);
  }
}

Result<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return Error{ ErrorCode::NotFound, "file.open", aPath, "" };
  }
  std::string text{ std::istreambuf_iterator<char>(file),
                    std::istreambuf_iterator<char>() };
  if (file.bad()) {
    return Error{ ErrorCode::Io, "file.read", aPath, "" };
  }
  return text;
}

Result<Unit> WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream file(aPath, std::ios::binary | std::ios::trunc);
  file << aText;
  file.close();
  if (!file) {
    return Error{ ErrorCode::Io, "file.write", aPath, "" };
  }
  return Success();
}

} // namespace carobtide
