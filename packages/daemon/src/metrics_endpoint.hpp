#pragma once

/**
 * @file
 * Serves a node's metrics.
 */

#include "carobtide/transport.hpp"

#include <functional>
#include <optional>
#include <string>

namespace carobtide {

/**
 * Answers every GET with the metrics as text, anything else with 405.
 *
 * Thread safety: Listen before the workers start; the text is made on a
 * worker's thread.
 */
class MetricsEndpoint
{
public:
  MetricsEndpoint(WorkerPool& aWorkers, std::function<std::string()> aRender);

  /** Binds; does nothing without an address. */
  Result<Unit> Listen(const std::optional<Endpoint>& aAddress);

  /** See HttpServer. */
  void SetMaxConnections(std::size_t aMax) { mServer.SetMaxConnections(aMax); }

private:
  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);

  std::function<std::string()> mRender;
  HttpServer mServer;
};

} // namespace carobtide
