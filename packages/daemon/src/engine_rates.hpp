#pragma once

/**
 * @file
 * Speeds of model engines as the leader derives them for placement.
 */

#include "carobtide/fleet/target.hpp"
#include "carobtide/fleet/target_observations.hpp"
#include "carobtide/placement/engine_speeds.hpp"
#include "carobtide/routing/target_rate.hpp"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace carobtide {

/**
 * Derives relative speeds of engines from the sums of observations that homes
 * exchange. Sans-I/O.
 *
 * Load: engines of one service whose speeds differ nearly threefold and change
 * over time, up to 7,000 of them. Services whose speeds do not spread, see
 * TargetRates, have no speeds.
 *
 * Speeds are kept where the reason for their absence is a lack of traffic or a
 * spread near the threshold. Otherwise an engine without traffic would count as
 * of mean speed, attract a model and be measured as slow again.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class EngineRates
{
public:
  /** The last speed of a process is kept for this long without samples. */
  static constexpr Duration kProcessRetention = std::chrono::seconds(60);
  /** Speeds of a service are kept for this long after they cease to spread. */
  static constexpr Duration kSpreadRetention = std::chrono::seconds(10);

  /**
   * True if speeds should be derived again. The interval grows with the number
   * of targets of the last derivation.
   */
  bool IsDue(Instant aNow) const;

  /**
   * Speeds of the engines among the targets, as far as they are known or kept
   * and the speeds of their service spread. The arithmetic mean of the known
   * speeds of a service is 1. A service without any known sums has no speeds.
   */
  std::vector<EngineSpeed> Derive(
    Instant aNow, const std::vector<const FleetRecord*>& aTargets,
    const TargetObservations& aObservations);

private:
  /** The last known speed of a process. */
  struct KeptSpeed
  {
    double mSpeed = 1;
    Instant mAt;
  };

  struct ServiceRates
  {
    TargetRates mRates;
    /** When speeds last spread. */
    Instant mSpreadAt;
    std::unordered_map<TargetKey, KeptSpeed> mKept;
  };

  /** Derives the rates of one service and updates its kept speeds. */
  void Refresh(Instant aNow, const std::vector<TargetKey>& aKeys,
               const TargetObservations& aObservations, ServiceRates& aService);

  Instant mAt;
  /** Targets of the last derivation. */
  std::size_t mTargets = 0;
  std::map<ServiceName, ServiceRates> mServices;
  /** TargetRates draws probes of failing targets from it; unused here. */
  RandomEngine mRandom;
};

} // namespace carobtide
