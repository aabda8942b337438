#pragma once

/**
 * @file
 * Umbrella header of package bundle: the versioned bundle that operators
 * write, and the registry that says which one is in force.
 */

#include "carobtide/bundle/bundle.hpp"
#include "carobtide/bundle/registry.hpp"
