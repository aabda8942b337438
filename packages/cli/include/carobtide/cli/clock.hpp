#pragma once

/**
 * @file
 * Reads the clocks for the shells of this package.
 */

#include "carobtide/base.hpp"

#include <chrono>

namespace carobtide {

/** The monotonic clock. Thread safety: any thread. */
inline Instant SteadyNow()
{
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

/** The same instant on std::chrono::steady_clock, for timers. */
inline std::chrono::steady_clock::time_point ToSteady(Instant aInstant)
{
  return std::chrono::steady_clock::time_point(aInstant.time_since_epoch());
}

/** Wall time in microseconds since the Unix epoch. */
inline std::int64_t WallMicros()
{
  return std::chrono::duration_cast<Duration>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace carobtide
