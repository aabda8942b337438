#pragma once

/**
 * @file
 * Sends orders to engines.
 */

#include "carobtide/placement.hpp"
#include "carobtide/transport.hpp"

namespace carobtide {

/**
 * Sends an order over HTTP in the background. Whether it arrived is learnt
 * from the target's announcements only. Thread safety: any thread.
 */
void SendOrder(WorkerPool& aWorkers, const Endpoint& aTarget,
               const Order& aOrder);

} // namespace carobtide
