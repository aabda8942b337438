#include "carobtide/daemon/logging.hpp"

#include "clock.hpp"
#include "log_writer.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <easylogging++.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <memory>
#include <utility>

#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace carobtide {

namespace {

/** Set once before other threads start. */
struct LogState
{
  std::string mProcess = "carobtide";
  std::atomic<LogLevel> mLevel{ LogLevel::Info };
  std::unique_ptr<LogWriter> mWriter;
};

/** Never destroyed: other threads log until the process ends. */
LogState& State()
{
  static auto* const kState = new LogState;
  return *kState;
}

bool WriteToOutput(std::string_view aLines)
{
  while (!aLines.empty()) {
    const auto n = ::write(STDOUT_FILENO, aLines.data(), aLines.size());
    if (n < 0 && errno != EINTR) {
      return false;
    }
    aLines.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
  }
  return true;
}

/** Hands the library's lines to the writer. */
class WriterDispatch final : public el::LogDispatchCallback
{
protected:
  void handle(const el::LogDispatchData* aData) override
  {
    State().mWriter->Push(aData->logMessage()->message());
  }
};

std::string MakeLine(LogLevel aLevel, const LogFields& aFields)
{
  boost::json::object line;
  line["time_us"] =
    aFields.mTimeMicros != 0 ? aFields.mTimeMicros : WallMicros();
  line["level"] = kLogLevels.Name(aLevel);
  line["process"] = State().mProcess;
  line["step"] = aFields.mStep;
  if (!aFields.mCall.empty()) {
    line["call"] = aFields.mCall;
  }
  if (!aFields.mPeer.empty()) {
    line["peer"] = aFields.mPeer;
  }
  if (aFields.mRequest != RequestId()) {
    line["request"] = aFields.mRequest.Value();
  }
  if (aFields.mOrder != OrderId()) {
    line["order"] = aFields.mOrder.Value();
  }
  for (const LogInput& it : aFields.mInputs) {
    std::visit([&](const auto& aValue) { line[it.mName] = aValue; }, it.mValue);
  }
  if (!aFields.mMessage.empty()) {
    line["message"] = aFields.mMessage;
  }
  return boost::json::serialize(line);
}

std::string MakeLossLine(std::uint64_t aLost)
{
  const std::array inputs{ LogInput{ "lines",
                                     static_cast<std::int64_t>(aLost) } };
  LogFields fields;
  fields.mStep = "log.dropped";
  fields.mMessage = "nobody read the log in time";
  fields.mInputs = inputs;
  return MakeLine(LogLevel::Warning, fields);
}

void Write(LogLevel aLevel, const std::string& aLine)
{
  switch (aLevel) {
    case LogLevel::Debug:
      LOG(DEBUG) << aLine;
      break;
    case LogLevel::Info:
      LOG(INFO) << aLine;
      break;
    case LogLevel::Warning:
      LOG(WARNING) << aLine;
      break;
    case LogLevel::Error:
      LOG(ERROR) << aLine;
      break;
  }
}

} // namespace

void InitLogging(std::string aProcess, LogLevel aLevel)
{
  State().mProcess = std::move(aProcess);
  State().mLevel = aLevel;
  if (State().mWriter) {
    return;
  }
  State().mWriter = std::make_unique<LogWriter>(WriteToOutput, MakeLossLine);
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
  el::Helpers::installLogDispatchCallback<WriterDispatch>("carobtide");
  el::Helpers::uninstallLogDispatchCallback<
    el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
}

void FlushLogs(Duration aTimeout)
{
  if (State().mWriter) {
    State().mWriter->Flush(aTimeout);
  }
}

std::uint64_t DroppedLogLines()
{
  return State().mWriter ? State().mWriter->Dropped() : 0;
}

bool IsLogged(LogLevel aLevel)
{
  return aLevel >= State().mLevel.load(std::memory_order_relaxed);
}

void Log(LogLevel aLevel, const LogFields& aFields)
{
  if (!IsLogged(aLevel)) {
    return;
  }
  Write(aLevel, MakeLine(aLevel, aFields));
}

void LogError(const Error& aError)
{
  std::string message(ErrorMessage(aError.mCode));
  if (!aError.mDetail.empty()) {
    message += ": " + aError.mDetail;
  }
  LogFields fields;
  fields.mStep = aError.mStep;
  fields.mPeer = aError.mPeer;
  fields.mMessage = message;
  Log(LogLevel::Warning, fields);
}

} // namespace carobtide
