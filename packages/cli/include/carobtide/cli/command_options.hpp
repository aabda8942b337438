#pragma once

/**
 * @file
 * Options and endings that the operators' commands share.
 */

#include "carobtide/cli/api_client.hpp"
#include "carobtide/cli/command_line.hpp"

#include <string>

namespace carobtide {

/** How an operators' command reaches the daemons and prints. */
struct OperatorOptions
{
  ApiOptions mApi;
  /** True prints the daemon's JSON instead of text. */
  bool mJson = false;
};

/** Adds --daemon, --token, --timeout and --json to a command. */
void AddOperatorOptions(CLI::App& aApp, OperatorOptions& aOptions);

/** Prints an error with its step and peer; sets the exit code. */
void FailWith(CommandContext& aContext, const Error& aError);

/** Prints a call's answer as text or JSON, or its error. */
void PrintAnswer(CommandContext& aContext, const Result<ApiAnswer>& aAnswer,
                 bool aJson);

/** Reads a whole file; NotFound or Io with the path as the peer. */
Result<std::string> ReadFile(const std::string& aPath);

/** Writes a whole file; Io with the path as the peer. */
Result<Unit> WriteFile(const std::string& aPath, const std::string& aText);

} // namespace carobtide
