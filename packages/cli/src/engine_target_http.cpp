#include "carobtide/cli/clock.hpp"
#include "carobtide/cli/engine_target.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <cstdlib>
#include <iostream>

namespace carobtide {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kAccepted = 202;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kConflict = 409;

/** Adds and removes a pointer over a scope. */
template<class Set, class Pointer>
class Registration
{
public:
  Registration(Set& aSet, Pointer aPointer)
    : mSet(aSet)
    , mPointer(aPointer)
  {
    mSet.insert(aPointer);
  }
  ~Registration() { mSet.erase(mPointer); }
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

private:
  Set& mSet;
  Pointer mPointer;
};

HttpResponse JsonResponse(std::uint16_t aStatus, std::string aBody)
{
  return MakeResponse(aStatus, "application/json", std::move(aBody));
}

/** Names the request and the attempt that an answer belongs to. */
void EchoHeaders(const HttpRequest& aRequest, HttpHeaders& aHeaders)
{
  for (const char* name : { "Carobtide-Request-Id", "Carobtide-Attempt" }) {
    if (aRequest.mHeaders.Has(name)) {
      aHeaders.Add(name, std::string(aRequest.mHeaders.Get(name)));
    }
  }
}

HttpResponse RefuseCompletion(const HttpRequest& aRequest,
                              std::uint16_t aStatus, std::string aBody)
{
  HttpResponse response = JsonResponse(aStatus, std::move(aBody));
  EchoHeaders(aRequest, response.mHead.mHeaders);
  return response;
}

std::uint16_t StatusOf(OrderReply aReply)
{
  switch (aReply) {
    case OrderReply::Accepted:
      return kAccepted;
    case OrderReply::Done:
      return kOk;
    case OrderReply::WrongIncarnation:
    case OrderReply::StaleFence:
    case OrderReply::NoMemory:
      return kConflict;
    case OrderReply::Invalid:
      return kBadRequest;
  }
  return kBadRequest;
}

[[noreturn]] void AbortOvercommitted(const Order& aOrder,
                                     const MemoryAccount& aMemory)
{
  std::cerr << "carobtide standin: ABORT: order " << aOrder.mId.Value()
            << " overcommits the memory of target " << aOrder.mTarget << ": "
            << aOrder.mModel << (aOrder.mAdapter.IsEmpty() ? "" : ":")
            << aOrder.mAdapter << " version " << aOrder.mVersion << " takes "
            << aOrder.mMemory << " bytes, " << aMemory.Used() << " of "
            << aMemory.Total() << " are taken" << std::endl;
  std::abort();
}

} // namespace

asio::awaitable<void> EngineTarget::Handle(HttpExchange& aExchange)
{
  const Registration open(mExchanges, &aExchange);
  if (mIsDown) {
    aExchange.Abort();
    co_return;
  }
  const HttpRequest& request = aExchange.Request();
  const std::string_view path = request.Path();
  if (request.mMethod == "POST" &&
      (path == kChatPath || path == kCompletionPath)) {
    co_await HandleCompletion(aExchange);
  } else if (request.mMethod == "POST" && path == "/orders") {
    co_await HandleOrder(aExchange);
  } else if (request.mMethod == "GET" && path == "/stats") {
    (void)co_await aExchange.Respond(JsonResponse(kOk, RenderStats()));
  } else {
    (void)co_await aExchange.Respond(
      JsonResponse(kNotFound, RenderError("not-found", "target.route",
                                          Name().Text(), request.mTarget)));
  }
}

asio::awaitable<void> EngineTarget::HandleCompletion(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  const auto parsed = ParseCompletion(request);
  if (!parsed) {
    HttpResponse response =
      RefuseCompletion(request, kBadRequest,
                       RenderError("malformed", "target.parse", Name().Text(),
                                   parsed.GetError().mDetail));
    (void)co_await aExchange.Respond(std::move(response));
    co_return;
  }
  if (!mCore->CanServe(*parsed)) {
    HttpResponse response =
      RefuseCompletion(request, kNotFound,
                       RenderError("model-not-resident", "target.admit",
                                   Name().Text(), parsed->FullModel()));
    (void)co_await aExchange.Respond(std::move(response));
    co_return;
  }
  if (parsed->mPrompt.find(kCrashMarker) != std::string::npos) {
    Crash();
    co_return;
  }
  co_await Run(aExchange, *parsed);
}

