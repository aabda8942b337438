#pragma once

/**
 * @file
 * What a daemon tells of its memory account.
 */

#include "carobtide/transport/memory_hold.hpp"
#include "metrics.hpp"

#include <memory>
#include <vector>

namespace carobtide {

/**
 * Makes the account of a daemon. Each claim that waits or is refused is a
 * decision line, ten a second at most; the line says how many were left out.
 */
std::shared_ptr<MemoryRoom> MakeMemoryRoom();

/** Gauges of an account. Thread safety: any thread. */
std::vector<Gauge> MemoryGauges(const MemoryRoom& aRoom);

} // namespace carobtide
