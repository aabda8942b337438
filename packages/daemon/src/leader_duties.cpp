#include "leader_duties.hpp"

#include <algorithm>

namespace carobtide {

namespace {

constexpr Duration kPlacementInterval = std::chrono::milliseconds(100);
constexpr Duration kLedgerInterval = std::chrono::seconds(5);
/** A daemon not heard of for this long is taken for dead. */
constexpr Duration kClaimantTimeout = std::chrono::seconds(30);

bool IsRolling(const BundleRegistry& aBundles)
{
  const auto bundle = aBundles.Current();
  if (!bundle) {
    return false;
  }
  const auto* record = aBundles.Find(bundle->mName, bundle->mVersion);
  return record != nullptr && record->mState == BundleState::Rolling;
}

} // namespace

LedgerLimits MakeLedgerLimits(const DaemonSettings& aSettings)
{
  LedgerLimits limits;
  limits.mMaxKeys = static_cast<std::size_t>(aSettings.mLedgerMaxKeys);
  limits.mMaxAnswerBytes = aSettings.mLedgerMaxAnswerBytes;
  limits.mMaxTotalBytes = aSettings.mLedgerMaxTotalBytes;
  limits.mRetention = aSettings.mLedgerRetention;
  return limits;
}

LeaderDuties::LeaderDuties(const DaemonSettings& aSettings, std::uint64_t aTerm,
                           Instant aNow)
  : mSettings(aSettings)
  , mStartedAt(aNow)
  , mController(PlacementOptions{}, FencingToken(aTerm))
  , mNextPlacement(aNow)
  , mNextLedger(aNow)
{
}

DutyEffects LeaderDuties::Step(Instant aNow, std::int64_t aWallMicros,
                               const ControlState& aState,
                               const TargetRegistry& aTargets,
                               const PeerTable& aPeers)
{
  DutyEffects effects;
  if (aNow >= mNextPlacement) {
    mNextPlacement = aNow + kPlacementInterval;
    StepPlacement(aNow, aState, aTargets, aPeers, effects);
  }
  if (aNow >= mNextLedger) {
    mNextLedger = aNow + kLedgerInterval;
    StepLedger(aNow, aWallMicros, aState, aPeers, effects);
  }
  return effects;
}

void LeaderDuties::StepPlacement(Instant aNow, const ControlState& aState,
                                 const TargetRegistry& aTargets,
                                 const PeerTable& aPeers, DutyEffects& aEffects)
{
  const auto bundle = aState.Bundles().Current();
  if (!bundle) {
    return;
  }
  auto step = mController.Step(aNow, *bundle, aTargets, aState.GetPlacement(),
                               SumDemand(aPeers));
  for (auto& command : step.mPropose) {
    aEffects.mPropose.emplace_back(std::move(command));
  }
  aEffects.mSend = std::move(step.mSend);
  if (step.mSettled && IsRolling(aState.Bundles())) {
    FinishRoll finish;
    finish.mEpoch = aState.Bundles().CurrentEpoch();
    aEffects.mPropose.emplace_back(BundleCommand(finish));
  }
}

void LeaderDuties::StepLedger(Instant aNow, std::int64_t aWallMicros,
                              const ControlState& aState,
                              const PeerTable& aPeers, DutyEffects& aEffects)
{
  const Ledger& ledger = aState.GetLedger();
  const LedgerLimits limits = MakeLedgerLimits(mSettings);
  if (!(ledger.Limits() == limits)) {
    aEffects.mPropose.emplace_back(LedgerCommand(SetLedgerLimits{ limits }));
  }
  if (ledger.Size() > 0) {
    aEffects.mPropose.emplace_back(LedgerCommand(ExpireKeys{ aWallMicros }));
  }
  for (const ClaimantId& claimant : ledger.OpenClaimants()) {
    if (IsClaimantGone(claimant, aNow, aPeers)) {
      aEffects.mPropose.emplace_back(
        LedgerCommand(AbandonClaimant{ claimant }));
    }
  }
}

bool LeaderDuties::IsClaimantGone(const ClaimantId& aClaimant, Instant aNow,
                                  const PeerTable& aPeers) const
{
  const auto it = aPeers.find(aClaimant.mDaemon);
  if (it == aPeers.end()) {
    return aNow - mStartedAt > kClaimantTimeout;
  }
  const PeerRecord& peer = it->second;
  // A lower one is a process whose clock was set back before it restarted, or
  // one whose first heartbeat under a new incarnation is still under way.
  const bool isReplaced = peer.mIncarnation > aClaimant.mIncarnation ||
                          (peer.mIncarnation < aClaimant.mIncarnation &&
                           aNow - peer.mIncarnationAt > kClaimantTimeout);
  return isReplaced || aNow - peer.mHeardAt > kClaimantTimeout;
}

DemandTable LeaderDuties::SumDemand(const PeerTable& aPeers)
{
  DemandTable sum;
  for (const auto& [name, peer] : aPeers) {
    for (const auto& [model, demand] : peer.mDemand) {
      sum[model].mFast += demand.mFast;
      sum[model].mSlow += demand.mSlow;
    }
  }
  return sum;
}

} // namespace carobtide
