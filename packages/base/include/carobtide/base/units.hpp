#pragma once

/**
 * @file
 * Units of size.
 */

#include <cstdint>

namespace carobtide {

/** A number of bytes. Signed, so that differences can be negative. */
using Bytes = std::int64_t;

inline constexpr Bytes kKiB = 1024;
inline constexpr Bytes kMiB = 1024 * kKiB;
inline constexpr Bytes kGiB = 1024 * kMiB;

} // namespace carobtide
