#pragma once

/**
 * @file
 * The version that both binaries and the peers' frames report.
 */

#include <string_view>

namespace carobtide {

/** Semantic version of this build. Thread safety: any thread. */
std::string_view Version();

} // namespace carobtide
