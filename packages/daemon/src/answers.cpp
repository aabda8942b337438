#include "answers.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace carobtide {

namespace json = boost::json;

HttpStatus StatusOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::Ok:
      return HttpStatus::Ok;
    case ErrorCode::Malformed:
    case ErrorCode::Unsupported:
      return HttpStatus::BadRequest;
    case ErrorCode::TooLarge:
      return HttpStatus::PayloadTooLarge;
    case ErrorCode::Unauthorized:
      return HttpStatus::Unauthorized;
    case ErrorCode::Forbidden:
      return HttpStatus::Forbidden;
    case ErrorCode::NotFound:
      return HttpStatus::NotFound;
    case ErrorCode::Conflict:
    case ErrorCode::AlreadyExists:
    case ErrorCode::InvalidState:
    case ErrorCode::Infeasible:
      return HttpStatus::Conflict;
    case ErrorCode::Quarantined:
      return HttpStatus::Unprocessable;
    case ErrorCode::RateLimited:
      return HttpStatus::TooManyRequests;
    case ErrorCode::ConnectionLost:
      return HttpStatus::BadGateway;
    case ErrorCode::Timeout:
    case ErrorCode::OutcomeUnknown:
      return HttpStatus::GatewayTimeout;
    case ErrorCode::Internal:
      return HttpStatus::InternalError;
    default:
      return HttpStatus::Unavailable;
  }
}

HttpResponse MakeErrorResponse(const Error& aError)
{
  json::object error;
  error["code"] = ErrorMessage(aError.mCode);
  error["step"] = aError.mStep;
  error["peer"] = aError.mPeer;
  error["message"] = aError.mDetail;
  json::object body;
  body["error"] = std::move(error);
  return MakeResponse(static_cast<std::uint16_t>(StatusOf(aError.mCode)),
                      "application/json", json::serialize(body) + "\n");
}

HttpResponse MakeCallerError(const Error& aError, RequestId aRequest,
                             RunOutcome aOutcome, Duration aRetryAfter)
{
  HttpResponse response = MakeErrorResponse(aError);
  AddOutcome(response.mHead, aRequest, aOutcome);
  const auto status = static_cast<HttpStatus>(response.mHead.mStatus);
  if (status == HttpStatus::Unavailable ||
      status == HttpStatus::TooManyRequests) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aRetryAfter).count();
    response.mHead.mHeaders.Add(
      "Retry-After", std::to_string(std::max<std::int64_t>(1, seconds)));
  }
  return response;
}

void AddOutcome(HttpResponseHead& aHead, RequestId aRequest,
                RunOutcome aOutcome)
{
  aHead.mHeaders.Add("Carobtide-Request-Id", std::to_string(aRequest.Value()));
  aHead.mHeaders.Add("Carobtide-Outcome",
                     std::string(kRunOutcomes.Name(aOutcome)));
}

} // namespace carobtide
