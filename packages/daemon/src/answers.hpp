#pragma once

/**
 * @file
 * The answers that the daemon itself gives to callers and operators.
 */

#include "carobtide/ledger.hpp"
#include "carobtide/transport.hpp"

#include <string>
#include <string_view>

namespace carobtide {

/** HTTP status codes that the daemon uses. */
enum class HttpStatus : std::uint16_t
{
  Ok = 200,
  BadRequest = 400,
  Unauthorized = 401,
  Forbidden = 403,
  NotFound = 404,
  MethodNotAllowed = 405,
  Conflict = 409,
  PayloadTooLarge = 413,
  Unprocessable = 422,
  TooManyRequests = 429,
  InternalError = 500,
  BadGateway = 502,
  Unavailable = 503,
  GatewayTimeout = 504,
};

/** The status that tells an error of this code. */
HttpStatus StatusOf(ErrorCode aCode);

/** A JSON error body with code, step, peer and message. */
HttpResponse MakeErrorResponse(const Error& aError);

/** The same for a caller, with request id and outcome. */
HttpResponse MakeCallerError(const Error& aError, RequestId aRequest,
                             RunOutcome aOutcome,
                             Duration aRetryAfter = Duration(0));

/** Adds Carobtide-Request-Id and Carobtide-Outcome. */
void AddOutcome(HttpResponseHead& aHead, RequestId aRequest,
                RunOutcome aOutcome);

} // namespace carobtide
