#include "operator_api.hpp"

#include "answers.hpp"
#include "carobtide/daemon/json_fields.hpp"
#include "operator_views.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <openssl/crypto.h>

#include <algorithm>
#include <charconv>

namespace carobtide {

namespace json = boost::json;
using boost::asio::awaitable;

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kBundles = "/bundles/";

HttpResponse JsonResponse(const json::object& aBody)
{
  return MakeResponse(200, "application/json", json::serialize(aBody) + "\n");
}

bool EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  // Digests have one length, so that the time tells nothing of the token's.
  const std::string left = ComputeDigest(aLeft).ToHex();
  const std::string right = ComputeDigest(aRight).ToHex();
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

HttpResponse RenderOutcome(const BundleOutcome& aOutcome,
                           const std::string& aName, std::uint64_t aVersion)
{
  if (aOutcome.mCode != ErrorCode::Ok) {
    return MakeErrorResponse(
      MakeError(aOutcome.mCode, "bundle.apply", aName, aOutcome.mDetail));
  }
  json::object body;
  body["name"] = aName;
  body["version"] = aVersion;
  body["digest"] = aOutcome.mDigest.ToHex();
  body["state"] = kBundleStates.Name(aOutcome.mState);
  body["detail"] = aOutcome.mDetail;
  return JsonResponse(body);
}

std::string JoinFaults(const std::vector<YamlFault>& aFaults)
{
  std::string text;
  for (const YamlFault& fault : aFaults) {
    text += (text.empty() ? "" : "; ") + fault.ToString();
  }
  return text;
}

} // namespace

OperatorApi::OperatorApi(DaemonContext& aContext)
  : mContext(aContext)
{
}

std::string OperatorApi::FindOperator(const HttpRequest& aRequest) const
{
  const auto header = aRequest.mHeaders.Get("Authorization");
  if (!header.starts_with(kBearer)) {
    return {};
  }
  const std::string_view token = header.substr(kBearer.size());
  std::string found;
  for (const OperatorSettings& item : mContext.mSettings.mOperators) {
    if (EqualInConstantTime(item.mToken, token)) {
      found = item.mName;
    }
  }
  return found;
}

awaitable<void> OperatorApi::Handle(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  const std::string_view path = request.Path();
  HttpResponse response;
  if (path == "/healthz" || path == "/readyz" || path == "/metrics") {
    response = AnswerOpen(path);
  } else {
    std::string name = FindOperator(request);
    if (name.empty()) {
      response = MakeErrorResponse(MakeError(ErrorCode::Unauthorized,
                                             "operator.authenticate",
                                             aExchange.PeerName()));
    } else {
      auto answering = Answer(request, std::move(name));
      response = co_await std::move(answering);
    }
  }
  auto responding = aExchange.Respond(std::move(response));
  co_await std::move(responding);
}

HttpResponse OperatorApi::AnswerOpen(std::string_view aPath) const
{
  if (aPath == "/metrics") {
    return MakeResponse(200, "text/plain; version=0.0.4",
                        mContext.mMetrics.Render(CollectGauges(mContext)));
  }
  const bool isReady = aPath == "/healthz" || mContext.mReady;
  const auto status = isReady ? HttpStatus::Ok : HttpStatus::Unavailable;
  return MakeResponse(static_cast<std::uint16_t>(status), "text/plain",
                      isReady ? "ok\n" : "not ready\n");
}

awaitable<HttpResponse> OperatorApi::Answer(HttpRequest aRequest,
                                            std::string aOperator)
{
  const std::string_view path = aRequest.Path();
  HttpResponse response;
  if (aRequest.mMethod == "POST" && path == "/bundles") {
    auto submitting =
      SubmitBundle(std::move(aRequest.mBody), std::move(aOperator));
    response = co_await std::move(submitting);
  } else if (aRequest.mMethod == "PUT" && path.starts_with(kBundles)) {
    auto parsed = ParseBundlePath(path);
    if (!parsed) {
      co_return MakeErrorResponse(parsed.GetError());
    }
    BundlePath target = std::move(*parsed);
    auto changing = ChangeBundle(std::move(aRequest), std::move(target),
                                 std::move(aOperator));
    response = co_await std::move(changing);
  } else if (aRequest.mMethod == "POST" && path == "/members") {
    response = ChangeMembers(aRequest);
  } else {
    response = AnswerRead(aRequest);
  }
  co_return response;
}

HttpResponse OperatorApi::AnswerRead(const HttpRequest& aRequest) const
{
  const std::string_view path = aRequest.Path();
  if (aRequest.mMethod != "GET") {
    HttpResponse response = MakeErrorResponse(MakeError(
      ErrorCode::Unsupported, "operator.route", "", aRequest.mMethod));
    response.mHead.mStatus =
      static_cast<std::uint16_t>(HttpStatus::MethodNotAllowed);
    return response;
  }
  if (path == "/status") {
    return JsonResponse(RenderStatus(mContext));
  }
  if (path == "/targets") {
    return JsonResponse(RenderTargets(mContext));
  }
  if (path == "/placement") {
    return JsonResponse(RenderPlacement(mContext));
  }
  if (path == "/members") {
    return JsonResponse(RenderMembers(mContext));
  }
  if (path == "/bundles") {
    return JsonResponse(RenderBundles(mContext));
  }
  if (path == "/bundles/in-force") {
    return JsonResponse(RenderInForce(mContext));
  }
  if (path == "/timeline") {
    std::int64_t since = 0;
    const std::string_view text = aRequest.Query("since");
    std::from_chars(text.data(), text.data() + text.size(), since);
    return JsonResponse(RenderTimeline(mContext, since));
  }
  return MakeErrorResponse(
    MakeError(ErrorCode::NotFound, "operator.route", "", path));
}

