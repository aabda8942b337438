#pragma once

/**
 * @file
 * What the leader does beyond replicating: placing models, replacing dead
 * voters, keeping the ledger's time and settling claims of dead daemons.
 */

#include "control_state.hpp"
#include "peer_messages.hpp"

#include "carobtide/settings.hpp"

#include <map>
#include <memory>
#include <vector>

namespace carobtide {

/** What a heartbeat told of a daemon. */
struct PeerRecord
{
  /** The incarnation under which it claims keys. */
  std::uint64_t mIncarnation = 0;
  /** When that incarnation was first heard of. */
  Instant mIncarnationAt;
  ReplicaId mReplica;
  Instant mHeardAt;
  DemandTable mDemand;
};

/** All daemons heard of, this one included. */
using PeerTable = std::map<DaemonName, PeerRecord>;

/** What the duties ask of the control plane. */
struct DutyEffects
{
  std::vector<ControlBody> mPropose;
  std::vector<Order> mSend;
};

/**
 * The duties of one term. Created when leadership starts, dropped with it.
 *
 * Thread safety: none; the control plane guards it.
 */
class LeaderDuties
{
public:
  LeaderDuties(const DaemonSettings& aSettings, std::uint64_t aTerm,
               Instant aNow);

  /** Runs what is due. Call about every 10 ms while the lease holds. */
  DutyEffects Step(Instant aNow, std::int64_t aWallMicros,
                   const ControlState& aState, const TargetRegistry& aTargets,
                   const PeerTable& aPeers);

private:
  void StepPlacement(Instant aNow, const ControlState& aState,
                     const TargetRegistry& aTargets, const PeerTable& aPeers,
                     DutyEffects& aEffects);
  void StepLedger(Instant aNow, std::int64_t aWallMicros,
                  const ControlState& aState, const PeerTable& aPeers,
                  DutyEffects& aEffects);
  bool IsClaimantGone(const ClaimantId& aClaimant, Instant aNow,
                      const PeerTable& aPeers) const;
  static DemandTable SumDemand(const PeerTable& aPeers);

  const DaemonSettings& mSettings;
  const Instant mStartedAt;
  PlacementController mController;
  Instant mNextPlacement;
  Instant mNextLedger;
};

/** The ledger's bounds as the settings state them. */
LedgerLimits MakeLedgerLimits(const DaemonSettings& aSettings);

} // namespace carobtide
