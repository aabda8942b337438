#pragma once

/**
 * @file
 * A daemon with control duties on deployments with catalogs.
 */

#include "carobtide/daemon/dialect.hpp"
#include "carobtide/settings.hpp"

#include <memory>

namespace carobtide {

/**
 * Takes heartbeats and catalogs, keeps a replica of the control log, tells
 * routing daemons what changes, and as leader decides on residency.
 *
 * Thread safety: Run on one thread; RequestStop and Reload from any.
 */
class ControlNode
{
public:
  ControlNode(NodeSettings aSettings, std::unique_ptr<Dialect> aDialect);
  ~ControlNode();

  /** Opens the disk and binds. */
  Result<Unit> Start();

  /** Serves until RequestStop, then hands over and returns. */
  void Run();

  void RequestStop();

  /** Takes new settings; only the seeds may change while it runs. */
  void Reload(NodeSettings aSettings);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace carobtide
