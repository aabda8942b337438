#pragma once

/**
 * @file
 * Umbrella header of package daemon.
 */

#include "carobtide/daemon/announcement_json.hpp"
#include "carobtide/daemon/daemon.hpp"
#include "carobtide/daemon/logging.hpp"
