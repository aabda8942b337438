/**
 * @file
 * The follower's side of replication.
 */

#include "carobtide/base/codec.hpp"
#include "replica.hpp"

#include <algorithm>
#include <cassert>

namespace carobtide {

void ReplicatedLog::Impl::ObserveLeader(ReplicaId aLeader)
{
  assert(!IsLeader());
  if (mRole != ReplicaRole::Follower || mLeader != aLeader) {
    BecomeFollower(Term(), aLeader);
  }
  mLeaderHeardAt = mNow;
  ResetElectionTimer();
}

void ReplicatedLog::Impl::RefuseStaleLeader(ReplicaId aFrom,
                                            std::int64_t aSentAtMicros)
{
  AppendReply reply;
  reply.mTerm = Term();
  reply.mSentAtMicros = aSentAtMicros;
  SendOnceDurable(aFrom, reply);
}

void ReplicatedLog::Impl::Handle(ReplicaId aFrom, const AppendRequest& aRequest)
{
  if (aRequest.mTerm < Term()) {
    RefuseStaleLeader(aFrom, aRequest.mSentAtMicros);
    return;
  }
  if (aRequest.mTerm > Term()) {
    BecomeFollower(aRequest.mTerm, aFrom);
  }
  ObserveLeader(aFrom);
  if (!MatchesLog(aFrom, aRequest) || !IsAcceptable(aRequest)) {
    return;
  }
  Store(aRequest);
  const auto matched = aRequest.mPreviousIndex + aRequest.mEntries.size();
  mCommitIndex =
    std::max(mCommitIndex, std::min(aRequest.mCommitIndex, matched));
  if (!aRequest.mCommitNotice) {
    Acknowledge(aFrom, matched, aRequest.mSentAtMicros,
                aRequest.mEntries.empty());
  }
}

bool ReplicatedLog::Impl::IsAcceptable(const AppendRequest& aRequest) const
{
  auto next = aRequest.mPreviousIndex;
  return std::ranges::all_of(aRequest.mEntries, [&](const LogEntry& aEntry) {
    next++;
    const auto held = mLog.TermAt(aEntry.mIndex);
    const bool replaces = held && *held != aEntry.mTerm;
    return aEntry.mIndex == next && aEntry.mTerm <= aRequest.mTerm &&
           !(replaces && aEntry.mIndex <= mCommitIndex) &&
           (aEntry.mKind != EntryKind::Membership ||
            Decode<Membership>(aEntry.mPayload));
  });
}

bool ReplicatedLog::Impl::MatchesLog(ReplicaId aFrom,
                                     const AppendRequest& aRequest)
{
  const auto previous = aRequest.mPreviousIndex;
  // What precedes the base is committed, so it matches.
  if (previous < mLog.BaseIndex() ||
      mLog.TermAt(previous) == aRequest.mPreviousTerm) {
    return true;
  }
  AppendReply reply;
  reply.mTerm = Term();
  reply.mRejectedIndex = previous;
  reply.mSentAtMicros = aRequest.mSentAtMicros;
  reply.mDurable = !mDiskFailed;
  reply.mMatchIndex =
    previous > mLog.LastIndex()
      ? mLog.LastIndex()
      : std::max(mCommitIndex, mLog.FirstIndexOfTermAt(previous) - 1);
  SendOnceDurable(aFrom, reply);
  return false;
}

void ReplicatedLog::Impl::Store(const AppendRequest& aRequest)
{
  for (const LogEntry& entry : aRequest.mEntries) {
    if (entry.mIndex <= mLog.BaseIndex() ||
        mLog.TermAt(entry.mIndex) == entry.mTerm) {
      continue;
    }
    if (entry.mIndex <= mLog.LastIndex()) {
      TruncateFrom(entry.mIndex);
    }
    AppendEntry(entry);
  }
}

void ReplicatedLog::Impl::TruncateFrom(std::uint64_t aIndex)
{
  assert(aIndex > mCommitIndex);
  mLog.TruncateFrom(aIndex);
  mDurability.Truncated(aIndex);
  if (mHistory.TruncateFrom(aIndex)) {
    mEffects.mMembershipChanged = true;
  }
}

void ReplicatedLog::Impl::Acknowledge(ReplicaId aTo, std::uint64_t aMatched,
                                      std::int64_t aSentAtMicros, bool aAtOnce)
{
  const bool durable = mDiskFailed || (aMatched <= mDurability.DurableIndex() &&
                                       mDurability.IsHardStateDurable());
  if (durable) {
    SendAppendReply(aTo, aMatched, aSentAtMicros);
    return;
  }
  if (aAtOnce && mDurability.IsHardStateDurable()) {
    SendAppendReply(aTo, std::min(aMatched, mDurability.DurableIndex()),
                    aSentAtMicros);
  }
  const auto matched =
    mOwedReply ? std::max(mOwedReply->mMatched, aMatched) : aMatched;
  mOwedReply = OwedReply{ aTo, matched, aSentAtMicros };
}

void ReplicatedLog::Impl::SendOwedReply()
{
  if (!mOwedReply || !mDurability.IsHardStateDurable()) {
    return;
  }
  const auto stored =
    std::min(mOwedReply->mMatched, mDurability.DurableIndex());
  SendAppendReply(mOwedReply->mTo, stored, mOwedReply->mSentAtMicros);
  if (stored == mOwedReply->mMatched) {
    mOwedReply.reset();
  }
}

void ReplicatedLog::Impl::SendAppendReply(ReplicaId aTo, std::uint64_t aMatched,
                                          std::int64_t aSentAtMicros)
{
  AppendReply reply;
  reply.mTerm = Term();
  reply.mSuccess = true;
  reply.mMatchIndex = aMatched;
  reply.mSentAtMicros = aSentAtMicros;
  reply.mDurable = !mDiskFailed;
  Send(aTo, reply);
}

} // namespace carobtide
