#pragma once

/**
 * @file
 * Structured logs: one JSON object a line on standard output, written through
 * easylogging++ by a thread of its own, so that a full pipe holds nothing up.
 */

#include "carobtide/base.hpp"
#include "carobtide/settings.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace carobtide {

/** One of the values that a decision was made from. */
struct LogInput
{
  std::string_view mName;
  std::variant<std::int64_t, double, std::string_view> mValue;
};

/** Fields of one log line; empty ones are left out. */
struct LogFields
{
  std::string_view mStep;
  std::string_view mPeer;
  RequestId mRequest;
  OrderId mOrder;
  std::string_view mMessage;
  /** The id that the caller gave its request. */
  std::string_view mCall = {};
  std::span<const LogInput> mInputs = {};
  /** When it happened, by the wall clock; 0 for now. */
  std::int64_t mTimeMicros = 0;
};

/**
 * Sets logging up. Call first thing in main, before any other thread starts;
 * another call until then changes the name and the level.
 */
void InitLogging(std::string aProcess, LogLevel aLevel);

/** Waits until all lines are written, this long at most. */
void FlushLogs(Duration aTimeout);

/** Lines dropped since nobody read them. Thread safety: any thread. */
std::uint64_t DroppedLogLines();

/** True if lines of this level are written. Thread safety: any thread. */
bool IsLogged(LogLevel aLevel);

/** Writes one line. Thread safety: any thread. */
void Log(LogLevel aLevel, const LogFields& aFields);

/** Writes an error with its step and peer. Thread safety: any thread. */
void LogError(const Error& aError);

} // namespace carobtide
