#pragma once

/**
 * @file
 * How many connections of one kind a daemon has.
 */

#include <cstddef>
#include <cstdint>

namespace carobtide {

/** Connections of one server or pool. */
struct ConnectionCounts
{
  /** Idle ones too. */
  std::size_t mOpen = 0;
  std::size_t mMax = 0;
  /** Idle connections closed to make room, since the start. */
  std::uint64_t mIdleClosed = 0;
  /** Connections refused because all were in use, since the start. */
  std::uint64_t mRefused = 0;
};

} // namespace carobtide
