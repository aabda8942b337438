#pragma once

/**
 * @file
 * Log lines of content that is blocked or no longer blocked.
 */

#include "carobtide/fleet/crash_tally.hpp"

#include <span>

namespace carobtide {

/** Writes a line for each change. Thread safety: any thread. */
void LogBlockChanges(const TallyResult& aChanges);

/** Writes a line for each crash with the number of its reports. */
void LogCrashReports(std::span<const CrashReport> aReports);

} // namespace carobtide
