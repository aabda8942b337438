// What the control plane does as leader, and how it gains and loses the lead.
#include "control_plane.hpp"

#include "carobtide/base/codec.hpp"
#include "clock.hpp"
#include "order_sender.hpp"

namespace carobtide {

namespace {

constexpr Duration kMembershipInterval = std::chrono::seconds(1);
/** A daemon not heard of for this long is no candidate. */
constexpr Duration kCandidateTimeout = std::chrono::seconds(3);

} // namespace

bool ControlPlane::IsLeading() const
{
  return mLog && mDuties && !mHandingOver && mLog->HasLease(SteadyNow());
}

void ControlPlane::RunLeaderDuties(Instant aNow)
{
  auto duties = mDuties->Step(aNow, WallMicros(), mState, mTargets, mPeers);
  for (auto& body : duties.mPropose) {
    ProposeUnattended(std::move(body));
  }
  for (const Order& order : duties.mSend) {
    const TargetRecord* target = mTargets.Find(order.mTarget);
    if (target == nullptr) {
      continue;
    }
    EventFacts facts;
    facts.mStep = EventStep::OrderSent;
    facts.mPeer = order.mTarget.Text();
    facts.mOrder = order.mId;
    mEvents.Record(std::move(facts));
    mMetrics.Add(Counter::OrdersSent);
    SendOrder(mWorkers, target->mAnnouncement.mAddress, order);
  }
}

void ControlPlane::ProposeUnattended(ControlBody aBody)
{
  ControlCommand command;
  command.mBody = std::move(aBody);
  LogEffects effects;
  const auto proposed = mLog->Propose(SteadyNow(), Encode(command), effects);
  if (proposed) {
    HandleEffects(std::move(effects));
  }
}

void ControlPlane::RunMembership(Instant aNow)
{
  if (aNow < mNextMembership) {
    return;
  }
  mNextMembership = aNow + kMembershipInterval;
  const auto proposal =
    mMembers.Next(aNow, ViewOf(*mLog), FindCandidates(aNow));
  if (!proposal) {
    return;
  }
  LogEffects effects;
  const auto proposed = mLog->ProposeMembership(aNow, proposal->mNext, effects);
  HandleEffects(std::move(effects));
  EventFacts facts;
  facts.mStep = EventStep::MemberChanged;
  facts.mPeer = proposal->mMember.mDaemon.Text();
  facts.mDetail = std::string(proposed ? "proposed " : "could not propose ") +
                  std::string(kMembershipSteps.Name(proposal->mStep)) + " " +
                  std::to_string(proposal->mMember.mReplica.Value());
  mEvents.Record(std::move(facts));
}

std::vector<ReplicaCandidate> ControlPlane::FindCandidates(Instant aNow) const
{
  std::vector<ReplicaCandidate> candidates;
  for (const auto& [name, peer] : mPeers) {
    const bool isAlive = aNow - peer.mHeardAt <= kCandidateTimeout;
    if (peer.mReplica == ReplicaId() || !isAlive) {
      continue;
    }
    ReplicaCandidate candidate;
    candidate.mReplica = peer.mReplica;
    candidate.mDaemon = name;
    candidate.mFailureDomain = DomainOf(mSettings, name);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void ControlPlane::NoteRoleChange(const LogEffects& aEffects)
{
  EventFacts facts;
  if (aEffects.mBecameLeader) {
    mDuties =
      std::make_unique<LeaderDuties>(mSettings, mLog->Term(), SteadyNow());
    facts.mStep = EventStep::LeaderElected;
    facts.mDetail = "term " + std::to_string(mLog->Term());
    mEvents.Record(std::move(facts));
  } else if (aEffects.mLostLeadership) {
    mDuties.reset();
    mWaiters.WakeAll();
    facts.mStep = EventStep::LeaderLost;
    mEvents.Record(std::move(facts));
  }
  if (aEffects.mMembershipChanged) {
    EventFacts changed;
    changed.mStep = EventStep::MemberChanged;
    mEvents.Record(std::move(changed));
  }
}

void ControlPlane::HandOverLeadership()
{
  const std::lock_guard lock(mMutex);
  mHandingOver = true;
  if (mLog && mLog->Role() == ReplicaRole::Leader) {
    HandleEffects(mLog->TransferLeadership(SteadyNow()));
  }
}

Result<Unit> ControlPlane::ChangeMembers(const Membership& aMembership)
{
  const std::lock_guard lock(mMutex);
  if (!mLog) {
    return MakeError(ErrorCode::NotLeader, "member.change",
                     LeaderName().Text());
  }
  LogEffects effects;
  const auto proposed =
    mLog->ProposeMembership(SteadyNow(), aMembership, effects);
  if (!proposed) {
    return proposed.GetError();
  }
  HandleEffects(std::move(effects));
  return Success();
}

} // namespace carobtide
