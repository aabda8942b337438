#pragma once

/**
 * @file
 * The part of a target's free capacity that one of many daemons takes.
 */

#include "carobtide/routing/refusal_limit.hpp"

#include <cstdint>

namespace carobtide {

/**
 * The part of free slots that a daemon with waiting requests takes before it
 * sees what the others took. It grows while totals show more free than
 * overcommitted slots and falls otherwise, so that it fits the number of
 * daemons that have requests waiting, which no message states.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class TakenPart
{
public:
  /** 0 to 1. */
  double Current(std::uint32_t aDaemons) const;

  /** A new total of the fleet's loads shows so many slots. */
  void OnTotal(double aFree, double aExcess, std::uint32_t aDaemons);

private:
  /** Of an equal share among all daemons. */
  double mFactor = 4;
};

/**
 * The slots of one target that a daemon may fill with waiting requests: those
 * of its own requests that ended, and a part, rounded at random, of those that
 * a total of the fleet's loads shows free, once for each total that includes
 * what the daemon did before.
 *
 * Load: one freed slot that all daemons see at once, with waiting requests.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class CapacityShare
{
public:
  /**
   * Requests that may be offered the target now. aLimit: load up to which it
   * takes them; aPart: see TakenPart.
   */
  std::uint32_t Available(const KnownLoad& aLoad, double aLimit, double aPart,
                          RandomEngine& aRandom);

  /** A request of this daemon ended there. */
  void OnEnded() { ++mShare; }

  /** A waiting request was offered a slot. Precondition: Available. */
  void OnOffered() { mShare -= mShare > 0 ? 1 : 0; }

  /** An offered request did not need the slot. */
  void OnUnused() { ++mShare; }

private:
  std::uint32_t mShare = 0;
  /** The daemon's report at the time when its share was drawn. */
  std::uint64_t mShareReport = 0;
};

} // namespace carobtide
