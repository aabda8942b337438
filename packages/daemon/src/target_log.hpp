#pragma once

/**
 * @file
 * Log lines of what targets say of themselves in their answers.
 */

#include "carobtide/fleet.hpp"

#include <string_view>

namespace carobtide {

/**
 * Writes that a target wants nothing from this daemon for so long. aCall is the
 * id of the request that it turned away; empty for a call of this daemon's own.
 * Thread safety: any thread.
 */
void LogPause(const TargetName& aTarget, Duration aPause,
              std::string_view aCall = {});

/**
 * Writes that a target stated a limit, or none any more. aCall is the id of the
 * request that it answered; empty if another daemon told. Thread safety: any
 * thread.
 */
void LogLimit(const TargetName& aTarget, const RateLimit& aLimit,
              std::string_view aCall = {});

/**
 * Writes that an answer of a target made its service brittle, or no longer.
 * Thread safety: any thread.
 */
void LogBrittle(const ServiceName& aService, const TargetName& aTarget,
                double aRefusals, std::string_view aCall);

/**
 * Writes that a process of a target ended an idle connection before its time,
 * so that another one may serve at its address. Thread safety: any thread.
 */
void LogConnectionEnded(const TargetName& aTarget, Incarnation aProcess,
                        std::string_view aCall);

} // namespace carobtide
