#pragma once

/**
 * @file
 * The last moments of a daemon's servers.
 */

#include "carobtide/base.hpp"
#include "carobtide/transport/http_server.hpp"

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace carobtide {

/** The longest that CloseServers takes. */
inline constexpr Duration kServerCloseTime = std::chrono::milliseconds(200);

/**
 * Closes servers in order: new connections are refused, requests on open ones
 * still get their answers for a moment, then idle connections are closed.
 *
 * Precondition: the handlers refuse whatever they are given, as not run.
 * The servers outlive the call. Thread safety: as the servers.
 */
boost::asio::awaitable<void> CloseServers(std::vector<HttpServer*> aServers);

} // namespace carobtide
