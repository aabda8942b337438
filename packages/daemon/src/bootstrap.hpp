#pragma once

/**
 * @file
 * How a daemon joins when it starts.
 */

#include "context.hpp"

namespace carobtide {

/**
 * Starts the replica of a daemon with a disk. One with an identity starts at
 * once. On an empty disk the daemon asks its peers first: if any replica has
 * voted or holds entries, the disk was lost, and the replica comes back under
 * a new identity that has no vote until it is admitted. Only when every peer
 * with a disk answers that it has no history does it take the identity of its
 * first disk, and it starts once all peers have theirs.
 */
boost::asio::awaitable<void> BootstrapReplica(DaemonContext& aContext);

/**
 * Fetches the bundle in force from the peers before the daemon is ready: the
 * highest epoch of all that answer within the time limit.
 */
boost::asio::awaitable<void> FetchInitialBundle(DaemonContext& aContext);

} // namespace carobtide
