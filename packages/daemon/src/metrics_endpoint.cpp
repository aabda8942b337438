#include "metrics_endpoint.hpp"

#include "carobtide/daemon/logging.hpp"

#include <utility>

namespace carobtide {

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kMethodNotAllowed = 405;

} // namespace

MetricsEndpoint::MetricsEndpoint(WorkerPool& aWorkers,
                                 std::function<std::string()> aRender)
  : mRender(std::move(aRender))
  , mServer(aWorkers, HttpLimits::ForSmallRequests(),
            [this](HttpExchange& aExchange) { return Handle(aExchange); })
{
}

Result<Unit> MetricsEndpoint::Listen(const std::optional<Endpoint>& aAddress)
{
  return aAddress ? mServer.Listen(*aAddress) : Success();
}

boost::asio::awaitable<void> MetricsEndpoint::Handle(HttpExchange& aExchange)
{
  const bool isRead = aExchange.Request().mMethod == "GET";
  auto sending = aExchange.Respond(
    MakeResponse(isRead ? kOk : kMethodNotAllowed, "text/plain; version=0.0.4",
                 isRead ? mRender() : ""));
  const auto sent = co_await std::move(sending);
  if (!sent) {
    LogError(sent.GetError());
  }
}

} // namespace carobtide
