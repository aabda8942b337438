#pragma once

/**
 * @file
 * Seeded moments in which a stand-in engine runs slower.
 */

#include "carobtide/base.hpp"

#include <cstdint>

namespace carobtide {

/** How often, how long and by how much an engine slows down. */
struct SlowDownOptions
{
  /** Share of time in which the engine is slowed; 0 turns it off. */
  double mShare = 0.0;
  double mFactor = 10.0;
  Duration mDuration = std::chrono::seconds(5);
};

/**
 * Alternates between normal and slowed spans. Slowed spans have a fixed
 * length, normal spans an exponential one.
 *
 * Thread safety: none. Times passed in never decrease.
 */
class SlowDowns
{
public:
  SlowDowns(SlowDownOptions aOptions, std::uint64_t aSeed, Instant aStart);

  /** Divisor of the engine's rates at that time; 1 is the normal speed. */
  double FactorAt(Instant aNow);

  /** When the factor changes next; Instant::max() if never. */
  Instant NextChange() const { return mNextChange; }

private:
  Duration NextNormalSpan();

  SlowDownOptions mOptions;
  RandomEngine mRandom;
  bool mSlowed = false;
  Instant mNextChange = Instant::max();
};

} // namespace carobtide
