/**
 * @file
 * Snapshots: taking them, and sending them in chunks.
 */

#include "replica.hpp"

#include <algorithm>
#include <cassert>

namespace carobtide {

namespace {

/** A chunk is sent again after this many heartbeats without an answer. */
constexpr int kResendHeartbeats = 4;

} // namespace

LogEffects ReplicatedLog::Impl::OnSnapshotTaken(Instant aNow,
                                                std::uint64_t aIndex,
                                                std::string aState)
{
  Advance(aNow);
  const auto newest = mSnapshot ? mSnapshot->mIndex : 0;
  if (aIndex <= newest || aIndex > mAppliedIndex) {
    return TakeEffects();
  }
  mSnapshot = std::make_shared<const Snapshot>(Snapshot{
    aIndex, *mLog.TermAt(aIndex), mHistory.At(aIndex), std::move(aState) });
  mDurability.MarkSnapshot();
  const auto byEntries = aIndex - std::min(aIndex, mOptions.mTrailingEntries);
  mLog.CompactTo(
    std::max(byEntries, mLog.IndexBefore(aIndex, mOptions.mTrailingBytes)));
  mHistory.CompactTo(mLog.BaseIndex());
  return TakeEffects();
}

void ReplicatedLog::Impl::SendChunk(ReplicaId aTo, Progress& aProgress)
{
  SnapshotTransfer& transfer = aProgress.Transfer();
  const Snapshot& snapshot = *transfer.mSnapshot;
  SnapshotRequest request;
  request.mTerm = Term();
  request.mIndex = snapshot.mIndex;
  request.mSnapshotTerm = snapshot.mTerm;
  request.mMembership = snapshot.mMembership;
  request.mOffset = transfer.mOffset;
  request.mChunk = snapshot.mState.substr(
    transfer.mOffset, static_cast<std::size_t>(mOptions.mSnapshotChunkBytes));
  request.mLast =
    transfer.mOffset + request.mChunk.size() == snapshot.mState.size();
  request.mSentAtMicros = mNow.time_since_epoch().count();
  transfer.mSentAt = mNow;
  Send(aTo, std::move(request));
}

void ReplicatedLog::Impl::ResendChunk(ReplicaId aTo, Progress& aProgress)
{
  const auto timeout = kResendHeartbeats * mOptions.mHeartbeatInterval;
  if (mNow - aProgress.Transfer().mSentAt >= timeout) {
    SendChunk(aTo, aProgress);
  }
}

void ReplicatedLog::Impl::Handle(ReplicaId aFrom,
                                 const SnapshotRequest& aRequest)
{
  if (aRequest.mTerm < Term()) {
    RefuseStaleLeader(aFrom, aRequest.mSentAtMicros);
    return;
  }
  if (aRequest.mTerm > Term()) {
    BecomeFollower(aRequest.mTerm, aFrom);
  }
  ObserveLeader(aFrom);
  if (aRequest.mIndex <= mCommitIndex) {
    mIncoming.reset();
    Acknowledge(aFrom, mCommitIndex, aRequest.mSentAtMicros, true);
    return;
  }
  const bool complete = TakeChunk(aRequest);
  SendOnceDurable(aFrom,
                  SnapshotReply{ Term(), aRequest.mIndex, aRequest.mOffset,
                                 mIncoming->mState.size(), complete });
  if (complete) {
    Install(aRequest);
    Acknowledge(aFrom, aRequest.mIndex, aRequest.mSentAtMicros, false);
  }
}

bool ReplicatedLog::Impl::TakeChunk(const SnapshotRequest& aRequest)
{
  // Two leaders may encode the same state differently.
  const bool same = mIncoming && mIncoming->mIndex == aRequest.mIndex &&
                    mIncoming->mLeaderTerm == aRequest.mTerm;
  if (!same) {
    mIncoming = IncomingSnapshot{ aRequest.mIndex, aRequest.mTerm, {} };
  }
  if (aRequest.mOffset != mIncoming->mState.size()) {
    return false;
  }
  mIncoming->mState += aRequest.mChunk;
  return aRequest.mLast;
}

void ReplicatedLog::Impl::Install(const SnapshotRequest& aRequest)
{
  mSnapshot = std::make_shared<const Snapshot>(
    Snapshot{ aRequest.mIndex, aRequest.mSnapshotTerm, aRequest.mMembership,
              std::move(mIncoming->mState) });
  mIncoming.reset();
  if (mLog.TermAt(aRequest.mIndex) == aRequest.mSnapshotTerm) {
    mLog.CompactTo(aRequest.mIndex);
    mHistory.CompactTo(aRequest.mIndex);
    mDurability.MarkSnapshot();
  } else {
    mLog.Reset(aRequest.mIndex, aRequest.mSnapshotTerm);
    mHistory.Reset(aRequest.mIndex, aRequest.mMembership);
    mDurability.ResetTo(aRequest.mIndex);
  }
  mCommitIndex = aRequest.mIndex;
  mAppliedIndex = aRequest.mIndex;
  mBytesSinceAsked = 0;
  mEffects.mCommitted.clear();
  mEffects.mRestore = *mSnapshot;
  mEffects.mMembershipChanged = true;
}

void ReplicatedLog::Impl::Handle(ReplicaId aFrom, const SnapshotReply& aReply)
{
  if (aReply.mTerm > Term()) {
    BecomeFollower(aReply.mTerm, {});
    return;
  }
  const auto it = mProgress.find(aFrom);
  if (aReply.mTerm < Term() || !IsLeader() || it == mProgress.end()) {
    return;
  }
  Progress& progress = it->second;
  if (progress.Mode() != ProgressMode::Snapshot ||
      progress.Transfer().mSnapshot->mIndex != aReply.mIndex || aReply.mDone) {
    return;
  }
  SnapshotTransfer& transfer = progress.Transfer();
  // Only the answer to the latest chunk tells where the follower stands.
  const bool current = aReply.mOffset == transfer.mOffset;
  const bool valid = aReply.mNextOffset <= transfer.mSnapshot->mState.size();
  if (current && valid) {
    transfer.mOffset = aReply.mNextOffset;
    SendChunk(aFrom, progress);
  }
}

} // namespace carobtide
