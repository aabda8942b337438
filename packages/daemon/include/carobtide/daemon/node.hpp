#pragma once

/**
 * @file
 * A daemon of deployments with catalogs, whatever its role.
 */

#include "carobtide/daemon/dialect.hpp"
#include "carobtide/settings.hpp"

#include <memory>

namespace carobtide {

/**
 * One running daemon.
 *
 * Thread safety: Start and Run on one thread; RequestStop and Reload from any.
 */
class Node
{
public:
  virtual ~Node() = default;

  /** Opens the disk, if the role has one, and binds. */
  virtual Result<Unit> Start() = 0;

  /** Serves until RequestStop, then until what is open has ended. */
  virtual void Run() = 0;

  virtual void RequestStop() = 0;

  /** Takes new settings; only the seeds may change while it runs. */
  virtual void Reload(NodeSettings aSettings) = 0;
};

/** Makes the daemon of the role that the settings name. */
std::unique_ptr<Node> MakeNode(NodeSettings aSettings,
                               std::unique_ptr<Dialect> aDialect);

} // namespace carobtide
