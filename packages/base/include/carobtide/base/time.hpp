#pragma once

/**
 * @file
 * Time as the decision classes see it: a point on a process-local monotonic
 * scale, always passed in, never read.
 */

#include <chrono>

namespace carobtide {

using Duration = std::chrono::microseconds;
using std::chrono_literals::operator""us;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/**
 * Tag of the monotonic scale. It has no now(): the daemon's shell converts
 * from std::chrono::steady_clock, tests make instants up.
 */
struct MonotonicScale
{};

/** A point in time on the monotonic scale, microsecond resolution. */
using Instant = std::chrono::time_point<MonotonicScale, Duration>;

} // namespace carobtide
