#pragma once

/**
 * @file
 * The only place where the daemon reads clocks.
 */

#include "carobtide/base.hpp"

#include <cstdint>

namespace carobtide {

/** Now on the monotonic scale. Thread safety: any thread. */
Instant SteadyNow();

/** Wall time in microseconds since the Unix epoch. Thread safety: any. */
std::int64_t WallMicros();

} // namespace carobtide
