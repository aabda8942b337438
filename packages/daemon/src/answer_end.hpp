#pragma once

/**
 * @file
 * Whether an answer that ended with its connection is whole.
 */

#include "carobtide/transport/http_client.hpp"

#include <boost/asio/awaitable.hpp>

namespace carobtide {

/**
 * Precondition: the body of the connection's last answer was read to its end.
 * An answer with a length or chunks is whole. One that only its connection ends
 * is taken for whole while the target still accepts connections: a process that
 * dies closes its connections as one that is done does. ConnectionLost if it
 * does not, or if that is not known within aTimeout.
 *
 * Thread safety: on the connection's executor.
 */
boost::asio::awaitable<Result<Unit>> ConfirmEnd(
  const HttpConnection& aConnection, Endpoint aTarget, Duration aTimeout);

} // namespace carobtide
