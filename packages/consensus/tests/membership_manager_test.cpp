#include "carobtide/consensus/membership_manager.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace carobtide;

namespace {

const Instant kNow = Instant{} + 100s;

ReplicaCandidate Candidate(std::uint64_t aReplica, const char* aDaemon,
                           const char* aDomain)
{
  return ReplicaCandidate{ ReplicaId(aReplica), DaemonName(aDaemon),
                           FailureDomain(aDomain) };
}

/** A leader's view built member by member; replica 1 is the leader. */
class ViewBuilder
{
public:
  ViewBuilder()
  {
    mView.mSelf = ReplicaId(1);
    mView.mTerm = 1;
    mView.mLastIndex = 1000;
  }

  ViewBuilder& Add(std::uint64_t aReplica, const char* aDaemon,
                   const char* aDomain, MemberRole aRole,
                   Duration aSilentFor = 0s, std::uint64_t aMatch = 1000)
  {
    mView.mMembership.mMembers.push_back(
      Member{ ReplicaId(aReplica), DaemonName(aDaemon), FailureDomain(aDomain),
              aRole });
    if (aReplica != 1) {
      mView.mStatus[ReplicaId(aReplica)] =
        MemberStatus{ kNow - aSilentFor, aMatch };
    }
    return *this;
  }

  MembershipView Take() { return mView; }

private:
  MembershipView mView;
};

constexpr auto kVoter = MemberRole::Voter;
constexpr auto kLearner = MemberRole::Learner;

std::optional<MembershipProposal> Next(
  const MembershipView& aView, const std::vector<ReplicaCandidate>& aCandidates,
  std::size_t aTarget = 3)
{
  MembershipPolicy policy;
  policy.mTargetVoters = aTarget;
  return MembershipManager(policy).Next(kNow, aView, aCandidates);
}

bool Is(const std::optional<MembershipProposal>& aProposal,
        MembershipStep aStep, std::uint64_t aReplica)
{
  return aProposal && aProposal->mStep == aStep &&
         aProposal->mMember.mReplica == ReplicaId(aReplica);
}

} // namespace

TEST_CASE("a healthy group over all failure domains is left alone")
{
  const auto view = ViewBuilder()
                      .Add(1, "a", "x", kVoter)
                      .Add(2, "b", "y", kVoter)
                      .Add(3, "c", "z", kVoter)
                      .Take();
  CHECK_FALSE(Next(view, { Candidate(1, "a", "x"), Candidate(4, "d", "x") }));
}

TEST_CASE("a dead voter is replaced: add, promote, remove")
{
  ViewBuilder builder;
  builder.Add(1, "a", "x", kVoter)
    .Add(2, "b", "y", kVoter)
    .Add(3, "c", "z", kVoter, 11s);
  const std::vector spares{ Candidate(4, "d", "x"), Candidate(5, "e", "z") };
  CHECK(Is(Next(builder.Take(), spares), MembershipStep::AddLearner, 5));

  auto lagging = builder;
  lagging.Add(5, "e", "z", kLearner, 0s, 100);
  CHECK_FALSE(Next(lagging.Take(), spares));

  auto ready = builder;
  ready.Add(5, "e", "z", kLearner);
  CHECK(Is(Next(ready.Take(), spares), MembershipStep::Promote, 5));

  auto promoted = builder;
  promoted.Add(5, "e", "z", kVoter);
  CHECK(Is(Next(promoted.Take(), spares), MembershipStep::Remove, 3));
}

TEST_CASE("a silent voter is not replaced before the timeout")
{
  const auto view = ViewBuilder()
                      .Add(1, "a", "x", kVoter)
                      .Add(2, "b", "y", kVoter)
                      .Add(3, "c", "z", kVoter, 9s)
                      .Take();
  const auto next = Next(view, { Candidate(4, "d", "z") });
  CHECK((!next || next->mStep == MembershipStep::AddLearner));
}

TEST_CASE("without a spare a dead voter stays")
{
  const auto view = ViewBuilder()
                      .Add(1, "a", "x", kVoter)
                      .Add(2, "b", "y", kVoter)
                      .Add(3, "c", "z", kVoter, 60s)
                      .Take();
  CHECK_FALSE(Next(view, { Candidate(1, "a", "x"), Candidate(2, "b", "y") }));
}

