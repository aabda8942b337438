/**
 * @file
 * Events and effects of one replica.
 */

#include "replica.hpp"

#include "carobtide/base/codec.hpp"
#include "effects.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace carobtide {

namespace {

LogBuffer MakeLog(RecoveredState& aRecovered)
{
  const auto index = aRecovered.mSnapshot ? aRecovered.mSnapshot->mIndex : 0;
  const auto term = aRecovered.mSnapshot ? aRecovered.mSnapshot->mTerm : 0;
  return LogBuffer(index, term, std::move(aRecovered.mEntries));
}

Membership FirstMembership(const RecoveredState& aRecovered,
                           const Membership& aInitial)
{
  return aRecovered.mSnapshot ? aRecovered.mSnapshot->mMembership : aInitial;
}

} // namespace

ReplicatedLog::Impl::Impl(GroupId aGroup, RecoveredState aRecovered,
                          const Membership& aInitial,
                          ReplicatedLogOptions aOptions, Instant aNow,
                          std::uint64_t aSeed)
  : mGroup(aGroup)
  , mSelf(aRecovered.mReplica)
  , mOptions(aOptions)
  , mRandom(aSeed)
  , mNow(aNow)
  , mHardState(aRecovered.mHardState)
  , mLog(MakeLog(aRecovered))
  , mHistory(mLog.BaseIndex(), FirstMembership(aRecovered, aInitial))
  , mDurability(mLog.LastIndex())
  , mCommitIndex(mLog.BaseIndex())
  , mAppliedIndex(mLog.BaseIndex())
  , mLeaderHeardAt(aNow)
{
  assert(mSelf != ReplicaId{});
  for (auto n = mLog.BaseIndex() + 1; n <= mLog.LastIndex(); ++n) {
    const LogEntry& entry = mLog.At(n);
    if (entry.mKind == EntryKind::Membership) {
      mHistory.Add(n, Decode<Membership>(entry.mPayload).ValueOrThrow());
    }
  }
  if (aRecovered.mSnapshot) {
    mEffects.mRestore = *aRecovered.mSnapshot;
    mSnapshot =
      std::make_shared<const Snapshot>(std::move(*aRecovered.mSnapshot));
  }
  ResetElectionTimer();
  // Nobody else can be leading a group of one.
  if (IsVoter() && mHistory.Current().VoterCount() == 1) {
    mElectionDeadline = aNow;
  }
}

void ReplicatedLog::Impl::Advance(Instant aNow)
{
  mNow = std::max(mNow, aNow);
}

LogEffects ReplicatedLog::Impl::TakeEffects()
{
  CollectCommitted();
  if (!mDiskFailed) {
    mEffects.mPersist =
      mDurability.NextBatch(mLog, mHardState, mSnapshot.get());
  }
  return std::exchange(mEffects, {});
}

void ReplicatedLog::Impl::CollectCommitted()
{
  while (mAppliedIndex < mCommitIndex) {
    const LogEntry& entry = mLog.At(++mAppliedIndex);
    mBytesSinceAsked += static_cast<Bytes>(entry.mPayload.size());
    mEffects.mCommitted.push_back(entry);
  }
  const auto since = std::max(mLog.BaseIndex(), mSnapshotAskedAt);
  const Bytes bytes =
    std::max(mOptions.mSnapshotBytes,
             mSnapshot ? static_cast<Bytes>(mSnapshot->mState.size()) : 0);
  if (mAppliedIndex >= since + mOptions.mSnapshotInterval ||
      mBytesSinceAsked >= bytes) {
    mSnapshotAskedAt = mAppliedIndex;
    mBytesSinceAsked = 0;
    mEffects.mSnapshotWanted = true;
  }
}

void ReplicatedLog::Impl::Send(ReplicaId aTo, ConsensusMessage aMessage)
{
  mEffects.mMessages.push_back(
    ConsensusEnvelope{ mGroup, mSelf, aTo, std::move(aMessage) });
}

