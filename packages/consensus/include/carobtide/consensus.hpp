#pragma once

/**
 * @file
 * Umbrella header of package consensus: the replicated control log.
 */

#include "carobtide/consensus/damaged_log.hpp"
#include "carobtide/consensus/file_system.hpp"
#include "carobtide/consensus/messages.hpp"
#include "carobtide/consensus/replicated_log.hpp"
#include "carobtide/consensus/storage.hpp"
#include "carobtide/consensus/types.hpp"
