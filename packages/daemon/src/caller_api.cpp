#include "caller_api.hpp"

#include "answers.hpp"
#include "caller_request.hpp"
#include "clock.hpp"
#include "order_runner.hpp"
#include "peer_api.hpp"
#include "request_runner.hpp"

#include "carobtide/base/codec.hpp"
#include "carobtide/daemon/announcement_json.hpp"

#include <boost/asio/this_coro.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace carobtide {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;

namespace {

HttpResponse NoContent()
{
  constexpr std::uint16_t kNoContent = 204;
  HttpResponse response;
  response.mHead.mStatus = kNoContent;
  return response;
}

/** Digest of what a key must go on standing for. */
Digest ContentDigest(const HttpRequest& aRequest)
{
  return ComputeDigest(aRequest.mMethod + "\n" + aRequest.mTarget + "\n" +
                       aRequest.mBody);
}

} // namespace

CallerApi::CallerApi(DaemonContext& aContext)
  : mContext(aContext)
{
}

awaitable<void> CallerApi::Handle(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  const std::string_view path = request.Path();
  if (path == "/v1/chat/completions" || path == "/v1/completions") {
    auto serving = ServeCompletion(aExchange);
    co_await std::move(serving);
    co_return;
  }
  if (path.starts_with("/services/")) {
    auto serving = ServeService(aExchange);
    co_await std::move(serving);
    co_return;
  }
  HttpResponse response;
  if (path == "/v1/models") {
    response = ListModels(request);
  } else if (path == "/targets/announce") {
    response = TakeAnnouncement(aExchange);
  } else if (path == "/targets/cache-events") {
    response = TakeCacheEvents(aExchange);
  } else {
    response = MakeErrorResponse(
      MakeError(ErrorCode::NotFound, "caller.route", "", path));
  }
  auto responding = aExchange.Respond(std::move(response));
  co_await std::move(responding);
}

Result<std::shared_ptr<const Bundle>> CallerApi::GetBundle() const
{
  auto bundle = mContext.mControl.CurrentBundle();
  if (!bundle) {
    return MakeError(ErrorCode::NoCapacity, "caller.bundle", "",
                     "no bundle in force");
  }
  return bundle;
}

RequestId CallerApi::NextRequestId()
{
  return RequestId(mContext.mNextRequest.fetch_add(1));
}

awaitable<void> CallerApi::Refuse(HttpExchange& aExchange, Error aError,
                                  RequestId aRequest)
{
  mContext.mMetrics.Add(Counter::RequestsRefused);
  HttpResponse response = MakeCallerError(aError, aRequest, RunOutcome::NotRun);
  auto responding = aExchange.Respond(std::move(response));
  co_await std::move(responding);
}

Result<CallerApi::CheckedRequest> CallerApi::Check(const HttpRequest& aRequest,
                                                   RequestId aId,
                                                   Planner aPlanner) const
{
  CheckedRequest checked;
  const auto bundle = GetBundle();
  if (!bundle) {
    return bundle.GetError();
  }
  checked.mBundle = *bundle;
  const auto caller = FindCaller(**bundle, aRequest);
  if (!caller) {
    return caller.GetError();
  }
  auto plan = aPlanner(**bundle, **caller, aRequest, aId);
  if (!plan) {
    return plan.GetError();
  }
  checked.mPlan = std::move(*plan);
  return checked;
}

awaitable<void> CallerApi::RunRequest(HttpExchange& aExchange,
                                      std::shared_ptr<const ForwardPlan> aPlan)
{
  RequestRunner runner(mContext, aExchange, std::move(aPlan));
  auto running = runner.Run();
  co_await std::move(running);
}

awaitable<void> CallerApi::ServeCompletion(HttpExchange& aExchange)
{
  const RequestId id = NextRequestId();
  const auto checked = Check(aExchange.Request(), id, PlanCompletion);
  if (!checked) {
    auto refusing = Refuse(aExchange, checked.GetError(), id);
    co_await std::move(refusing);
    co_return;
  }
  auto running = RunRequest(aExchange, checked->mPlan);
  co_await std::move(running);
}

