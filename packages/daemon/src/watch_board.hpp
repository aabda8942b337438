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
#include <unordered_map>

namespace carobtide {

/**
 * Wakes every waiting call when there is news, or one that waits with a key.
 *
 * Thread safety: everything on one thread.
 */
class WatchBoard
{
public:
  /** Waits for Notify, at most this long. Lower ranks are woken first. */
  boost::asio::awaitable<void> Wait(std::chrono::microseconds aTimeout,
                                    std::int64_t aRank = 0);

  /** Waits for Wake with this key, or Notify, at most this long. */
  boost::asio::awaitable<void> WaitFor(std::chrono::microseconds aTimeout,
                                       std::uint64_t aKey);

  void Notify();

  /** Wakes the calls that wait without a key. */
  void NotifyUnkeyed();

  /** Wakes the call that waits with this key, if any. */
  void Wake(std::uint64_t aKey);

  std::size_t Waiting() const { return mWaiting.size() + mKeyed.size(); }

private:
  std::multimap<std::int64_t, boost::asio::steady_timer*> mWaiting;
  std::unordered_map<std::uint64_t, boost::asio::steady_timer*> mKeyed;
};

} // namespace carobtide
