#pragma once

/**
 * @file
 * Umbrella header of package fleet: targets and daemons that are found by
 * what they say of themselves.
 */

#include "carobtide/fleet/block_list.hpp"
#include "carobtide/fleet/catalog_fetch_plan.hpp"
#include "carobtide/fleet/catalog_progress.hpp"
#include "carobtide/fleet/content_board.hpp"
#include "carobtide/fleet/control_watch.hpp"
#include "carobtide/fleet/crash_messages.hpp"
#include "carobtide/fleet/crash_tally.hpp"
#include "carobtide/fleet/fleet_view.hpp"
#include "carobtide/fleet/home_selector.hpp"
#include "carobtide/fleet/load_aggregator.hpp"
#include "carobtide/fleet/load_messages.hpp"
#include "carobtide/fleet/messages.hpp"
#include "carobtide/fleet/observation_messages.hpp"
#include "carobtide/fleet/peer_directory.hpp"
#include "carobtide/fleet/relay_board.hpp"
#include "carobtide/fleet/residency_board.hpp"
#include "carobtide/fleet/software_history.hpp"
#include "carobtide/fleet/stream_messages.hpp"
#include "carobtide/fleet/stream_origins.hpp"
#include "carobtide/fleet/target.hpp"
#include "carobtide/fleet/target_directory.hpp"
#include "carobtide/fleet/target_observations.hpp"
