#include "initial_membership.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace carobtide {

namespace {

constexpr std::size_t kFewVoters = 3;
constexpr std::size_t kManyVoters = 5;

Member MakeMember(const DaemonName& aName, const FailureDomain& aDomain)
{
  Member member;
  member.mReplica = FirstReplicaOf(aName);
  member.mDaemon = aName;
  member.mFailureDomain = aDomain;
  return member;
}

std::vector<Member> DaemonsWithDisk(const DaemonSettings& aSettings)
{
  std::vector<Member> members;
  if (!aSettings.mDataDir.empty()) {
    members.push_back(MakeMember(aSettings.mName, aSettings.mFailureDomain));
  }
  for (const PeerSettings& peer : aSettings.mPeers) {
    if (peer.mHasDisk) {
      members.push_back(MakeMember(peer.mName, peer.mFailureDomain));
    }
  }
  std::ranges::sort(members, {}, &Member::mDaemon);
  return members;
}

/** Orders members so that each prefix is spread over the failure domains. */
void SpreadOverDomains(std::vector<Member>& aMembers)
{
  std::map<FailureDomain, std::size_t> seen;
  std::map<DaemonName, std::size_t> ranks;
  for (const Member& member : aMembers) {
    ranks[member.mDaemon] = seen[member.mFailureDomain]++;
  }
  std::ranges::stable_sort(aMembers, {}, [&](const Member& aMember) {
    return ranks[aMember.mDaemon];
  });
}

} // namespace

ReplicaId FirstReplicaOf(const DaemonName& aDaemon)
{
  return ReplicaId(ComputeChecksum(aDaemon.Text()) | 1U);
}

FailureDomain DomainOf(const DaemonSettings& aSettings,
                       const DaemonName& aDaemon)
{
  if (aDaemon == aSettings.mName) {
    return aSettings.mFailureDomain;
  }
  const auto it =
    std::ranges::find(aSettings.mPeers, aDaemon, &PeerSettings::mName);
  return it == aSettings.mPeers.end() ? FailureDomain() : it->mFailureDomain;
}

MembershipPolicy MakeMembershipPolicy(const DaemonSettings& aSettings)
{
  MembershipPolicy policy;
  policy.mTargetVoters =
    DaemonsWithDisk(aSettings).size() >= kManyVoters ? kManyVoters : kFewVoters;
  return policy;
}

Membership MakeInitialMembership(const DaemonSettings& aSettings)
{
  Membership membership;
  membership.mMembers = DaemonsWithDisk(aSettings);
  SpreadOverDomains(membership.mMembers);
  const std::size_t wanted = MakeMembershipPolicy(aSettings).mTargetVoters;
  const std::size_t voters = std::min(wanted, membership.mMembers.size());
  std::for_each_n(membership.mMembers.begin(), voters,
                  [](Member& aMember) { aMember.mRole = MemberRole::Voter; });
  std::ranges::sort(membership.mMembers, {}, &Member::mReplica);
  return membership;
}

} // namespace carobtide
