#include "target_log.hpp"

#include "carobtide/daemon/logging.hpp"

#include <array>
#include <chrono>

namespace carobtide {

void LogPause(const TargetName& aTarget, Duration aPause,
              std::string_view aCall)
{
  const std::array inputs{ LogInput{
    "pause_ms",
    std::chrono::duration_cast<std::chrono::milliseconds>(aPause).count() } };
  LogFields fields;
  fields.mStep = "target.paused";
  fields.mPeer = aTarget.Text();
  fields.mCall = aCall;
  fields.mInputs = inputs;
  Log(LogLevel::Info, fields);
}

void LogLimit(const TargetName& aTarget, const RateLimit& aLimit,
              std::string_view aCall)
{
  const bool isLimited = !aLimit.IsNone();
  const std::array inputs{
    LogInput{ "per_second", isLimited ? aLimit.mPerSecond : 0.0 },
    LogInput{ "version", static_cast<std::int64_t>(aLimit.mVersion) },
  };
  LogFields fields;
  fields.mStep = isLimited ? "target.limited" : "target.unlimited";
  fields.mPeer = aTarget.Text();
  fields.mCall = aCall;
  fields.mInputs = inputs;
  Log(LogLevel::Info, fields);
}

void LogBrittle(const ServiceName& aService, const TargetName& aTarget,
                double aRefusals, std::string_view aCall)
{
  const bool isBrittle = aRefusals != RateLimit::kNone;
  const std::array inputs{
    LogInput{ "service", std::string_view(aService.Text()) },
    LogInput{ "refusals_per_second", isBrittle ? aRefusals : 0.0 },
  };
  LogFields fields;
  fields.mStep = isBrittle ? "service.brittle" : "service.sound";
  fields.mPeer = aTarget.Text();
  fields.mCall = aCall;
  fields.mInputs = inputs;
  Log(LogLevel::Info, fields);
}

void LogConnectionEnded(const TargetName& aTarget, Incarnation aProcess,
                        std::string_view aCall)
{
  const std::array inputs{
    LogInput{ "process", static_cast<std::int64_t>(aProcess.Value()) },
  };
  LogFields fields;
  fields.mStep = "target.connection-ended";
  fields.mPeer = aTarget.Text();
  fields.mCall = aCall;
  fields.mInputs = inputs;
  Log(LogLevel::Info, fields);
}

} // namespace carobtide
