#include "block_log.hpp"

#include "carobtide/daemon/logging.hpp"

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace carobtide {

namespace {

void LogBlock(std::string_view aStep, const Digest& aFingerprint)
{
  const std::string content = aFingerprint.ToHex();
  const std::array inputs{ LogInput{ "content", std::string_view(content) } };
  LogFields fields;
  fields.mStep = aStep;
  fields.mInputs = inputs;
  Log(LogLevel::Warning, fields);
}

} // namespace

void LogCrashReports(std::span<const CrashReport> aReports)
{
  std::map<TargetName, std::int64_t> counts;
  for (const CrashReport& report : aReports) {
    ++counts[report.mTarget];
  }
  for (const auto& [target, count] : counts) {
    const std::array inputs{ LogInput{ "contents", count } };
    LogFields fields;
    fields.mStep = "crash.reported";
    fields.mPeer = target.Text();
    fields.mInputs = inputs;
    Log(LogLevel::Info, fields);
  }
}

void LogBlockChanges(const TallyResult& aChanges)
{
  for (const Digest& fingerprint : aChanges.mBlocked) {
    LogBlock("content.blocked", fingerprint);
  }
  for (const Digest& fingerprint : aChanges.mLifted) {
    LogBlock("content.lifted", fingerprint);
  }
}

} // namespace carobtide