TEST_CASE("a daemon back with a new disk replaces its former replica at once")
{
  ViewBuilder builder;
  builder.Add(1, "a", "x", kVoter)
    .Add(2, "b", "y", kVoter)
    .Add(3, "c", "z", kVoter, 2s);
  const std::vector spares{ Candidate(9, "c", "z") };
  CHECK(Is(Next(builder.Take(), spares), MembershipStep::AddLearner, 9));
  builder.Add(9, "c", "z", kVoter);
  CHECK(Is(Next(builder.Take(), spares), MembershipStep::Remove, 3));
}

TEST_CASE("a group of one grows to three in a pair of promotions")
{
  ViewBuilder builder;
  builder.Add(1, "a", "x", kVoter);
  const std::vector spares{ Candidate(2, "b", "x"), Candidate(3, "c", "y") };
  CHECK(Is(Next(builder.Take(), spares), MembershipStep::AddLearner, 3));
  builder.Add(3, "c", "y", kLearner);
  CHECK(Is(Next(builder.Take(), spares), MembershipStep::AddLearner, 2));
  auto waiting = builder;
  waiting.Add(2, "b", "x", kLearner, 0s, 5);
  CHECK_FALSE(Next(waiting.Take(), spares));
  builder.Add(2, "b", "x", kLearner);
  CHECK(Is(Next(builder.Take(), spares), MembershipStep::Promote, 3));
}

TEST_CASE("two daemons keep one voter, five can have five")
{
  const auto pair = ViewBuilder().Add(1, "a", "x", kVoter).Take();
  CHECK_FALSE(Next(pair, { Candidate(2, "b", "y") }));
  const auto three = ViewBuilder()
                       .Add(1, "a", "x", kVoter)
                       .Add(2, "b", "y", kVoter)
                       .Add(3, "c", "z", kVoter)
                       .Take();
  const std::vector spares{ Candidate(4, "d", "x"), Candidate(5, "e", "y") };
  CHECK(Is(Next(three, spares, 5), MembershipStep::AddLearner, 4));
}

TEST_CASE("voters crowded in one failure domain are spread")
{
  ViewBuilder builder;
  builder.Add(1, "a", "x", kVoter)
    .Add(2, "b", "x", kVoter)
    .Add(3, "c", "y", kVoter);
  const std::vector spares{ Candidate(4, "d", "y"), Candidate(5, "e", "z") };
  CHECK(Is(Next(builder.Take(), spares), MembershipStep::AddLearner, 5));
  auto caughtUp = builder;
  caughtUp.Add(5, "e", "z", kLearner);
  CHECK(Is(Next(caughtUp.Take(), spares), MembershipStep::Promote, 5));
  builder.Add(5, "e", "z", kVoter);
  CHECK(Is(Next(builder.Take(), spares), MembershipStep::Remove, 2));
}

TEST_CASE("no change leaves the voters without a live quorum")
{
  // Three of five are silent: nothing that would commit can be proposed.
  const auto view = ViewBuilder()
                      .Add(1, "a", "x", kVoter)
                      .Add(2, "b", "y", kVoter)
                      .Add(3, "c", "z", kVoter, 60s)
                      .Add(4, "d", "x", kVoter, 60s)
                      .Add(5, "e", "y", kVoter, 60s)
                      .Add(6, "f", "z", kLearner)
                      .Take();
  CHECK_FALSE(Next(view, { Candidate(6, "f", "z") }, 5));
}

TEST_CASE("five voters with two dead and no spare shrink to three")
{
  ViewBuilder builder;
  builder.Add(1, "a", "x", kVoter)
    .Add(2, "b", "y", kVoter)
    .Add(3, "c", "z", kVoter)
    .Add(4, "d", "x", kVoter, 60s);
  CHECK(Is(Next(builder.Take(), {}, 5), MembershipStep::Remove, 4));
  builder.Add(5, "e", "y", kVoter, 60s);
  CHECK(Is(Next(builder.Take(), {}, 5), MembershipStep::Remove, 4));
}
