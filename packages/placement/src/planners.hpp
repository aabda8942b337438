#pragma once

/**
 * @file
 * Factory functions of the planners, used by MakePlanner.
 */

#include "carobtide/placement/planner.hpp"

#include <memory>

namespace carobtide {

/** Adapts replicas to forecast demand, with few changes per plan. */
std::unique_ptr<Planner> MakeDemandPlanner();

/** Baseline: an equal number of replicas per model, then no change. */
std::unique_ptr<Planner> MakeStaticSpreadPlanner();

/** Baseline: replicas in proportion to the latest demand, recounted each time.
 */
std::unique_ptr<Planner> MakeGreedyPlanner();

} // namespace carobtide
