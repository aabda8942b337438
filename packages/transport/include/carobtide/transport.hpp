#pragma once

/**
 * @file
 * Umbrella header of package transport: HTTP server and client, frames and
 * datagrams between daemons. Beast stays out of these headers.
 */

#include "carobtide/transport/connection_counts.hpp"
#include "carobtide/transport/descriptor_shares.hpp"
#include "carobtide/transport/frame.hpp"
#include "carobtide/transport/hold_account.hpp"
#include "carobtide/transport/http_client.hpp"
#include "carobtide/transport/http_read_stats.hpp"
#include "carobtide/transport/http_server.hpp"
#include "carobtide/transport/http_types.hpp"
#include "carobtide/transport/memory_hold.hpp"
#include "carobtide/transport/peer_channel.hpp"
#include "carobtide/transport/worker_pool.hpp"
