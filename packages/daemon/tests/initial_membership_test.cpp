#include "../src/initial_membership.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace carobtide;

namespace {

/** Settings of one daemon of a group; every daemon has a disk. */
DaemonSettings MakeSettings(std::size_t aSelf,
                            const std::vector<std::string>& aDomains)
{
  DaemonSettings settings;
  for (std::size_t i = 0; i < aDomains.size(); ++i) {
    const DaemonName name("entry-" + std::to_string(i));
    if (i == aSelf) {
      settings.mName = name;
      settings.mFailureDomain = FailureDomain(aDomains[i]);
      settings.mDataDir = "data";
      continue;
    }
    PeerSettings peer;
    peer.mName = name;
    peer.mFailureDomain = FailureDomain(aDomains[i]);
    peer.mHasDisk = true;
    settings.mPeers.push_back(peer);
  }
  return settings;
}

} // namespace

TEST_CASE("every daemon starts with the same members")
{
  const std::vector<std::string> domains{ "a", "a", "b", "b", "c", "c" };
  const auto first = MakeInitialMembership(MakeSettings(0, domains));
  for (std::size_t i = 1; i < domains.size(); ++i) {
    CHECK(MakeInitialMembership(MakeSettings(i, domains)) == first);
  }
}

TEST_CASE("the voters are odd in number and spread over failure domains")
{
  const auto domains =
    GENERATE(std::vector<std::string>{ "a", "a", "b", "c" },
             std::vector<std::string>{ "a", "a", "a", "b", "b", "c" });
  const auto membership = MakeInitialMembership(MakeSettings(0, domains));
  CHECK(membership.mMembers.size() == domains.size());
  CHECK(membership.VoterCount() % 2 == 1);
  std::set<FailureDomain> covered;
  for (const Member& member : membership.mMembers) {
    if (member.mRole == MemberRole::Voter) {
      covered.insert(member.mFailureDomain);
    }
  }
  CHECK(covered.size() == 3);
}

TEST_CASE("a daemon alone is its own majority")
{
  const auto membership = MakeInitialMembership(MakeSettings(0, { "a" }));
  CHECK(membership.VoterCount() == 1);
  CHECK(membership.QuorumSize() == 1);
}