awaitable<HttpResponse> OperatorApi::SubmitBundle(std::string aText,
                                                  std::string aOperator)
{
  const auto parsed = ParseBundle(aText);
  if (const auto* faults = std::get_if<std::vector<YamlFault>>(&parsed)) {
    const std::string text = JoinFaults(*faults);
    co_return MakeErrorResponse(
      MakeError(ErrorCode::Malformed, "bundle.parse", aOperator, text));
  }
  const Bundle& bundle = std::get<Bundle>(parsed);
  carobtide::SubmitBundle command;
  command.mText = std::move(aText);
  command.mOperator = std::move(aOperator);
  BundleCommand body = std::move(command);
  auto executing = Execute(std::move(body), bundle.mName, bundle.mVersion);
  auto response = co_await std::move(executing);
  co_return response;
}

Result<OperatorApi::BundlePath> OperatorApi::ParseBundlePath(
  std::string_view aPath)
{
  std::string_view rest = aPath.substr(kBundles.size());
  const auto first = rest.find('/');
  const auto second = rest.find('/', first + 1);
  BundlePath path;
  if (first == std::string_view::npos || second == std::string_view::npos) {
    return MakeError(ErrorCode::NotFound, "operator.route", "", aPath);
  }
  path.mName = std::string(rest.substr(0, first));
  path.mAction = std::string(rest.substr(second + 1));
  const std::string_view version = rest.substr(first + 1, second - first - 1);
  const auto parsed = std::from_chars(
    version.data(), version.data() + version.size(), path.mVersion);
  if (version.empty() || parsed.ptr != version.data() + version.size()) {
    return MakeError(ErrorCode::Malformed, "operator.version", "", version);
  }
  return path;
}

Result<BundleCommand> OperatorApi::MakeChange(
  const HttpRequest& aRequest, const BundlePath& aPath,
  const std::string& aOperator) const
{
  Digest digest;
  if (!ParseDigest(aRequest.Query("digest"), digest)) {
    return MakeError(ErrorCode::Malformed, "operator.digest", "",
                     "expected digest=HEX of the version");
  }
  if (aPath.mAction == "sign-off") {
    SignOffBundle command;
    command.mName = aPath.mName;
    command.mVersion = aPath.mVersion;
    command.mDigest = digest;
    command.mOperator = aOperator;
    return BundleCommand(command);
  }
  if (aPath.mAction == "roll") {
    RollBundle command;
    command.mName = aPath.mName;
    command.mVersion = aPath.mVersion;
    command.mDigest = digest;
    command.mOperator = aOperator;
    return BundleCommand(command);
  }
  return MakeError(ErrorCode::NotFound, "operator.route", "", aPath.mAction);
}

awaitable<HttpResponse> OperatorApi::ChangeBundle(HttpRequest aRequest,
                                                  BundlePath aPath,
                                                  std::string aOperator)
{
  auto change = MakeChange(aRequest, aPath, aOperator);
  if (!change) {
    co_return MakeErrorResponse(change.GetError());
  }
  if (aPath.mAction == "roll") {
    const auto shortfall =
      CheckStoredFit(mContext, aPath.mName, aPath.mVersion);
    if (!shortfall.empty()) {
      co_return MakeErrorResponse(
        MakeError(ErrorCode::Infeasible, "bundle.fit", aPath.mName, shortfall));
    }
  }
  auto executing = Execute(std::move(*change), aPath.mName, aPath.mVersion);
  auto response = co_await std::move(executing);
  co_return response;
}

awaitable<HttpResponse> OperatorApi::Execute(BundleCommand aCommand,
                                             std::string aName,
                                             std::uint64_t aVersion)
{
  auto executing = mContext.mControl.Execute(std::move(aCommand));
  const auto outcome = co_await std::move(executing);
  if (!outcome) {
    co_return MakeErrorResponse(outcome.GetError());
  }
  co_return RenderOutcome(std::get<BundleOutcome>(*outcome), aName, aVersion);
}

HttpResponse OperatorApi::ChangeMembers(const HttpRequest& aRequest)
{
  const JsonDocument document(aRequest.mBody);
  const auto changed = ApplyMemberChange(mContext, document.Root());
  if (document.HasFaults()) {
    return MakeErrorResponse(
      MakeError(ErrorCode::Malformed, "member.parse", "", document.Faults()));
  }
  if (!changed) {
    return MakeErrorResponse(changed.GetError());
  }
  return JsonResponse(RenderMembers(mContext));
}

} // namespace carobtide
