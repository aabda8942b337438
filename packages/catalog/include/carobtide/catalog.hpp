#pragma once

/**
 * @file
 * Umbrella header of package catalog: what is served, and which version of it
 * is in force.
 */

#include "carobtide/catalog/catalog.hpp"
#include "carobtide/catalog/catalog_pack.hpp"
#include "carobtide/catalog/catalog_register.hpp"
#include "carobtide/catalog/organisation.hpp"
#include "carobtide/catalog/organisation_directory.hpp"
#include "carobtide/catalog/route_map.hpp"
