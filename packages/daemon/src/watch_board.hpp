#pragma once

/**
 * @file
 * Calls that wait for news.
 */

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <map>

namespace carobtide {

/**
 * Wakes every waiting call when there is news.
 *
 * Thread safety: everything on one thread.
 */
class WatchBoard
{
public:
  /** Waits for Notify, at most this long. Lower ranks are woken first. */
  boost::asio::awaitable<void> Wait(std::chrono::microseconds aTimeout,
                                    std::int64_t aRank = 0);

  void Notify();

  std::size_t Waiting() const { return mWaiting.size(); }

private:
  std::multimap<std::int64_t, boost::asio::steady_timer*> mWaiting;
};

} // namespace carobtide
