#pragma once

/**
 * @file
 * Options with units, endpoints and lists, for CLI11. Include in .cpp files
 * only.
 */

#include "carobtide/base.hpp"

#include <CLI/CLI.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace carobtide {

/** Adds an option for a duration such as 20ms; the unit is required. */
inline CLI::Option* AddDurationOption(CLI::App& aApp, const std::string& aName,
                                      Duration& aOut, const std::string& aHelp)
{
  static const std::map<std::string, std::int64_t> kUnits{
    { "us", 1 },         { "ms", 1'000 },        { "s", 1'000'000 },
    { "m", 60'000'000 }, { "h", 3'600'000'000 },
  };
  const auto assign = [&aOut](const std::int64_t& aMicros) {
    aOut = Duration(aMicros);
  };
  return aApp.add_option_function<std::int64_t>(aName, assign, aHelp)
    ->transform(CLI::AsNumberWithUnit(
      kUnits,
      CLI::AsNumberWithUnit::Options(CLI::AsNumberWithUnit::CASE_SENSITIVE |
                                     CLI::AsNumberWithUnit::UNIT_REQUIRED),
      "DURATION"))
    ->default_str(std::to_string(aOut.count()) + "us");
}

/** Adds an option for a size such as 80GiB; the unit is required. */
inline CLI::Option* AddSizeOption(CLI::App& aApp, const std::string& aName,
                                  Bytes& aOut, const std::string& aHelp)
{
  static const std::map<std::string, std::int64_t> kUnits{
    { "B", 1 }, { "KiB", kKiB }, { "MiB", kMiB }, { "GiB", kGiB }
  };
  return aApp.add_option(aName, aOut, aHelp)
    ->transform(CLI::AsNumberWithUnit(
      kUnits,
      CLI::AsNumberWithUnit::Options(CLI::AsNumberWithUnit::CASE_SENSITIVE |
                                     CLI::AsNumberWithUnit::UNIT_REQUIRED),
      "SIZE"))
    ->default_str(std::to_string(aOut) + "B");
}

/** Adds a repeatable, comma-separated option of addresses "IP:PORT". */
inline CLI::Option* AddEndpointsOption(CLI::App& aApp, const std::string& aName,
                                       std::vector<Endpoint>& aOut,
                                       const std::string& aHelp)
{
  const auto assign = [&aOut](const std::vector<std::string>& aTexts) {
    aOut.clear();
    for (const std::string& text : aTexts) {
      const auto endpoint = ParseEndpoint(text);
      if (!endpoint) {
        throw CLI::ValidationError("\"" + text + "\" is not IP:PORT");
      }
      aOut.push_back(*endpoint);
    }
  };
  return aApp
    .add_option_function<std::vector<std::string>>(aName, assign, aHelp)
    ->delimiter(',')
    ->type_name("IP:PORT");
}

} // namespace carobtide
