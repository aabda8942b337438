#include "watch_board.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace carobtide {

namespace asio = boost::asio;

asio::awaitable<void> WatchBoard::Wait(std::chrono::microseconds aTimeout,
                                       std::int64_t aRank)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTimeout);
  const auto place = mWaiting.emplace(aRank, &timer);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  mWaiting.erase(place);
}

asio::awaitable<void> WatchBoard::WaitFor(std::chrono::microseconds aTimeout,
                                          std::uint64_t aKey)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTimeout);
  mKeyed[aKey] = &timer;
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  mKeyed.erase(aKey);
}

void WatchBoard::Notify()
{
  NotifyUnkeyed();
  std::ranges::for_each(mKeyed,
                        [](const auto& aItem) { aItem.second->cancel(); });
}

void WatchBoard::Wake(std::uint64_t aKey)
{
  if (const auto it = mKeyed.find(aKey); it != mKeyed.end()) {
    it->second->cancel();
  }
}

void WatchBoard::NotifyUnkeyed()
{
  std::ranges::for_each(mWaiting,
                        [](const auto& aItem) { aItem.second->cancel(); });
}

} // namespace carobtide
