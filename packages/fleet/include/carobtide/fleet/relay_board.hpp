#pragma once

/**
 * @file
 * Which routing daemons can help others that lost their links to targets.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace carobtide {

/** A routing daemon that takes requests from others. */
struct RelayPeer
{
  /** Where it takes them. */
  Endpoint mAddress;
  FailureDomain mFailureDomain;

  bool operator==(const RelayPeer&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAddress, mFailureDomain);
  }
};

/**
 * Names a few of the routing daemons to each of them: its next neighbours on a
 * ring of hashed addresses, so that those of one failure domain spread over all
 * others, whatever the size of the fleet.
 *
 * Answers: single daemons, and most or all of a failure domain, that lose their
 * links to all targets.
 *
 * Thread safety: none; the owner guards it.
 */
class RelayBoard
{
public:
  /** Daemons named to one, of its own failure domain and of others. */
  static constexpr std::size_t kMaxNear = 3;
  static constexpr std::size_t kMaxFar = 4;

  /**
   * A daemon told its relay address, empty if it takes no requests now, and the
   * share of targets that it does not reach, 0 to 1.
   */
  void OnDaemon(const Endpoint& aDaemon, const RelayPeer& aRelay,
                double aUnreachable);

  /** A daemon is no longer heard. */
  void Forget(const Endpoint& aDaemon) { mDaemons.erase(PlaceOf(aDaemon)); }

  /** Those that can help a daemon. Constant time in the size of the fleet. */
  std::vector<RelayPeer> Select(const Endpoint& aDaemon,
                                const FailureDomain& aDomain) const;

private:
  struct Daemon
  {
    RelayPeer mRelay;
    bool mCanHelp = false;
  };

  /** A place on the ring. */
  static std::uint64_t PlaceOf(const Endpoint& aDaemon)
  {
    return ComputeChecksum(aDaemon.ToString());
  }

  /** By place. */
  std::map<std::uint64_t, Daemon> mDaemons;
};

} // namespace carobtide
