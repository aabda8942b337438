#pragma once

/**
 * @file
 * A settings file that is read more than once: it may be half written.
 */

#include "carobtide/daemon/logging.hpp"
#include "carobtide/settings.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace carobtide {

/**
 * Reads settings and logs each change of what is wrong with them.
 *
 * Thread safety: none.
 */
template<class Settings>
class SettingsFile
{
public:
  using Parsed = std::variant<Settings, std::vector<YamlFault>>;
  using Parser = Parsed (*)(std::string_view);

  SettingsFile(std::string aPath, Parser aParse)
    : mPath(std::move(aPath))
    , mParse(aParse)
  {
  }

  /**
   * The settings as they are now, or nothing on any fault. Faults are logged
   * unless those of the read before were the same.
   *
   * Precondition: InitLogging was called.
   */
  std::optional<Settings> Read()
  {
    auto parsed = Parse();
    if (auto* settings = std::get_if<Settings>(&parsed)) {
      mFaults.clear();
      return std::move(*settings);
    }
    std::vector<std::string> faults;
    for (const auto& fault : std::get<std::vector<YamlFault>>(parsed)) {
      faults.push_back(mPath + ':' + fault.ToString());
    }
    if (faults != mFaults) {
      mFaults = std::move(faults);
      LogFaults();
    }
    return std::nullopt;
  }

  /** Writes every fault of the last read to standard error. */
  void PrintFaults() const
  {
    for (const std::string& fault : mFaults) {
      std::cerr << fault << '\n';
    }
  }

private:
  Parsed Parse() const
  {
    const std::ifstream file(mPath);
    if (!file) {
      return std::vector<YamlFault>{ { 0, 0, {}, "cannot be read" } };
    }
    std::stringstream text;
    text << file.rdbuf();
    return mParse(text.str());
  }

  /** One line: half a file has many faults, of which the first say enough. */
  void LogFaults() const
  {
    constexpr std::size_t kMostInLine = 5;
    std::string message;
    const auto count = std::min(mFaults.size(), kMostInLine);
    for (std::size_t n = 0; n < count; ++n) {
      message += (n == 0 ? "" : "; ") + mFaults[n];
    }
    const std::array inputs{ LogInput{
      "faults", static_cast<std::int64_t>(mFaults.size()) } };
    LogFields fields;
    fields.mStep = "settings.read";
    fields.mMessage = message;
    fields.mInputs = inputs;
    Log(LogLevel::Warning, fields);
  }

  std::string mPath;
  Parser mParse;
  /** Of the last read. */
  std::vector<std::string> mFaults;
};

} // namespace carobtide
