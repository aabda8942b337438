#pragma once

/**
 * @file
 * How long a caller has been trying before it sent a request.
 */

#include "carobtide/base.hpp"

namespace carobtide {

/**
 * The time that a caller has used before this attempt, from the time limit that
 * it states and the timeout of its route. A retry reaches any daemon with a new
 * id, but states a shorter limit: first attempts state 0.85 to 1.0 of the
 * timeout on real traffic, later ones less.
 */
Duration EstimateTimeUsed(Duration aStated, Duration aTimeout);

} // namespace carobtide
