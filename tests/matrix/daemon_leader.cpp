// What a daemon does while it leads.
#include "daemon.hpp"
#include "world.hpp"

namespace carobtide::matrix {

namespace {

constexpr Duration kDutyInterval = 200ms;
constexpr Duration kLedgerDutyInterval = 2s;
constexpr Duration kClaimantTimeout = 10s;
constexpr Duration kAskTimeout = 2s;

} // namespace

void DaemonProcess::Lead()
{
  const Instant now = mWorld.mSim.Now();
  if (!Leads()) {
    mController.reset();
    mMembers.reset();
    mControllerTerm = 0;
    return;
  }
  if (mControllerTerm != mLog->Term()) {
    mControllerTerm = mLog->Term();
    mLeadsSince = now;
    mController = std::make_unique<PlacementController>(
      PlacementOptions{}, FencingToken(mControllerTerm));
    MembershipPolicy policy;
    policy.mDeadVoterTimeout = 4s;
    policy.mPromotionLag = 20;
    mMembers = std::make_unique<MembershipManager>(policy);
  }
  if (now < mNextDuty) {
    return;
  }
  mNextDuty = now + kDutyInterval;
  StepPlacement();
  StepMembership();
  if (now >= mNextLedgerDuty) {
    mNextLedgerDuty = now + kLedgerDutyInterval;
    StepLedger();
  }
}

void DaemonProcess::StepPlacement()
{
  const auto bundle = mBundles.Current();
  if (!bundle) {
    return;
  }
  const PlacementEffects effects =
    mController->Step(Now(), *bundle, mTargets, mPlacement, {});
  for (const PlacementCommand& command : effects.mPropose) {
    ProposePlacement(command);
  }
  for (const Order& order : effects.mSend) {
    SendOrder(order);
  }
  const auto* record = mBundles.Find(bundle->mName, bundle->mVersion);
  if (effects.mSettled && record != nullptr &&
      record->mState == BundleState::Rolling) {
    const Command finish(BundleCommand(FinishRoll{ mBundles.CurrentEpoch() }));
    mWorld.mSim.Perform(Step::FinishRoll, mId,
                        [this, finish] { Propose(finish, {}); });
  }
}

void DaemonProcess::ProposePlacement(const PlacementCommand& aCommand)
{
  std::optional<Step> step;
  if (const auto* commit = std::get_if<CommitOrder>(&aCommand)) {
    step = commit->mOrder.mAction == OrderAction::Load ? Step::LoadPropose
                                                       : Step::UnloadPropose;
  } else if (const auto* settle = std::get_if<SettleOrder>(&aCommand)) {
    const auto it = mPlacement.OpenOrders().find(settle->mId);
    if (it != mPlacement.OpenOrders().end()) {
      step = it->second.mAction == OrderAction::Load ? Step::LoadConfirm
                                                     : Step::UnloadConfirm;
    }
  }
  const auto propose = [this, aCommand] { Propose(Command(aCommand), {}); };
  if (step) {
    mWorld.mSim.Perform(*step, mId, propose);
  } else {
    propose();
  }
}

void DaemonProcess::SendOrder(const Order& aOrder)
{
  TargetProcess* target = mWorld.FindTarget(aOrder.mTarget);
  const Instant sentAt = mWorld.mSim.Now();
  mWorld.mSim.Send(
    aOrder.mAction == OrderAction::Load ? Step::LoadSend : Step::UnloadSend,
    mId, target->Id(),
    [target, aOrder, sentAt] { target->OnOrder(aOrder, sentAt); });
}

void DaemonProcess::StepMembership()
{
  std::vector<ReplicaCandidate> candidates;
  for (const auto& [index, peer] : mPeers) {
    const bool isHeard = mWorld.mSim.Now() - peer.mHeardAt < 1500ms;
    if (peer.mReplica.Value() != 0 && isHeard) {
      candidates.push_back({ peer.mReplica,
                             DaemonName("d" + std::to_string(index)),
                             FailureDomain("f" + std::to_string(index % 3)) });
    }
  }
  const auto next = mMembers->Next(Now(), ViewOf(*mLog), candidates);
  if (!next) {
    return;
  }
  constexpr std::array kStepOfChange{ Step::AddLearner, Step::Promote,
                                      Step::RemoveMember };
  mWorld.mSim.Perform(kStepOfChange[static_cast<std::size_t>(next->mStep)], mId,
                      [this, membership = next->mNext] {
                        LogEffects effects;
                        static_cast<void>(
                          mLog->ProposeMembership(Now(), membership, effects));
                        Apply(std::move(effects));
                      });
}

void DaemonProcess::StepLedger()
{
  const Instant now = mWorld.mSim.Now();
  Propose(Command(LedgerCommand(ExpireKeys{ mWorld.mSim.WallMicros(mId) })),
          {});
  for (const ClaimantId& claimant : mLedger.OpenClaimants()) {
    const std::size_t index = std::stoul(claimant.mDaemon.Text().substr(1));
    bool isGone = false;
    if (index == mIndex) {
      isGone = claimant.mIncarnation != mClaimant;
    } else if (const auto it = mPeers.find(index); it != mPeers.end()) {
      isGone = now - it->second.mHeardAt > kClaimantTimeout ||
               claimant.mIncarnation < it->second.mClaimant;
    } else {
      isGone = now - mLeadsSince > kClaimantTimeout;
    }
    if (isGone) {
      Propose(Command(LedgerCommand(AbandonClaimant{ claimant })), {});
    }
  }
}

void DaemonProcess::ProposeRogue(const Order& aOrder)
{
  SendOrder(aOrder);
}

void DaemonProcess::Ask(Step aStep, Command aCommand, AskReply aReply)
{
  // The first of answer and timeout counts.
  const auto reply = std::make_shared<AskReply>(std::move(aReply));
  const auto answer = [reply](const AskResult& aResult) {
    if (const AskReply once = std::exchange(*reply, {})) {
      once(aResult);
    }
  };
  if (!mLeaderHint) {
    mWorld.mSim.After(mId, 1ms, [answer] {
      answer(AskResult{ AskEnd::Refused, 0, {}, {} });
    });
    return;
  }
  mWorld.mSim.After(mId, kAskTimeout, [answer] {
    answer(AskResult{ AskEnd::Uncertain, 0, {}, {} });
  });
  DaemonProcess* leader = mWorld.mDaemons[*mLeaderHint].get();
  const std::uint64_t boot = mBoot;
  const auto send = [this, leader, answer, boot](const AskResult& aResult) {
    mWorld.mSim.Send(Step::CommandOutcome, leader->Id(), mId,
                     [this, answer, boot, aResult] {
                       if (boot == mBoot) {
                         answer(aResult);
                       }
                     });
  };
  // A daemon proposes again only what may have been proposed, so that a
  // refusal is certain whatever the copies of the message come to.
  const auto first = std::make_shared<std::optional<bool>>();
  mWorld.mSim.Send(aStep, mId, leader->Id(),
                   [leader, send, first, command = std::move(aCommand)] {
                     if (*first == false) {
                       return;
                     }
                     const bool isProposed =
                       leader->Propose(command, send).has_value();
                     if (!isProposed && !*first) {
                       send(AskResult{ AskEnd::Refused, 0, {}, {} });
                     }
                     *first = first->value_or(isProposed);
                   });
}

} // namespace carobtide::matrix
