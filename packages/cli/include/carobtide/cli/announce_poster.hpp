#pragma once

/**
 * @file
 * Sends a stand-in target's announcements to the daemons.
 */

#include "carobtide/transport/http_client.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace carobtide {

/**
 * Posts JSON bodies to every daemon, without waiting and without retries: the
 * next announcement replaces a lost one.
 *
 * Thread safety: none; all calls on the executor's only thread. Outlives
 * what it has posted.
 */
class AnnouncePoster
{
public:
  AnnouncePoster(boost::asio::any_io_executor aExecutor,
                 std::vector<Endpoint> aDaemons);

  /** Posts to all daemons; skips one that still holds too many posts. */
  void Post(const std::string& aPath, const std::string& aBody);

private:
  boost::asio::awaitable<void> PostOne(Endpoint aDaemon, HttpRequest aRequest);

  boost::asio::any_io_executor mExecutor;
  std::vector<Endpoint> mDaemons;
  HttpPool mPool;
  std::map<Endpoint, std::uint32_t> mInFlight;
};

} // namespace carobtide
