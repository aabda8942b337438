#pragma once

/**
 * @file
 * One daemon: everything wired together.
 */

#include "carobtide/base.hpp"
#include "carobtide/settings.hpp"

#include <memory>

namespace carobtide {

/**
 * A daemon from its settings to its graceful stop.
 *
 * Thread safety: RequestStop from any thread; the rest from the owner.
 */
class Daemon
{
public:
  explicit Daemon(DaemonSettings aSettings);
  ~Daemon();

  /** Opens the data folder, binds the ports and starts to serve. */
  Result<Unit> Start();

  /**
   * Begins the graceful stop: not ready, leadership handed over, every
   * request and stream in flight finished.
   */
  void RequestStop();

  /** Blocks until the graceful stop is complete. */
  void Wait();

  /** The bound addresses, also where the settings name port 0. */
  Endpoint CallerAddress() const;
  Endpoint OperatorAddress() const;
  Endpoint PeerAddress() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace carobtide
