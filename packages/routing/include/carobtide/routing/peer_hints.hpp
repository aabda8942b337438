#pragma once

/**
 * @file
 * In-flight counts reported by other daemons.
 */

#include "carobtide/base.hpp"
#include "carobtide/routing/target_table.hpp"
#include "carobtide/routing/types.hpp"

#include <map>
#include <vector>

namespace carobtide {

/**
 * The latest hints of each peer; their sums are kept in the target table. A
 * peer's hints expire when it stops sending them.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class PeerHints
{
public:
  /** Replaces the previous hints of the peer; unknown targets are ignored. */
  void Replace(Instant aNow, const DaemonName& aPeer,
               const std::vector<InFlightHint>& aHints, TargetTable& aTargets);

  /** Removes hints older than kLifetime; true if any were removed. */
  bool Expire(Instant aNow, TargetTable& aTargets);

  /** True if hints of any peer are in effect. */
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

  static void RecordSlowness(Instant aNow, double aSlowness,
                             TargetEntry& aTarget);
  /** Subtracts a peer's hints from the sums in the target table. */
  static void Subtract(const Peer& aPeer, TargetTable& aTargets);

  std::map<DaemonName, Peer> mPeers;
};

} // namespace carobtide
