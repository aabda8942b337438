#include "carobtide/cli/api_client.hpp"

#include "carobtide/transport/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::uint16_t kFirstErrorStatus = 400;
constexpr std::uint16_t kUnavailable = 503;
constexpr Bytes kMaxAnswer = 256 * kMiB;

std::string TextOf(const json::object& aObject, std::string_view aKey)
{
  const json::value* value = aObject.if_contains(aKey);
  return value != nullptr && value->is_string()
           ? std::string(value->get_string())
           : std::string();
}

/** The code that a daemon names by its message or by its status. */
ErrorCode CodeOf(std::uint16_t aStatus, std::string_view aName)
{
  const auto named = kErrorMessages.Find(aName);
  if (named) {
    return *named;
  }
  switch (aStatus) {
    case 400:
    case 422:
      return ErrorCode::Malformed;
    case 401:
      return ErrorCode::Unauthorized;
    case 403:
      return ErrorCode::Forbidden;
    case 404:
      return ErrorCode::NotFound;
    case 409:
      return ErrorCode::Conflict;
    case 413:
      return ErrorCode::TooLarge;
    case kUnavailable:
      return ErrorCode::NoQuorum;
    default:
      return ErrorCode::Internal;
  }
}

/** Runs one fetch to its end on the calling thread. */
Result<HttpResponse> Fetch(const Endpoint& aDaemon, HttpRequest aRequest,
                           Duration aTimeout)
{
  asio::io_context context{ 1 };
  std::optional<Result<HttpResponse>> outcome;
  const auto run = [&]() -> asio::awaitable<void> {
    outcome =
      co_await FetchOnce(aDaemon, std::move(aRequest), aTimeout, kMaxAnswer);
  };
  asio::co_spawn(context, run, asio::detached);
  context.run();
  if (!outcome) {
    return Error{ ErrorCode::Internal, "api.fetch", aDaemon.ToString(),
                  "no outcome" };
  }
  return std::move(*outcome);
}

} // namespace

ApiClient::ApiClient(ApiOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

Result<ApiAnswer> ApiClient::Call(std::string_view aMethod,
                                  std::string_view aTarget,
                                  const std::string& aBody) const
{
  Error last{ ErrorCode::ConnectRefused, "api.connect", "",
              "no daemon was named; use --daemon IP:PORT" };
  for (const Endpoint& daemon : mOptions.mDaemons) {
    auto answer = CallOne(daemon, aMethod, aTarget, aBody);
    if (answer || !IsUnreachable(answer.Code())) {
      return answer;
    }
    last = answer.GetError();
  }
  return last;
}

std::vector<Result<ApiAnswer>> ApiClient::CallAll(
  std::string_view aMethod, std::string_view aTarget) const
{
  std::vector<Result<ApiAnswer>> answers;
  for (const Endpoint& daemon : mOptions.mDaemons) {
    answers.push_back(CallOne(daemon, aMethod, aTarget, {}));
  }
  return answers;
}

Result<ApiAnswer> ApiClient::CallOne(const Endpoint& aDaemon,
                                     std::string_view aMethod,
                                     std::string_view aTarget,
                                     const std::string& aBody) const
{
  HttpRequest request;
  request.mMethod = aMethod;
  request.mTarget = aTarget;
  request.mHeaders.Add("Authorization", "Bearer " + mOptions.mToken);
  request.mBody = aBody;
  auto response = Fetch(aDaemon, std::move(request), mOptions.mTimeout);
  if (!response) {
    Error error = response.GetError();
    if (error.mPeer.empty()) {
      error.mPeer = aDaemon.ToString();
    }
    return error;
  }
  if (response->mHead.mStatus >= kFirstErrorStatus) {
    return ParseApiError(response->mHead.mStatus, response->mBody, aDaemon);
  }
  return ApiAnswer{ aDaemon, std::move(response->mBody) };
}

Error ParseApiError(std::uint16_t aStatus, std::string_view aBody,
                    const Endpoint& aDaemon)
{
  Error error{ CodeOf(aStatus, {}), "api.call", aDaemon.ToString(),
               "status " + std::to_string(aStatus) };
  json::error_code ec;
  const json::value value =
    json::parse(json::string_view(aBody.data(), aBody.size()), ec);
  if (ec || !value.is_object()) {
    return error;
  }
  const json::value* inner = value.get_object().if_contains("error");
  if (inner == nullptr || !inner->is_object()) {
    return error;
  }
  const json::object& fields = inner->get_object();
  error.mCode = CodeOf(aStatus, TextOf(fields, "code"));
  const std::string step = TextOf(fields, "step");
  const std::string peer = TextOf(fields, "peer");
  error.mStep = step.empty() ? error.mStep : step;
  error.mPeer = peer.empty() ? error.mPeer : peer;
  error.mDetail = TextOf(fields, "message");
  return error;
}

bool IsUnreachable(ErrorCode aCode)
{
  return aCode == ErrorCode::ConnectRefused ||
         aCode == ErrorCode::ConnectionLost || aCode == ErrorCode::Timeout;
}

} // namespace carobtide
