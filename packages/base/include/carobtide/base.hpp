#pragma once

/**
 * @file
 * Umbrella header of package base: results, errors, identifiers, units, time,
 * hashing and the event record. It depends on no other package.
 */

#include "carobtide/base/endpoint.hpp"
#include "carobtide/base/enum_table.hpp"
#include "carobtide/base/error.hpp"
#include "carobtide/base/event.hpp"
#include "carobtide/base/hash.hpp"
#include "carobtide/base/hybrid_clock.hpp"
#include "carobtide/base/ids.hpp"
#include "carobtide/base/random.hpp"
#include "carobtide/base/result.hpp"
#include "carobtide/base/time.hpp"
#include "carobtide/base/units.hpp"
#include "carobtide/base/version.hpp"
