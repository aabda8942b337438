#pragma once

/**
 * @file
 * What the daemon's request handlers share.
 */

#include "announcement_gossip.hpp"
#include "carobtide/settings.hpp"
#include "carobtide/transport.hpp"
#include "control_plane.hpp"
#include "event_log.hpp"
#include "metrics.hpp"
#include "router_shell.hpp"

#include <atomic>
#include <cstdint>

namespace carobtide {

/**
 * References to the parts of one daemon. They outlive every handler.
 *
 * Thread safety: as for each part.
 */
struct DaemonContext
{
  const DaemonSettings& mSettings;
  WorkerPool& mWorkers;
  EventLog& mEvents;
  Metrics& mMetrics;
  ControlPlane& mControl;
  RouterShell& mRouter;
  HttpPool& mPool;
  PeerNetwork& mNetwork;
  AnnouncementGossip& mGossip;
  /** True while new requests are welcome. */
  std::atomic<bool>& mReady;
  /** Incarnation under which keys are claimed; grows only. */
  std::atomic<std::uint64_t>& mClaimIncarnation;
  /** Source of request and attempt numbers. */
  std::atomic<std::uint64_t>& mNextRequest;
};

} // namespace carobtide
