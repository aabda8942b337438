#pragma once

/**
 * @file
 * The random generator that decisions are given. Always seeded by the owner.
 */

#include <random>

namespace carobtide {

/** Generator passed into decision classes; never default-seeded there. */
using RandomEngine = std::mt19937_64;

} // namespace carobtide