asio::awaitable<void> EngineTarget::Run(HttpExchange& aExchange,
                                        const Completion& aCompletion)
{
  const Answer answer(aCompletion.FullModel(), aCompletion.mPrompt,
                      aCompletion.mMaxTokens);
  const std::uint32_t skipped =
    std::min(aCompletion.mResumeOffset, answer.Length());
  Running running(mExecutor);
  running.mId =
    mCore->Begin(SteadyNow(), aCompletion, answer.Length() - skipped);
  mRunning.emplace(running.mId, &running);
  aExchange.OnClientGone([&running] {
    running.mLost = true;
    running.mWake.cancel();
  });
  Pump();
  if (aCompletion.mStreaming) {
    co_await AnswerStream(aExchange, aCompletion, answer, running);
  } else {
    co_await AnswerWhole(aExchange, aCompletion, answer, running);
  }
  const auto it = mRunning.find(running.mId);
  if (it != mRunning.end() && it->second == &running) {
    mRunning.erase(it);
    mCore->End(SteadyNow(), running.mId);
    Pump();
  }
}

asio::awaitable<void> EngineTarget::AnswerWhole(HttpExchange& aExchange,
                                                const Completion& aCompletion,
                                                const Answer& aAnswer,
                                                Running& aRunning)
{
  while (!aRunning.mFinished && !aRunning.mLost) {
    co_await WaitForProgress(aRunning, aRunning.mTokens);
  }
  if (aRunning.mLost) {
    aExchange.Abort();
    co_return;
  }
  HttpResponse response =
    JsonResponse(kOk, RenderWholeAnswer(aCompletion, aAnswer));
  EchoHeaders(aExchange.Request(), response.mHead.mHeaders);
  (void)co_await aExchange.Respond(std::move(response));
}

asio::awaitable<void> EngineTarget::AnswerStream(HttpExchange& aExchange,
                                                 const Completion& aCompletion,
                                                 const Answer& aAnswer,
                                                 Running& aRunning)
{
  HttpResponseHead head;
  head.mHeaders.Add("Content-Type", "text/event-stream");
  EchoHeaders(aExchange.Request(), head.mHeaders);
  const StreamRenderer renderer(aCompletion, aAnswer);
  const std::uint32_t skipped =
    std::min(aCompletion.mResumeOffset, aAnswer.Length());
  std::string chunk;
  std::uint32_t sent = 0;
  co_await WaitForProgress(aRunning, sent);
  if (!aRunning.mLost) {
    const auto begun = co_await aExchange.BeginStream(std::move(head));
    if (!begun) {
      co_return;
    }
  }
  while (true) {
    co_await WaitForProgress(aRunning, sent);
    if (aRunning.mLost) {
      aExchange.Abort();
      co_return;
    }
    const bool isEnd = aRunning.mFinished;
    const std::uint32_t last =
      std::min(skipped + aRunning.mTokens, aAnswer.Length());
    chunk.clear();
    renderer.AppendTokens(skipped + sent, last, chunk);
    sent = last - skipped;
    if (isEnd) {
      renderer.AppendEnd(chunk);
    }
    const auto written = co_await aExchange.WriteChunk(chunk);
    if (!written) {
      co_return;
    }
    if (isEnd) {
      (void)co_await aExchange.FinishStream();
      co_return;
    }
  }
}

asio::awaitable<void> EngineTarget::WaitForProgress(Running& aRunning,
                                                    std::uint32_t aSeenTokens)
{
  while (!aRunning.mLost && !aRunning.mFinished &&
         aRunning.mTokens <= aSeenTokens) {
    boost::system::error_code ec;
    co_await aRunning.mWake.async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
  }
}

asio::awaitable<void> EngineTarget::HandleOrder(HttpExchange& aExchange)
{
  const auto order = ParseOrder(aExchange.Request().mBody);
  if (!order) {
    (void)co_await aExchange.Respond(JsonResponse(
      kBadRequest, RenderError("malformed", "target.order", Name().Text(),
                               order.GetError().mDetail)));
    co_return;
  }
  const bool isLost = Draw(mOptions.mOrderLoss);
  if (isLost && Draw(0.5)) {
    aExchange.Abort();
    co_return;
  }
  const OrderReply reply = mCore->AcceptOrder(SteadyNow(), *order, mStore);
  if (reply == OrderReply::NoMemory) {
    AbortOvercommitted(*order, mCore->Orders().Memory());
  }
  Announce();
  ArmPumpTimer();
  if (isLost) {
    aExchange.Abort();
    co_return;
  }
  const json::object body{ { "order_id", order->mId.Value() },
                           { "result", kOrderReplies.Name(reply) } };
  (void)co_await aExchange.Respond(
    JsonResponse(StatusOf(reply), json::serialize(body)));
}

std::string EngineTarget::RenderStats() const
{
  const OrderStats& stats = mCore->Orders().Stats();
  return json::serialize(
    json::object{ { "target", Name().Text() },
                  { "requests", mCore->RequestsBegun() },
                  { "loads", stats.mLoads },
                  { "adapter_loads", stats.mAdapterLoads },
                  { "unloads", stats.mUnloads },
                  { "refused_orders", stats.mRefused },
                  { "memory_used", mCore->Orders().Memory().Used() },
                  { "crashes", mCrashes } });
}

} // namespace carobtide