void ReplicatedLog::Impl::SendOnceDurable(ReplicaId aTo,
                                          ConsensusMessage aMessage)
{
  if (mDurability.IsHardStateDurable()) {
    Send(aTo, std::move(aMessage));
    return;
  }
  mHeldForHardState.push_back(
    ConsensusEnvelope{ mGroup, mSelf, aTo, std::move(aMessage) });
}

void ReplicatedLog::Impl::AppendEntry(LogEntry aEntry)
{
  if (aEntry.mKind == EntryKind::Membership) {
    auto membership = Decode<Membership>(aEntry.mPayload);
    assert(membership.HasValue());
    mHistory.Add(aEntry.mIndex, std::move(*membership));
    mEffects.mMembershipChanged = true;
  }
  mLog.Append(std::move(aEntry));
}

Error ReplicatedLog::Impl::MakeError(ErrorCode aCode, const char* aStep,
                                     const char* aWhy) const
{
  return Error{ aCode, aStep, std::to_string(mLeader.Value()), aWhy };
}

LogEffects ReplicatedLog::Impl::Tick(Instant aNow)
{
  Advance(aNow);
  if (IsLeader()) {
    CheckQuorum();
    CheckTransfer();
  }
  if (IsLeader() && mNow >= mNextHeartbeat) {
    SendHeartbeats();
  }
  if (!IsLeader() && mNow >= mElectionDeadline) {
    OnElectionTimeout();
  }
  return TakeEffects();
}

LogEffects ReplicatedLog::Impl::Receive(Instant aNow,
                                        const ConsensusEnvelope& aEnvelope)
{
  Advance(aNow);
  if (aEnvelope.mGroup == mGroup && aEnvelope.mTo == mSelf) {
    std::visit([&](const auto& aMessage) { Handle(aEnvelope.mFrom, aMessage); },
               aEnvelope.mMessage);
  }
  return TakeEffects();
}

LogEffects ReplicatedLog::Impl::OnPersisted(Instant aNow,
                                            std::uint64_t aSequence)
{
  Advance(aNow);
  if (!mDurability.Complete(aSequence)) {
    return TakeEffects();
  }
  // The batch that was refused is durable now, as after a slow write.
  mDiskFailed = false;
  if (mDurability.IsHardStateDurable()) {
    std::ranges::move(mHeldForHardState,
                      std::back_inserter(mEffects.mMessages));
    mHeldForHardState.clear();
    CountVotes();
  }
  if (IsLeader()) {
    AdvanceCommit();
  }
  SendOwedReply();
  return TakeEffects();
}

LogEffects ReplicatedLog::Impl::OnPersistFailed(Instant aNow,
                                                const Error& /*aError*/)
{
  Advance(aNow);
  mDiskFailed = true;
  mHeldForHardState.clear();
  if (IsLeader()) {
    if (const auto successor = ChooseSuccessor()) {
      Send(*successor, TimeoutNow{ Term() });
    }
  }
  BecomeFollower(Term(), {});
  return TakeEffects();
}

Result<std::uint64_t> ReplicatedLog::Impl::Propose(Instant aNow,
                                                   std::string aPayload,
                                                   LogEffects& aEffects)
{
  Advance(aNow);
  if (!HasLease(mNow) || mTransfer) {
    return MakeError(ErrorCode::NotLeader, "log.propose",
                     "this replica is not a leader with a lease");
  }
  const auto index = mLog.LastIndex() + 1;
  AppendEntry(
    LogEntry{ index, Term(), EntryKind::Command, std::move(aPayload) });
  SendEntriesToAll();
  MergeEffects(aEffects, TakeEffects());
  return index;
}

Instant ReplicatedLog::Impl::NextWakeup() const
{
  if (!IsLeader()) {
    return mElectionDeadline;
  }
  return mTransfer ? std::min(mNextHeartbeat, mTransfer->mDeadline)
                   : mNextHeartbeat;
}

ReplicaRole ReplicatedLog::Impl::Role() const
{
  const bool passive = mRole == ReplicaRole::Follower;
  return passive && !MayCampaign() ? ReplicaRole::Learner : mRole;
}

} // namespace carobtide
