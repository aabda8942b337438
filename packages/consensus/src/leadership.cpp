/**
 * @file
 * The leader's lease, check-quorum and the transfer of leadership.
 */

#include "replica.hpp"

#include <algorithm>
#include <functional>

namespace carobtide {

void ReplicatedLog::Impl::BecomeLeader()
{
  mRole = ReplicaRole::Leader;
  mLeader = mSelf;
  mVotes.clear();
  mProgress.clear();
  mTransfer.reset();
  mLeaderSince = mNow;
  mQuorumContact = Instant::min();
  TrackMembers();
  mTermStartIndex = mLog.LastIndex() + 1;
  AppendEntry(LogEntry{ mTermStartIndex, Term(), EntryKind::NoOp, {} });
  mEffects.mBecameLeader = true;
  UpdateQuorumContact();
  SendHeartbeats();
  AdvanceCommit();
}

void ReplicatedLog::Impl::UpdateQuorumContact()
{
  const Membership& membership = mHistory.Current();
  mContactScratch.clear();
  for (const Member& member : membership.mMembers) {
    if (member.mRole != MemberRole::Voter) {
      continue;
    }
    const auto it = mProgress.find(member.mReplica);
    const auto contact =
      it == mProgress.end() ? Instant::min() : it->second.AcknowledgedAt();
    mContactScratch.push_back(member.mReplica == mSelf ? Instant::max()
                                                       : contact);
  }
  const auto quorum = membership.QuorumSize();
  if (mContactScratch.size() < quorum) {
    mQuorumContact = Instant::min();
    return;
  }
  std::ranges::sort(mContactScratch, std::ranges::greater{});
  mQuorumContact = mContactScratch[quorum - 1];
}

bool ReplicatedLog::Impl::HasLease(Instant aNow) const
{
  return IsLeader() && !(mTransfer && mTransfer->mOrdered) &&
         mCommitIndex >= mTermStartIndex &&
         mQuorumContact > std::max(mNow, aNow) - mOptions.mLeaseDuration;
}

void ReplicatedLog::Impl::CheckQuorum()
{
  const auto since = std::max(mLeaderSince, mQuorumContact);
  if (since <= mNow - mOptions.mElectionTimeout) {
    BecomeFollower(Term(), {});
  }
}

std::optional<Instant> ReplicatedLog::Impl::LastContact(
  ReplicaId aReplica) const
{
  const auto it = mProgress.find(aReplica);
  return it == mProgress.end() ? std::nullopt : it->second.LastContact();
}

std::uint64_t ReplicatedLog::Impl::MatchIndex(ReplicaId aReplica) const
{
  if (aReplica == mSelf) {
    return mDurability.DurableIndex();
  }
  const auto it = mProgress.find(aReplica);
  return it == mProgress.end() ? 0 : it->second.Match();
}

std::optional<ReplicaId> ReplicatedLog::Impl::ChooseSuccessor() const
{
  std::optional<ReplicaId> best;
  std::uint64_t bestMatch = 0;
  for (const auto& [replica, progress] : mProgress) {
    const bool alive =
      progress.LastContact() &&
      mNow - *progress.LastContact() < mOptions.mElectionTimeout;
    if (alive && mHistory.Current().IsVoter(replica) &&
        (!best || progress.Match() > bestMatch)) {
      best = replica;
      bestMatch = progress.Match();
    }
  }
  return best;
}

LogEffects ReplicatedLog::Impl::TransferLeadership(Instant aNow,
                                                   std::optional<ReplicaId> aTo)
{
  Advance(aNow);
  if (!IsLeader() || mTransfer) {
    return TakeEffects();
  }
  const auto to = aTo ? aTo : ChooseSuccessor();
  if (to && *to != mSelf && mHistory.Current().IsVoter(*to)) {
    mTransfer = PendingTransfer{ *to, mNow + mOptions.mElectionTimeout, false };
    CheckTransfer();
  }
  return TakeEffects();
}

void ReplicatedLog::Impl::CheckTransfer()
{
  if (!mTransfer) {
    return;
  }
  if (mNow >= mTransfer->mDeadline) {
    // A late TimeoutNow could still depose this leader behind its lease.
    if (mTransfer->mOrdered) {
      BecomeFollower(Term(), {});
    }
    mTransfer.reset();
    return;
  }
  if (!mTransfer->mOrdered && MatchIndex(mTransfer->mTo) == mLog.LastIndex()) {
    mTransfer->mOrdered = true;
    mTransfer->mDeadline = mNow + mOptions.mElectionTimeout;
    Send(mTransfer->mTo, TimeoutNow{ Term() });
  }
}

void ReplicatedLog::Impl::Handle(ReplicaId aFrom, const TimeoutNow& aRequest)
{
  const bool fromLeader = aRequest.mTerm == Term() && aFrom == mLeader;
  if (fromLeader && MayCampaign() && !IsLeader()) {
    StartElection(true);
  }
}

} // namespace carobtide
