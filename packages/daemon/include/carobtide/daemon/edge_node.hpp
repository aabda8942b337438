#pragma once

/**
 * @file
 * A daemon that takes callers' requests on deployments with catalogs.
 */

#include "carobtide/daemon/dialect.hpp"
#include "carobtide/settings.hpp"

#include <memory>

namespace carobtide {

/**
 * Forwards requests to targets as the dispatcher decides; learns of targets
 * and catalogs from the control daemons.
 *
 * Thread safety: Run on one thread; RequestStop and Reload from any.
 */
class EdgeNode
{
public:
  EdgeNode(NodeSettings aSettings, std::unique_ptr<Dialect> aDialect);
  ~EdgeNode();

  /** Binds. */
  Result<Unit> Start();

  /** Serves until RequestStop, then until open requests are answered. */
  void Run();

  void RequestStop();

  /** Takes new settings; only the seeds may change while it runs. */
  void Reload(NodeSettings aSettings);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace carobtide
