#pragma once

/**
 * @file
 * How a daemon's file descriptors are shared out among its connections.
 */

#include <cstddef>

namespace carobtide {

/**
 * Bounds on the connections of each kind. Their sum leaves descriptors to
 * links between daemons, listeners and files, so that no client can use up
 * what the daemon needs to hear from the others.
 */
struct DescriptorShares
{
  /** Connections of callers, or of targets and operators at control. */
  std::size_t mClients = 0;
  /** Connections of other daemons that hand requests on. */
  std::size_t mRelayed = 0;
  /**
   * Connections to targets. At an edge at least as many as requests can be
   * open: idle ones make room for all that are needed.
   */
  std::size_t mTargets = 0;
  /** Connections for checks of readiness and for metrics, each. */
  std::size_t mChecks = 0;
  /** What is left to links between daemons, listeners, probes and files. */
  std::size_t mReserved = 0;
};

/** Shares of a daemon that takes callers' requests. */
DescriptorShares ShareForEdge(std::size_t aLimit);

/** Shares of a daemon with control duties, which most other daemons watch. */
DescriptorShares ShareForControl(std::size_t aLimit);

/**
 * Descriptors that this process may have open at present (the soft limit of
 * RLIMIT_NOFILE). Thread safety: any thread.
 */
std::size_t DescriptorLimit();

} // namespace carobtide