awaitable<void> CallerApi::ServeService(HttpExchange& aExchange)
{
  const RequestId id = NextRequestId();
  const HttpRequest& request = aExchange.Request();
  const auto checked = Check(request, id, PlanServiceCall);
  if (!checked) {
    auto refusing = Refuse(aExchange, checked.GetError(), id);
    co_await std::move(refusing);
    co_return;
  }
  const RequestFacts& facts = checked->mPlan->mFacts;
  const bool hasKey = request.mHeaders.Has("Idempotency-Key");
  const ServiceSpec* service = checked->mBundle->FindService(facts.mService);
  if (!facts.mIdempotent && !hasKey && !service->mKeyOptional) {
    Error error = MakeError(ErrorCode::Malformed, "caller.idempotency-key", "",
                            "this call needs an Idempotency-Key");
    auto refusing = Refuse(aExchange, std::move(error), id);
    co_await std::move(refusing);
    co_return;
  }
  auto running = !facts.mIdempotent && hasKey
                   ? RunOrder(aExchange, checked->mPlan)
                   : RunRequest(aExchange, checked->mPlan);
  co_await std::move(running);
}

awaitable<void> CallerApi::RunOrder(HttpExchange& aExchange,
                                    std::shared_ptr<const ForwardPlan> aPlan)
{
  const auto executor = co_await asio::this_coro::executor;
  const HttpRequest& request = aExchange.Request();
  mContext.mMetrics.Add(Counter::RequestsAccepted);
  ClaimFacts facts;
  facts.mKey.mCaller = aPlan->mFacts.mCaller;
  facts.mKey.mKey = IdempotencyKey(request.mHeaders.Get("Idempotency-Key"));
  facts.mContent = ContentDigest(request);
  facts.mClaimant.mDaemon = mContext.mSettings.mName;
  facts.mClaimant.mIncarnation = mContext.mClaimIncarnation;
  facts.mAttempt = aPlan->mFacts.mId.Value();
  facts.mWallMicros = WallMicros();
  auto runner = std::make_shared<OrderRunner>(mContext, std::move(aPlan),
                                              std::move(facts), executor);
  auto answering = runner->Answer();
  HttpResponse response = co_await std::move(answering);
  auto responding = aExchange.Respond(std::move(response));
  co_await std::move(responding);
}

HttpResponse CallerApi::ListModels(const HttpRequest& aRequest)
{
  const auto bundle = GetBundle();
  if (!bundle) {
    return MakeErrorResponse(bundle.GetError());
  }
  const auto caller = FindCaller(**bundle, aRequest);
  if (!caller) {
    return MakeErrorResponse(caller.GetError());
  }
  json::array data;
  const auto add = [&](const std::string& aName) {
    json::object item;
    item["id"] = aName;
    item["object"] = "model";
    data.push_back(std::move(item));
  };
  for (const ModelSpec& model : (*bundle)->mModels) {
    if (!IsEntitledToModel(**caller, model.mName)) {
      continue;
    }
    add(model.mName.Text());
    for (const AdapterSpec& adapter : model.mAdapters) {
      add(model.mName.Text() + ":" + adapter.mName.Text());
    }
  }
  json::object body;
  body["object"] = "list";
  body["data"] = std::move(data);
  return MakeResponse(200, "application/json", json::serialize(body) + "\n");
}

HttpResponse CallerApi::TakeAnnouncement(const HttpExchange& aExchange)
{
  const auto announcement =
    ParseAnnouncement(aExchange.Request().mBody, aExchange.PeerName());
  if (!announcement) {
    return MakeErrorResponse(announcement.GetError());
  }
  TakeTargetAnnouncement(mContext, *announcement, true);
  return NoContent();
}

HttpResponse CallerApi::TakeCacheEvents(const HttpExchange& aExchange)
{
  const auto events =
    ParseCacheEvents(aExchange.Request().mBody, aExchange.PeerName());
  if (!events) {
    return MakeErrorResponse(events.GetError());
  }
  mContext.mRouter.OnCacheEvents(*events);
  Broadcast(mContext, PeerMessageType::CacheEvents, Encode(*events));
  return NoContent();
}

} // namespace carobtide
