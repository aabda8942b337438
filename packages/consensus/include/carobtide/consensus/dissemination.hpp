#pragma once

/**
 * @file
 * Which daemons tell which others about a new epoch: a tree for speed, random
 * exchanges for repair, so that no daemon's cost grows with their number.
 */

#include "carobtide/base.hpp"

#include <vector>

namespace carobtide {

/** Shape of the dissemination. */
struct DisseminationOptions
{
  /** Children of a daemon in the tree of an epoch. */
  std::size_t mFanOut = 4;
  /** Daemons picked at random that are told as well. */
  std::size_t mRandomPeers = 1;
};

/**
 * Chooses receivers. Sans-I/O.
 *
 * Every daemon must be made with the same set of names. The tree is laid over
 * the names in an order that depends on the epoch, so that the same daemons
 * are not inner nodes each time. A dead inner node cuts its subtree off; the
 * random peers and the periodic exchange reach it all the same (after Demers
 * et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987).
 *
 * Thread safety: none; the owner guards it.
 */
class Dissemination
{
public:
  /** Precondition: aAll contains aSelf. */
  Dissemination(const DaemonName& aSelf, std::vector<DaemonName> aAll,
                DisseminationOptions aOptions, std::uint64_t aSeed);

  /**
   * The daemons to tell when this one first learns of an epoch. One that
   * learnt it from the log (`aFromLog`) tells the root of the tree too.
   */
  std::vector<DaemonName> Receivers(Epoch aEpoch, bool aFromLog);

  /**
   * The same for any news with a key of its own: the daemons to tell when this
   * one first hears of it. `aIsSource` is true where the news came in.
   */
  std::vector<DaemonName> ReceiversOf(std::uint64_t aKey, bool aIsSource);

  /** The daemon to exchange epochs with this time; empty if alone. */
  DaemonName NextExchange();

private:
  /** The names in the order of a key's tree. */
  std::vector<std::size_t> TreeOrder(std::uint64_t aKey) const;
  std::size_t RandomOther();

  std::vector<DaemonName> mAll;
  std::size_t mSelf = 0;
  DisseminationOptions mOptions;
  RandomEngine mRandom;
};

} // namespace carobtide
