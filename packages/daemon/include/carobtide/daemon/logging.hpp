#pragma once

/**
 * @file
 * Structured logs: one JSON object a line on standard error, written through
 * easylogging++.
 */

#include "carobtide/base.hpp"
#include "carobtide/settings.hpp"

#include <string>
#include <string_view>

namespace carobtide {

/** Fields of one log line; empty ones are left out. */
struct LogFields
{
  std::string_view mStep;
  std::string_view mPeer;
  RequestId mRequest;
  OrderId mOrder;
  std::string_view mMessage;
};

/**
 * Sets logging up. Call first thing in main, before any other thread starts.
 */
void InitLogging(std::string aProcess, LogLevel aLevel);

/** True if lines of this level are written. Thread safety: any thread. */
bool IsLogged(LogLevel aLevel);

/** Writes one line. Thread safety: any thread. */
void Log(LogLevel aLevel, const LogFields& aFields);

/** Writes an error with its step and peer. Thread safety: any thread. */
void LogError(const Error& aError);

} // namespace carobtide
