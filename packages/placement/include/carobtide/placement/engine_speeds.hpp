#pragma once

/**
 * @file
 * Relative speeds of model engines, as planning uses them.
 */

#include "carobtide/fleet/target.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace carobtide {

/** The measured speed of one process of an engine. */
struct EngineSpeed
{
  TargetName mTarget;
  Incarnation mIncarnation;
  /** Relative to the mean of the service, which is 1. */
  double mSpeed = 1;
};

/**
 * Keeps the measured speeds of engines for planning. Sans-I/O.
 *
 * Load: engines of one service at 0.6, 1.0 and 1.6 of the mean, whose estimates
 * are up to 15 in 100 off and change over time. Speeds are rounded to steps of
 * a factor of kStep with hysteresis. It absorbs noise of about 8 in 100
 * wherever the speed lies between two steps; larger noise may change the
 * capacity that placement counts with by a step.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class EngineSpeeds
{
public:
  /** Ratio of two adjacent steps. */
  static constexpr double kStep = 1.2;
  /** A speed that is not refreshed for this long counts as unknown. */
  static constexpr Duration kLifetime = std::chrono::milliseconds(3000);

  /**
   * Takes measured speeds; engines that are not listed keep theirs until it
   * expires. Values that are not positive and finite are ignored.
   */
  void OnSpeeds(Instant aNow, const std::vector<EngineSpeed>& aSpeeds);

  /** Removes speeds that were not refreshed for kLifetime. */
  void Expire(Instant aNow);

  /** Rounded speed of a process; 1 if unknown or of another process. */
  double Of(const TargetName& aTarget, Incarnation aIncarnation) const;

  /** Engines with a known speed. */
  std::size_t Known() const { return mSpeeds.size(); }

private:
  struct Entry
  {
    Incarnation mIncarnation;
    /** Power of kStep to which the speed is rounded. */
    int mPower = 0;
    double mSpeed = 1;
    Instant mAt;
  };

  std::map<TargetName, Entry> mSpeeds;
};

} // namespace carobtide
