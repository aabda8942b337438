#pragma once

/**
 * @file
 * Umbrella header of package settings: the daemon's settings file (YAML) and
 * the checked YAML reader that the bundle and the scenarios share.
 */

#include "carobtide/settings/daemon_settings.hpp"
#include "carobtide/settings/node_settings.hpp"
#include "carobtide/settings/yaml_reader.hpp"
