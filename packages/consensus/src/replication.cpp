/**
 * @file
 * The leader's side of replication, and commitment.
 */

#include "replica.hpp"

#include <algorithm>
#include <functional>

namespace carobtide {

void ReplicatedLog::Impl::SendHeartbeats()
{
  mNextHeartbeat = mNow + mOptions.mHeartbeatInterval;
  for (auto& [replica, progress] : mProgress) {
    SendHeartbeat(replica, progress);
  }
}

void ReplicatedLog::Impl::SendHeartbeat(ReplicaId aTo, Progress& aProgress)
{
  aProgress.RetryProbe();
  SendEntries(aTo, aProgress);
  switch (aProgress.Mode()) {
    case ProgressMode::Probe:
      break;
    case ProgressMode::Replicate:
      Send(aTo, MakeAppend(aProgress.Next() - 1));
      break;
    case ProgressMode::Snapshot:
      Send(aTo, MakeAppend(0));
      ResendChunk(aTo, aProgress);
      break;
  }
}

void ReplicatedLog::Impl::SendEntriesToAll()
{
  for (auto& [replica, progress] : mProgress) {
    SendEntries(replica, progress);
  }
}

void ReplicatedLog::Impl::SendEntries(ReplicaId aTo, Progress& aProgress)
{
  if (aProgress.Mode() != ProgressMode::Snapshot &&
      aProgress.Next() <= mLog.BaseIndex()) {
    aProgress.StartTransfer(mSnapshot);
    SendChunk(aTo, aProgress);
    return;
  }
  while (aProgress.CanSend(mOptions.mMaxInFlight)) {
    const bool probe = aProgress.Mode() == ProgressMode::Probe;
    if (!probe && aProgress.Next() > mLog.LastIndex()) {
      return;
    }
    const auto previous = aProgress.Next() - 1;
    auto request = MakeAppend(previous);
    request.mEntries = mLog.Slice(aProgress.Next(), mOptions.mMaxBatchEntries,
                                  mOptions.mMaxBatchBytes);
    aProgress.Sent(previous + request.mEntries.size());
    Send(aTo, std::move(request));
  }
}

AppendRequest ReplicatedLog::Impl::MakeAppend(std::uint64_t aPrevious) const
{
  AppendRequest request;
  request.mTerm = Term();
  request.mPreviousIndex = aPrevious;
  request.mPreviousTerm = aPrevious == 0 ? 0 : *mLog.TermAt(aPrevious);
  request.mCommitIndex = mCommitIndex;
  request.mSentAtMicros = mNow.time_since_epoch().count();
  return request;
}

void ReplicatedLog::Impl::AdvanceCommit()
{
  const Membership& membership = mHistory.Current();
  mMatchScratch.clear();
  for (const Member& member : membership.mMembers) {
    if (member.mRole == MemberRole::Voter) {
      mMatchScratch.push_back(MatchIndex(member.mReplica));
    }
  }
  const auto quorum = membership.QuorumSize();
  if (mMatchScratch.size() < quorum) {
    return;
  }
  std::ranges::sort(mMatchScratch, std::ranges::greater{});
  const auto stored = mMatchScratch[quorum - 1];
  // Only entries of the own term are committed by counting copies.
  if (stored > mCommitIndex && mLog.TermAt(stored) == Term()) {
    mCommitIndex = stored;
    OnCommitted();
  }
}

void ReplicatedLog::Impl::OnCommitted()
{
  // Tells followers at once, so that they apply without a heartbeat's delay.
  for (auto& [replica, progress] : mProgress) {
    if (progress.Mode() == ProgressMode::Replicate &&
        progress.Next() > mLog.LastIndex()) {
      auto notice = MakeAppend(progress.Next() - 1);
      notice.mCommitNotice = true;
      Send(replica, std::move(notice));
    }
  }
  OnMembershipCommitted();
}

void ReplicatedLog::Impl::HandleAcknowledgement(ReplicaId aFrom,
                                                Progress& aProgress,
                                                const AppendReply& aReply)
{
  if (!aReply.mDurable) {
    aProgress.Received(aReply.mMatchIndex);
    SendEntries(aFrom, aProgress);
    return;
  }
  const bool advanced = aReply.mMatchIndex > aProgress.Match();
  aProgress.Stored(aReply.mMatchIndex);
  SendEntries(aFrom, aProgress);
  if (advanced) {
    CheckTransfer();
    AdvanceCommit();
  }
}

void ReplicatedLog::Impl::Handle(ReplicaId aFrom, const AppendReply& aReply)
{
  if (aReply.mTerm > Term()) {
    BecomeFollower(aReply.mTerm, {});
    return;
  }
  const auto it = mProgress.find(aFrom);
  if (aReply.mTerm < Term() || !IsLeader() || it == mProgress.end() ||
      aReply.mMatchIndex > mLog.LastIndex()) {
    return;
  }
  Progress& progress = it->second;
  if (aReply.mDurable) {
    progress.Heard(mNow, Instant(Duration(aReply.mSentAtMicros)));
    UpdateQuorumContact();
  }
  if (aReply.mSuccess) {
    HandleAcknowledgement(aFrom, progress, aReply);
  } else if (progress.Rejected(aReply.mRejectedIndex, aReply.mMatchIndex)) {
    SendEntries(aFrom, progress);
  }
}

} // namespace carobtide
