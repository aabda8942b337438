#pragma once

/**
 * @file
 * The daemons with control duties, found from seed addresses.
 */

#include "carobtide/base.hpp"

#include <map>
#include <vector>

namespace carobtide {

/** What a daemon with control duties says of itself. */
struct PeerInfo
{
  /** Address of its peer port; also its name. */
  Endpoint mAddress;
  FailureDomain mFailureDomain;
  /** Identity of its disk; zero while it has none. */
  ReplicaId mReplica;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAddress, mFailureDomain, mReplica);
  }
};

/**
 * Addresses worth greeting and the daemons that were heard.
 *
 * Answers: seeds that are down, stale or exchanged; daemons that come and go
 * without notice. Seeds are greeted for ever, other addresses until they have
 * been silent for a while.
 *
 * Thread safety: none; the owner guards it.
 */
class PeerDirectory
{
public:
  explicit PeerDirectory(Endpoint aSelf);

  /** Replaces the seeds. */
  void SetSeeds(std::vector<Endpoint> aSeeds);

  /** A daemon spoke itself. */
  void OnGreeting(Instant aNow, const PeerInfo& aPeer);

  /** Another daemon mentioned an address. */
  void OnMention(Instant aNow, const Endpoint& aAddress);

  /** Forgets addresses that have been silent for too long. */
  void Expire(Instant aNow);

  /** Every address to greet or to watch, without this daemon's own. */
  std::vector<Endpoint> Addresses() const;

  /** Daemons that spoke within a time. */
  std::vector<PeerInfo> HeardWithin(Instant aNow, Duration aAge) const;

private:
  struct Entry
  {
    PeerInfo mInfo;
    bool mHeard = false;
    /** Last greeting, or the first mention. */
    Instant mSince;
  };

  Endpoint mSelf;
  std::vector<Endpoint> mSeeds;
  std::map<Endpoint, Entry> mEntries;
};

} // namespace carobtide
