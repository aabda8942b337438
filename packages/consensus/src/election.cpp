/**
 * @file
 * Elections: pre-vote, votes, terms.
 */

#include "replica.hpp"

#include <algorithm>
#include <random>
#include <tuple>

namespace carobtide {

void ReplicatedLog::Impl::ResetElectionTimer()
{
  const auto base = mOptions.mElectionTimeout.count();
  std::uniform_int_distribution<Duration::rep> spread(0, base);
  mElectionDeadline = mNow + Duration(base + spread(mRandom));
}

void ReplicatedLog::Impl::SetTerm(std::uint64_t aTerm)
{
  if (aTerm == Term()) {
    return;
  }
  mHardState = HardState{ aTerm, {} };
  mDurability.MarkHardState();
  mHeldForHardState.clear();
  mOwedReply.reset();
}

void ReplicatedLog::Impl::BecomeFollower(std::uint64_t aTerm, ReplicaId aLeader)
{
  if (IsLeader()) {
    mEffects.mLostLeadership = true;
    mProgress.clear();
    mTransfer.reset();
    mQuorumContact = Instant::min();
  }
  SetTerm(aTerm);
  mRole = ReplicaRole::Follower;
  mLeader = aLeader;
  mVotes.clear();
  ResetElectionTimer();
}

bool ReplicatedLog::Impl::MayCampaign() const
{
  return IsVoter() && !mDiskFailed;
}

void ReplicatedLog::Impl::OnElectionTimeout()
{
  if (!MayCampaign()) {
    mLeader = {};
    ResetElectionTimer();
    return;
  }
  StartPreVote();
}

void ReplicatedLog::Impl::StartPreVote()
{
  BecomeFollower(Term(), {});
  mRole = ReplicaRole::PreCandidate;
  mVotes = { mSelf };
  RequestVotes(
    VoteRequest{ Term() + 1, mLog.LastIndex(), mLog.LastTerm(), true, false });
  CountVotes();
}

void ReplicatedLog::Impl::StartElection(bool aTransfer)
{
  BecomeFollower(Term() + 1, {});
  mRole = ReplicaRole::Candidate;
  mHardState.mVotedFor = mSelf;
  mDurability.MarkHardState();
  mVotes = { mSelf };
  RequestVotes(
    VoteRequest{ Term(), mLog.LastIndex(), mLog.LastTerm(), false, aTransfer });
}

void ReplicatedLog::Impl::RequestVotes(const VoteRequest& aRequest)
{
  for (const Member& member : mHistory.Current().mMembers) {
    if (member.mRole != MemberRole::Voter || member.mReplica == mSelf) {
      continue;
    }
    if (aRequest.mPreVote) {
      Send(member.mReplica, aRequest);
    } else {
      SendOnceDurable(member.mReplica, aRequest);
    }
  }
}

void ReplicatedLog::Impl::CountVotes()
{
  const bool campaigning =
    mRole == ReplicaRole::Candidate || mRole == ReplicaRole::PreCandidate;
  if (!campaigning) {
    return;
  }
  const Membership& membership = mHistory.Current();
  const auto votes = static_cast<std::size_t>(std::ranges::count_if(
    mVotes, [&](ReplicaId aVoter) { return membership.IsVoter(aVoter); }));
  if (votes < membership.QuorumSize()) {
    return;
  }
  if (mRole == ReplicaRole::PreCandidate) {
    StartElection(false);
  } else if (mDurability.IsHardStateDurable()) {
    BecomeLeader();
  }
}

bool ReplicatedLog::Impl::IsUpToDate(const VoteRequest& aRequest) const
{
  return std::tuple(aRequest.mLastTerm, aRequest.mLastIndex) >=
         std::tuple(mLog.LastTerm(), mLog.LastIndex());
}

bool ReplicatedLog::Impl::IsLeaderFresh() const
{
  return IsLeader() || mNow - mLeaderHeardAt < mOptions.mElectionTimeout;
}

bool ReplicatedLog::Impl::MayGrant(ReplicaId aFrom,
                                   const VoteRequest& aRequest) const
{
  if (mDiskFailed || !IsUpToDate(aRequest)) {
    return false;
  }
  if (aRequest.mPreVote) {
    return aRequest.mTerm > Term();
  }
  return aRequest.mTerm == Term() &&
         (mHardState.mVotedFor == ReplicaId{} || mHardState.mVotedFor == aFrom);
}

void ReplicatedLog::Impl::Handle(ReplicaId aFrom, const VoteRequest& aRequest)
{
  // The promise behind the leader's lease: no vote while it may hold.
  if (aRequest.mTerm > Term() && !aRequest.mTransfer && IsLeaderFresh()) {
    return;
  }
  if (aRequest.mTerm > Term() && !aRequest.mPreVote) {
    BecomeFollower(aRequest.mTerm, {});
  }
  const bool granted = MayGrant(aFrom, aRequest);
  if (aRequest.mPreVote) {
    Send(aFrom, VoteReply{ granted ? aRequest.mTerm : Term(), granted, true });
    return;
  }
  if (granted && mHardState.mVotedFor != aFrom) {
    mHardState.mVotedFor = aFrom;
    mDurability.MarkHardState();
    ResetElectionTimer();
  }
  SendOnceDurable(aFrom, VoteReply{ Term(), granted, false });
}

void ReplicatedLog::Impl::Handle(ReplicaId aFrom, const VoteReply& aReply)
{
  const bool preVote = aReply.mPreVote && aReply.mGranted;
  if (aReply.mTerm > Term() && !preVote) {
    BecomeFollower(aReply.mTerm, {});
    return;
  }
  const auto role =
    aReply.mPreVote ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
  const auto term = aReply.mPreVote ? Term() + 1 : Term();
  if (aReply.mGranted && mRole == role && aReply.mTerm == term) {
    mVotes.insert(aFrom);
    CountVotes();
  }
}

} // namespace carobtide
