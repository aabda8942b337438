#pragma once

/**
 * @file
 * What other daemons say they have in flight.
 */

#include "carobtide/base.hpp"
#include "carobtide/routing/target_table.hpp"
#include "carobtide/routing/types.hpp"

#include <map>
#include <vector>

namespace carobtide {

/**
 * Latest hints of each peer; their sums are kept in the target table. A
 * peer's hints lapse when it falls silent.
 *
 * Thread safety: none; the owner guards it.
 */
class PeerHints
{
public:
  /** Replaces what the peer hinted before. */
  void Replace(Instant aNow, const DaemonName& aPeer,
               const std::vector<InFlightHint>& aHints, TargetTable& aTargets);

  /** Drops hints older than kLifetime; true if any was dropped. */
  bool Expire(Instant aNow, TargetTable& aTargets);

  /** True if some peer's hints are in force. */
  bool HasAny() const { return !mPeers.empty(); }

  static constexpr Duration kLifetime = 2s;

private:
  struct Row
  {
    TargetIndex mTarget = kNoTarget;
    TargetName mName;
    std::uint32_t mInFlight = 0;
    std::uint32_t mLong = 0;
  };

  struct Peer
  {
    Instant mHeardAt;
    std::vector<Row> mRows;
  };

  static void NoteSlowness(Instant aNow, double aSlowness,
                           TargetEntry& aTarget);
  static void Withdraw(const Peer& aPeer, TargetTable& aTargets);

  std::map<DaemonName, Peer> mPeers;
};

} // namespace carobtide
