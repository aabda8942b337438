#pragma once

/**
 * @file
 * Entries, members and persistent state of a replicated log.
 */

#include "carobtide/base.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace carobtide {

/** What an entry carries. */
enum class EntryKind : std::uint8_t
{
  /** Appended by a new leader to commit entries of earlier terms. */
  NoOp,
  /** A command of the state machine. */
  Command,
  /** A serialized Membership. */
  Membership,
};

/** One entry of the log. */
struct LogEntry
{
  std::uint64_t mIndex = 0;
  std::uint64_t mTerm = 0;
  EntryKind mKind = EntryKind::NoOp;
  std::string mPayload;

  bool operator==(const LogEntry&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIndex, mTerm, mKind, mPayload);
  }
};

/** Whether a member counts towards quorums. */
enum class MemberRole : std::uint8_t
{
  Learner,
  Voter,
};

inline constexpr EnumTable<MemberRole, 2> kMemberRoles{ { {
  { MemberRole::Learner, "learner" },
  { MemberRole::Voter, "voter" },
} } };

/** One member of the group. */
struct Member
{
  ReplicaId mReplica;
  DaemonName mDaemon;
  FailureDomain mFailureDomain;
  MemberRole mRole = MemberRole::Learner;

  bool operator==(const Member&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mReplica, mDaemon, mFailureDomain, mRole);
  }
};

/** The members of a group as of one log index. */
struct Membership
{
  std::vector<Member> mMembers;

  bool operator==(const Membership&) const = default;

  const Member* Find(ReplicaId aReplica) const;
  bool IsVoter(ReplicaId aReplica) const;
  std::size_t VoterCount() const;
  /** Number of voters that form a majority. */
  std::size_t QuorumSize() const;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMembers);
  }
};

/** What must be on disk before a replica answers a vote or an append. */
struct HardState
{
  std::uint64_t mTerm = 0;
  /** Zero if no vote was given in this term. */
  ReplicaId mVotedFor;

  bool operator==(const HardState&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm, mVotedFor);
  }
};

/** The state machine as of one log index. */
struct Snapshot
{
  std::uint64_t mIndex = 0;
  std::uint64_t mTerm = 0;
  Membership mMembership;
  std::string mState;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIndex, mTerm, mMembership, mState);
  }
};

} // namespace carobtide
