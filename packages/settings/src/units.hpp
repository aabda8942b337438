#pragma once

/**
 * @file
 * Texts of durations and sizes with their units.
 */

#include "carobtide/base.hpp"

#include <optional>
#include <string_view>

namespace carobtide {

/** Parses "250us", "20ms", "3s", "5m", "8h"; nothing on other input. */
std::optional<Duration> ParseDuration(std::string_view aText);

/** Parses "512B", "64KiB", "10MiB", "24GiB"; nothing on other input. */
std::optional<Bytes> ParseSize(std::string_view aText);

} // namespace carobtide
