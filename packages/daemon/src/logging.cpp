#include "carobtide/daemon/logging.hpp"

#include "clock.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <easylogging++.h>

#include <atomic>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace carobtide {

namespace {

/** Set once before other threads start. */
struct LogState
{
  std::string mProcess = "carobtide";
  std::atomic<LogLevel> mLevel{ LogLevel::Info };
};

LogState& State()
{
  static LogState state;
  return state;
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
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
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
  boost::json::object line;
  line["time_us"] = WallMicros();
  line["level"] = kLogLevels.Name(aLevel);
  line["process"] = State().mProcess;
  line["step"] = aFields.mStep;
  if (!aFields.mPeer.empty()) {
    line["peer"] = aFields.mPeer;
  }
  if (aFields.mRequest != RequestId()) {
    line["request"] = aFields.mRequest.Value();
  }
  if (aFields.mOrder != OrderId()) {
    line["order"] = aFields.mOrder.Value();
  }
  if (!aFields.mMessage.empty()) {
    line["message"] = aFields.mMessage;
  }
  Write(aLevel, boost::json::serialize(line));
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
