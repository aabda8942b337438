/**
 * @file
 * Quorum arithmetic of a membership.
 */

#include "carobtide/consensus/types.hpp"

#include <algorithm>

namespace carobtide {

const Member* Membership::Find(ReplicaId aReplica) const
{
  const auto it = std::ranges::find(mMembers, aReplica, &Member::mReplica);
  return it == mMembers.end() ? nullptr : &*it;
}

bool Membership::IsVoter(ReplicaId aReplica) const
{
  const Member* member = Find(aReplica);
  return member != nullptr && member->mRole == MemberRole::Voter;
}

std::size_t Membership::VoterCount() const
{
  return static_cast<std::size_t>(
    std::ranges::count(mMembers, MemberRole::Voter, &Member::mRole));
}

std::size_t Membership::QuorumSize() const
{
  return VoterCount() / 2 + 1;
}

} // namespace carobtide
