/**
 * @file
 * Every state of a claim flow against every event. Cells that the table does
 * not list must change nothing.
 */

#include "ledger_fixture.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

using namespace carobtide;

namespace {

/** Prints an effect in a few letters. */
std::string Print(const ClaimEffect& aEffect)
{
  return std::visit(
    [](const auto& aAlternative) -> std::string {
      using Effect = std::decay_t<decltype(aAlternative)>;
      if constexpr (std::is_same_v<Effect, ProposeClaim>) {
        return "claim";
      } else if constexpr (std::is_same_v<Effect, ProposeSettle>) {
        const char* names[] = { "?", "complete", "release", "abandon" };
        const auto index = aAlternative.mCommand.index();
        return index < 4 ? names[index] : "?";
      } else if constexpr (std::is_same_v<Effect, DispatchRequest>) {
        return "dispatch";
      } else if constexpr (std::is_same_v<Effect, AnswerCaller>) {
        return std::to_string(aAlternative.mStatus) + " " +
               std::string(kRunOutcomes.Name(aAlternative.mOutcome));
      } else if constexpr (std::is_same_v<Effect, StartRetryPause>) {
        return "pause";
      } else {
        return "renew";
      }
    },
    aEffect);
}

std::string Print(const ClaimFlow& aFlow, const ClaimEffects& aEffects)
{
  std::string text(kClaimStates.Name(aFlow.State()));
  for (const ClaimEffect& effect : aEffects) {
    text += ", " + Print(effect);
  }
  return text;
}

ClaimFlow Started()
{
  ClaimFlow flow(
    ClaimFacts{ KeyOf("k"), ComputeDigest("x"), ClaimantOf("a"), 1, 0 });
  flow.Start();
  return flow;
}

ClaimDecided Decided(LedgerVerdict aVerdict)
{
  ClaimDecided event{ LedgerOutcome{ aVerdict, std::nullopt } };
  if (aVerdict == LedgerVerdict::Replay) {
    event.mOutcome.mAnswer = StoredAnswer{ 201, "text/plain", "old", false };
  }
  return event;
}

const AnswerArrived kAnswer{ StoredAnswer{ 200, "text/plain", "new", false } };

/** A flow in each state that has been started. */
ClaimFlow InState(ClaimState aState)
{
  ClaimFlow flow = Started();
  const auto grant = [&] { flow.Handle(Decided(LedgerVerdict::Granted)); };
  switch (aState) {
    case ClaimState::Dispatching:
      grant();
      break;
    case ClaimState::Completing:
      grant();
      flow.Handle(kAnswer);
      break;
    case ClaimState::Releasing:
      grant();
      flow.Handle(NoTargetLeft{});
      break;
    case ClaimState::Abandoning:
      grant();
      flow.Handle(ConnectionBroke{});
      break;
    case ClaimState::Finished:
      flow.Handle(ClaimRefused{});
      break;
    default:
      break;
  }
  REQUIRE(flow.State() == aState);
  return flow;
}

const std::vector<std::pair<std::string, ClaimEvent>> kEvents{
  { "granted", Decided(LedgerVerdict::Granted) },
  { "replay", Decided(LedgerVerdict::Replay) },
  { "unknown", Decided(LedgerVerdict::Unknown) },
  { "conflict", Decided(LedgerVerdict::Conflict) },
  { "full", Decided(LedgerVerdict::Full) },
  { "settled-claim", Decided(LedgerVerdict::Settled) },
  { "stale-claim", Decided(LedgerVerdict::Stale) },
  { "claim-refused", ClaimRefused{} },
  { "claim-uncertain", ClaimUncertain{} },
  { "connect-failed", ConnectFailed{} },
  { "no-target", NoTargetLeft{} },
  { "answer", kAnswer },
  { "broke", ConnectionBroke{} },
  { "timed-out", AnswerTimedOut{} },
  { "settled", SettleDecided{ LedgerVerdict::Settled } },
  { "settle-stale", SettleDecided{ LedgerVerdict::Stale } },
  { "settle-uncertain", SettleUncertain{} },
  { "pause-over", RetryPauseOver{} },
  { "caller-left", CallerLeft{} },
};

using Cells = std::map<std::string, std::string>;

/** What each event does in each state; other cells change nothing. */
const std::map<ClaimState, Cells> kTable{
  { ClaimState::Claiming,
    Cells{ { "granted", "dispatching, dispatch" },
           { "replay", "finished, 201 ran" },
           { "unknown", "finished, 409 unknown" },
           { "conflict", "finished, 409 not-run" },
           { "full", "finished, 503 not-run" },
           { "settled-claim", "finished, renew, 503 not-run" },
           { "stale-claim", "finished, renew, 503 not-run" },
           { "claim-refused", "finished, 503 not-run" },
           { "claim-uncertain", "releasing, 503 not-run, release" } } },
  { ClaimState::Dispatching,
    Cells{ { "connect-failed", "dispatching, dispatch" },
           { "no-target", "releasing, release" },
           { "answer", "completing, complete" },
           { "broke", "abandoning, 502 unknown, abandon" },
           { "timed-out", "abandoning, 504 unknown, abandon" } } },
  { ClaimState::Completing,
    Cells{ { "settled", "finished, 200 ran" },
           { "settle-stale", "finished, 200 ran" },
           { "settle-uncertain", "completing, 200 ran, pause" },
           { "pause-over", "completing, complete" } } },
  { ClaimState::Releasing,
    Cells{ { "settled", "finished, 503 not-run" },
           { "settle-stale", "finished, 503 not-run" },
           { "settle-uncertain", "releasing, 503 not-run, pause" },
           { "pause-over", "releasing, release" } } },
  { ClaimState::Abandoning, Cells{ { "settled", "finished" },
                                   { "settle-stale", "finished" },
                                   { "settle-uncertain", "abandoning, pause" },
                                   { "pause-over", "abandoning, abandon" } } },
  { ClaimState::Finished, Cells{} },
};

} // namespace

TEST_CASE("every state answers every event as the table says")
{
  for (const auto& [state, cells] : kTable) {
    std::size_t used = 0;
    for (const auto& [name, event] : kEvents) {
      ClaimFlow flow = InState(state);
      const ClaimEffects effects = flow.Handle(event);
      const auto it = cells.find(name);
      used += it != cells.end() ? 1 : 0;
      INFO(kClaimStates.Name(state) << " on " << name);
      CHECK(Print(flow, effects) ==
            (it != cells.end() ? it->second
                               : std::string(kClaimStates.Name(state))));
    }
    CHECK(used == cells.size());
  }
}

TEST_CASE("starting proposes the claim with the facts")
{
  const ClaimFacts facts{ KeyOf("k"), ComputeDigest("x"), ClaimantOf("a", 3), 7,
                          99 };
  ClaimFlow flow(facts);
  CHECK(flow.State() == ClaimState::Idle);
  const ClaimEffects effects = flow.Start();
  REQUIRE(effects.size() == 1);
  const auto& claim = std::get<ProposeClaim>(effects[0]).mCommand;
  CHECK(claim.mKey == facts.mKey);
  CHECK(claim.mContent == facts.mContent);
  CHECK(claim.mClaimant == facts.mClaimant);
  CHECK(claim.mAttempt == 7);
  CHECK(claim.mWallMicros == 99);
}
