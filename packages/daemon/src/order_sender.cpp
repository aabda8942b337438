#include "order_sender.hpp"

#include "carobtide/daemon/announcement_json.hpp"
#include "carobtide/daemon/logging.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace carobtide {

namespace asio = boost::asio;

namespace {

constexpr Duration kOrderTimeout = std::chrono::seconds(5);

asio::awaitable<void> PostOrder(Endpoint aTarget, HttpRequest aRequest)
{
  auto fetch = FetchOnce(aTarget, std::move(aRequest), kOrderTimeout);
  const auto response = co_await std::move(fetch);
  if (!response) {
    LogError(response.GetError());
  }
}

} // namespace

void SendOrder(WorkerPool& aWorkers, const Endpoint& aTarget,
               const Order& aOrder)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/orders";
  request.mHeaders.Add("Content-Type", "application/json");
  request.mBody = RenderOrder(aOrder);
  asio::co_spawn(aWorkers.Next(), PostOrder(aTarget, std::move(request)),
                 asio::detached);
}

} // namespace carobtide
