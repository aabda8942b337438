#pragma once

/**
 * @file
 * Error codes with their table of messages, and the Error value that carries
 * the step and the peer at which it arose.
 */

#include "carobtide/base/enum_table.hpp"

#include <string>
#include <string_view>
#include <utility>

namespace carobtide {

/** What went wrong. Every code has a row in kErrorMessages. */
enum class ErrorCode
{
  Ok,
  Malformed,
  TooLarge,
  Unauthorized,
  Forbidden,
  NotFound,
  Conflict,
  AlreadyExists,
  InvalidState,
  Infeasible,
  Quarantined,
  RateLimited,
  Overloaded,
  NoCapacity,
  NotLeader,
  NoQuorum,
  StaleFence,
  ConnectRefused,
  ConnectionLost,
  Timeout,
  Cancelled,
  Corrupt,
  DiskFull,
  Io,
  Unsupported,
  OutcomeUnknown,
  Internal,
  Unreachable,
};

inline constexpr EnumTable<ErrorCode, 28> kErrorMessages{ { {
  { ErrorCode::Ok, "no error" },
  { ErrorCode::Malformed, "malformed input" },
  { ErrorCode::TooLarge, "input exceeds its size limit" },
  { ErrorCode::Unauthorized, "unknown credentials" },
  { ErrorCode::Forbidden, "not entitled" },
  { ErrorCode::NotFound, "not found" },
  { ErrorCode::Conflict, "conflicts with an earlier request" },
  { ErrorCode::AlreadyExists, "already exists" },
  { ErrorCode::InvalidState, "not allowed in the current state" },
  { ErrorCode::Infeasible, "does not fit" },
  { ErrorCode::Quarantined, "request is quarantined" },
  { ErrorCode::RateLimited, "over the caller's limit" },
  { ErrorCode::Overloaded, "overloaded" },
  { ErrorCode::NoCapacity, "no target can serve this" },
  { ErrorCode::NotLeader, "not the leader" },
  { ErrorCode::NoQuorum, "no quorum" },
  { ErrorCode::StaleFence, "stale fencing token" },
  { ErrorCode::ConnectRefused, "connection refused" },
  { ErrorCode::ConnectionLost, "connection lost" },
  { ErrorCode::Timeout, "timed out" },
  { ErrorCode::Cancelled, "cancelled" },
  { ErrorCode::Corrupt, "stored data is damaged" },
  { ErrorCode::DiskFull, "no space left on device" },
  { ErrorCode::Io, "input/output error" },
  { ErrorCode::Unsupported, "unsupported" },
  { ErrorCode::OutcomeUnknown, "outcome unknown" },
  { ErrorCode::Internal, "internal error" },
  { ErrorCode::Unreachable, "no connection could be made" },
} } };

/** Returns the message of a code. Thread safety: any thread. */
constexpr std::string_view ErrorMessage(ErrorCode aCode)
{
  return kErrorMessages.Name(aCode);
}

/** An error with the step that failed and the peer it concerned. */
struct Error
{
  Error() = default;
  Error(ErrorCode aCode, std::string aStep, std::string aPeer = {},
        std::string aDetail = {})
    : mCode(aCode)
    , mStep(std::move(aStep))
    , mPeer(std::move(aPeer))
    , mDetail(std::move(aDetail))
  {
  }

  ErrorCode mCode = ErrorCode::Internal;
  /** The operation that failed, e.g. "log.append" or "http.read-header". */
  std::string mStep;
  /** The remote process, file or entity concerned; may be empty. */
  std::string mPeer;
  /** Free text for people; may be empty. */
  std::string mDetail;

  /** Renders "step (peer): message: detail". */
  std::string ToString() const;
};

/**
 * Builds an Error from views. Coroutines use it in place of braces: g++ 12
 * destroys string temporaries of a `co_return` expression twice.
 */
Error MakeError(ErrorCode aCode, std::string_view aStep,
                std::string_view aPeer = {}, std::string_view aDetail = {});

} // namespace carobtide
