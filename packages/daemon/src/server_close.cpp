#include "server_close.hpp"

#include "clock.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace carobtide {

namespace asio = boost::asio;

namespace {

constexpr Duration kPoll = std::chrono::milliseconds(20);
/** Time in which requests that were on their way are refused. */
constexpr Duration kRefusalTime = std::chrono::milliseconds(140);

} // namespace

asio::awaitable<void> CloseServers(std::vector<HttpServer*> aServers)
{
  const Instant startedAt = SteadyNow();
  std::ranges::for_each(aServers, &HttpServer::StopListening);
  asio::steady_timer timer(co_await asio::this_coro::executor);
  const auto pause = [&timer] {
    timer.expires_after(kPoll);
    return timer.async_wait(asio::as_tuple(asio::use_awaitable));
  };
  while (SteadyNow() < startedAt + kRefusalTime) {
    co_await pause();
  }
  std::ranges::for_each(aServers, &HttpServer::StopAccepting);
  const auto isConnected = [](const HttpServer* aServer) {
    return aServer->Connections() > 0;
  };
  while (std::ranges::any_of(aServers, isConnected) &&
         SteadyNow() < startedAt + kServerCloseTime) {
    co_await pause();
  }
}

} // namespace carobtide
