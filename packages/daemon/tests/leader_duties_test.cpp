#include "../src/leader_duties.hpp"

#include "carobtide/base/codec.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace carobtide;

namespace {

constexpr std::uint64_t kIncarnation = 100;

Instant At(int aSeconds)
{
  return Instant(std::chrono::seconds(aSeconds));
}

/** A state with one open claim of daemon "entry-1". */
ControlState MakeState()
{
  ControlState state{ LedgerLimits{} };
  ClaimKey claim;
  claim.mKey.mCaller = CallerName("shop");
  claim.mKey.mKey = IdempotencyKey("k");
  claim.mClaimant.mDaemon = DaemonName("entry-1");
  claim.mClaimant.mIncarnation = kIncarnation;
  claim.mAttempt = 1;
  ControlCommand command;
  command.mBody = LedgerCommand(claim);
  REQUIRE(state.Apply(1, Encode(command)));
  return state;
}

PeerTable Heard(std::uint64_t aIncarnation, Instant aSince, Instant aLast)
{
  PeerTable peers;
  PeerRecord& peer = peers[DaemonName("entry-1")];
  peer.mIncarnation = aIncarnation;
  peer.mIncarnationAt = aSince;
  peer.mHeardAt = aLast;
  return peers;
}

/** True if the duties settle the claim as abandoned. */
bool IsAbandoned(Instant aNow, const PeerTable& aPeers)
{
  const DaemonSettings settings;
  LeaderDuties duties(settings, 1, At(0));
  const ControlState state = MakeState();
  const auto effects = duties.Step(aNow, 0, state, TargetRegistry(), aPeers);
  return std::ranges::any_of(effects.mPropose, [](const ControlBody& aBody) {
    const auto* ledger = std::get_if<LedgerCommand>(&aBody);
    return ledger != nullptr &&
           std::holds_alternative<AbandonClaimant>(*ledger);
  });
}

} // namespace

TEST_CASE("claims of a live process stay open")
{
  CHECK_FALSE(IsAbandoned(At(100), Heard(kIncarnation, At(1), At(99))));
}

TEST_CASE("claims of a process that was replaced are abandoned")
{
  CHECK(IsAbandoned(At(100), Heard(kIncarnation + 1, At(99), At(99))));
}

TEST_CASE("claims of a silent daemon are abandoned after a time")
{
  CHECK_FALSE(IsAbandoned(At(20), Heard(kIncarnation, At(1), At(1))));
  CHECK(IsAbandoned(At(100), Heard(kIncarnation, At(1), At(1))));
  CHECK_FALSE(IsAbandoned(At(20), PeerTable{}));
  CHECK(IsAbandoned(At(100), PeerTable{}));
}

TEST_CASE("a restart with the clock set back is noticed later")
{
  CHECK_FALSE(IsAbandoned(At(100), Heard(kIncarnation - 1, At(99), At(99))));
  CHECK(IsAbandoned(At(100), Heard(kIncarnation - 1, At(1), At(99))));
}
