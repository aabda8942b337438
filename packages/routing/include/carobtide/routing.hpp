#pragma once

/**
 * @file
 * Umbrella header of package routing: admission, target selection, retries,
 * hedging and quarantine on one daemon.
 */

#include "carobtide/routing/content_guard.hpp"
#include "carobtide/routing/dispatcher.hpp"
#include "carobtide/routing/policy.hpp"
#include "carobtide/routing/router.hpp"
#include "carobtide/routing/types.hpp"
