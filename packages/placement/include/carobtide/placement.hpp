#pragma once

/**
 * @file
 * Umbrella header of package placement, which decides which models are
 * resident on which targets and issues the orders to load and unload them.
 */

#include "carobtide/placement/announcement.hpp"
#include "carobtide/placement/demand_estimate.hpp"
#include "carobtide/placement/engine_speeds.hpp"
#include "carobtide/placement/engine_tracker.hpp"
#include "carobtide/placement/order.hpp"
#include "carobtide/placement/placement.hpp"
#include "carobtide/placement/planner.hpp"
#include "carobtide/placement/residency_planner.hpp"
#include "carobtide/placement/store_budget.hpp"
#include "carobtide/placement/target_account.hpp"
#include "carobtide/placement/target_registry.hpp"
