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

} // namespace carobtide
