#pragma once

/**
 * @file
 * The planners by constructor, for the table of names.
 */

#include "carobtide/placement/planner.hpp"

#include <memory>

namespace carobtide {

/** Replicas follow a forecast of demand, with few moves. */
std::unique_ptr<Planner> MakeDemandPlanner();

/** Baseline: an equal number of replicas for each model, then no change. */
std::unique_ptr<Planner> MakeStaticSpreadPlanner();

/** Baseline: replicas in proportion to the last demand, anew each time. */
std::unique_ptr<Planner> MakeGreedyPlanner();

} // namespace carobtide
