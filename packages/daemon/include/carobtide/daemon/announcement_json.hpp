#pragma once

/**
 * @file
 * Announcements and cache events of targets as JSON.
 */

#include "carobtide/base.hpp"
#include "carobtide/placement.hpp"
#include "carobtide/routing.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace carobtide {

/**
 * Parses an announcement. Malformed with the field's name in the detail on
 * anything missing, mistyped or out of range. Thread safety: any thread.
 */
Result<Announcement> ParseAnnouncement(std::string_view aJson,
                                       std::string_view aPeer);

/** Parses a batch of cache events; same errors. */
Result<std::vector<CacheEvent>> ParseCacheEvents(std::string_view aJson,
                                                 std::string_view aPeer);

/** Renders an order as a target reads it. */
std::string RenderOrder(const Order& aOrder);

} // namespace carobtide
