#pragma once

/**
 * @file
 * Messages between the replicas of a group. Encoded with cereal by transport.
 */

#include "carobtide/consensus/types.hpp"

#include <cereal/types/variant.hpp>

#include <variant>

namespace carobtide {

/** Asks for a vote; with `mPreVote` only whether one would be given. */
struct VoteRequest
{
  std::uint64_t mTerm = 0;
  std::uint64_t mLastIndex = 0;
  std::uint64_t mLastTerm = 0;
  bool mPreVote = false;
  /** True after a leadership transfer: voters ignore their leader's lease. */
  bool mTransfer = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm, mLastIndex, mLastTerm, mPreVote, mTransfer);
  }
};

struct VoteReply
{
  std::uint64_t mTerm = 0;
  bool mGranted = false;
  bool mPreVote = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm, mGranted, mPreVote);
  }
};

/** Replicates entries; without entries it is a heartbeat. */
struct AppendRequest
{
  std::uint64_t mTerm = 0;
  std::uint64_t mPreviousIndex = 0;
  std::uint64_t mPreviousTerm = 0;
  std::uint64_t mCommitIndex = 0;
  /** Echoed in the reply: the leader's send time, for its lease. */
  std::int64_t mSentAtMicros = 0;
  /** Only tells the new commit index: no answer unless it does not match. */
  bool mCommitNotice = false;
  std::vector<LogEntry> mEntries;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm, mPreviousIndex, mPreviousTerm, mCommitIndex, mSentAtMicros,
             mCommitNotice, mEntries);
  }
};

struct AppendReply
{
  std::uint64_t mTerm = 0;
  bool mSuccess = false;
  /** On success the last index known to match, else a hint to back off to. */
  std::uint64_t mMatchIndex = 0;
  /** On failure the previous index that did not match. */
  std::uint64_t mRejectedIndex = 0;
  std::int64_t mSentAtMicros = 0;
  /** False from a replica whose disk failed: it counts in no quorum. */
  bool mDurable = true;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm, mSuccess, mMatchIndex, mRejectedIndex, mSentAtMicros,
             mDurable);
  }
};

/** One chunk of a snapshot. */
struct SnapshotRequest
{
  std::uint64_t mTerm = 0;
  std::uint64_t mIndex = 0;
  std::uint64_t mSnapshotTerm = 0;
  Membership mMembership;
  std::uint64_t mOffset = 0;
  std::string mChunk;
  bool mLast = false;
  std::int64_t mSentAtMicros = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm, mIndex, mSnapshotTerm, mMembership, mOffset, mChunk, mLast,
             mSentAtMicros);
  }
};

struct SnapshotReply
{
  std::uint64_t mTerm = 0;
  std::uint64_t mIndex = 0;
  /** The offset of the chunk that this answers. */
  std::uint64_t mOffset = 0;
  /** The offset that the follower wants next; lower after its restart. */
  std::uint64_t mNextOffset = 0;
  bool mDone = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm, mIndex, mOffset, mNextOffset, mDone);
  }
};

/** Tells a caught-up voter to start an election at once. */
struct TimeoutNow
{
  std::uint64_t mTerm = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm);
  }
};

using ConsensusMessage =
  std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
               SnapshotRequest, SnapshotReply, TimeoutNow>;

/** A message with its group, sender and receiver. */
struct ConsensusEnvelope
{
  GroupId mGroup;
  ReplicaId mFrom;
  ReplicaId mTo;
  ConsensusMessage mMessage;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mGroup, mFrom, mTo, mMessage);
  }
};

} // namespace carobtide
