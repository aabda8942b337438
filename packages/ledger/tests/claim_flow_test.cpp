#include "ledger_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace carobtide;

namespace {

ClaimFacts Facts()
{
  return ClaimFacts{ KeyOf("k"), ComputeDigest("x"), ClaimantOf("a"), 1, 0 };
}

ClaimFlow Started(ClaimFlowLimits aLimits = {})
{
  ClaimFlow flow(Facts(), aLimits);
  flow.Start();
  return flow;
}

ClaimDecided Decided(LedgerVerdict aVerdict)
{
  return ClaimDecided{ LedgerOutcome{ aVerdict, std::nullopt } };
}

template<class Effect>
std::vector<Effect> Select(const ClaimEffects& aEffects)
{
  std::vector<Effect> found;
  for (const ClaimEffect& effect : aEffects) {
    if (const auto* match = std::get_if<Effect>(&effect)) {
      found.push_back(*match);
    }
  }
  return found;
}

const AnswerArrived kAnswer{ StoredAnswer{ 200, "a/b", "body", false } };

} // namespace

TEST_CASE("a refused connection is tried elsewhere, but not without end")
{
  ClaimFlow flow = Started(ClaimFlowLimits{ .mMaxConnects = 3 });
  flow.Handle(Decided(LedgerVerdict::Granted));
  for (int n = 1; n < 3; ++n) {
    CHECK(Select<DispatchRequest>(flow.Handle(ConnectFailed{})).size() == 1);
  }
  const ClaimEffects effects = flow.Handle(ConnectFailed{});
  CHECK(Select<DispatchRequest>(effects).empty());
  CHECK(flow.State() == ClaimState::Releasing);
}

TEST_CASE("a caller that left before the grant gets nothing dispatched")
{
  ClaimFlow flow = Started();
  CHECK(flow.Handle(CallerLeft{}).empty());
  const ClaimEffects effects = flow.Handle(Decided(LedgerVerdict::Granted));
  CHECK(Select<DispatchRequest>(effects).empty());
  CHECK(flow.State() == ClaimState::Releasing);
  CHECK(flow.Handle(SettleDecided{}).empty());
  CHECK(flow.IsFinished());
}

TEST_CASE("a caller that left during the run still has its answer stored")
{
  ClaimFlow flow = Started();
  flow.Handle(Decided(LedgerVerdict::Granted));
  flow.Handle(CallerLeft{});
  const auto settle = Select<ProposeSettle>(flow.Handle(kAnswer));
  REQUIRE(settle.size() == 1);
  CHECK(std::get<CompleteKey>(settle[0].mCommand).mAnswer == kAnswer.mAnswer);
  CHECK(flow.Handle(SettleDecided{}).empty());
  CHECK(flow.IsFinished());
}

TEST_CASE("a caller that left while the connection failed is not retried")
{
  ClaimFlow flow = Started();
  flow.Handle(Decided(LedgerVerdict::Granted));
  flow.Handle(CallerLeft{});
  CHECK(Select<DispatchRequest>(flow.Handle(ConnectFailed{})).empty());
  CHECK(flow.State() == ClaimState::Releasing);
}

TEST_CASE("the answer of a run reaches the caller whole and once")
{
  ClaimFlow flow = Started();
  flow.Handle(Decided(LedgerVerdict::Granted));
  flow.Handle(kAnswer);
  const auto answers = Select<AnswerCaller>(flow.Handle(SettleUncertain{}));
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].mAnswer == kAnswer.mAnswer);
  flow.Handle(RetryPauseOver{});
  CHECK(Select<AnswerCaller>(flow.Handle(SettleUncertain{})).empty());
  flow.Handle(RetryPauseOver{});
  CHECK(Select<AnswerCaller>(flow.Handle(SettleDecided{})).empty());
}

TEST_CASE("a stored answer without its body is not passed off as whole")
{
  ClaimFlow flow = Started();
  ClaimDecided replay = Decided(LedgerVerdict::Replay);
  replay.mOutcome.mAnswer = StoredAnswer{ 200, "", "", true };
  const auto answers = Select<AnswerCaller>(flow.Handle(replay));
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].mStatus == 409);
  CHECK(answers[0].mOutcome == RunOutcome::Ran);
  CHECK_FALSE(answers[0].mAnswer);
  CHECK(answers[0].mDetail.find("200") != std::string::npos);
}

TEST_CASE("pauses double up to their bound and settling goes on")
{
  ClaimFlow flow =
    Started(ClaimFlowLimits{ .mRetryPause = 100ms, .mMaxRetryPause = 350ms });
  flow.Handle(ClaimUncertain{});
  std::vector<Duration> pauses;
  for (int n = 0; n < 4; ++n) {
    const auto pause = Select<StartRetryPause>(flow.Handle(SettleUncertain{}));
    REQUIRE(pause.size() == 1);
    pauses.push_back(pause[0].mPause);
    CHECK(Select<ProposeSettle>(flow.Handle(RetryPauseOver{})).size() == 1);
  }
  CHECK(pauses == std::vector<Duration>{ 100ms, 200ms, 350ms, 350ms });
}

TEST_CASE("a completion that cannot be committed gives up its body, not itself")
{
  ClaimFlow flow = Started(ClaimFlowLimits{ .mMaxBodyProposals = 2 });
  flow.Handle(Decided(LedgerVerdict::Granted));
  flow.Handle(kAnswer);
  std::vector<bool> omitted;
  for (int n = 0; n < 3; ++n) {
    flow.Handle(SettleUncertain{});
    const auto settle = Select<ProposeSettle>(flow.Handle(RetryPauseOver{}));
    REQUIRE(settle.size() == 1);
    omitted.push_back(
      std::get<CompleteKey>(settle[0].mCommand).mAnswer.mBodyOmitted);
  }
  CHECK(omitted == std::vector<bool>{ false, true, true });
}

TEST_CASE("whatever comes, no request runs twice or runs as not run")
{
  const std::vector<ClaimEvent> events{
    Decided(LedgerVerdict::Granted),
    Decided(LedgerVerdict::Unknown),
    ClaimRefused{},
    ClaimUncertain{},
    ConnectFailed{},
    NoTargetLeft{},
    kAnswer,
    ConnectionBroke{},
    AnswerTimedOut{},
    SettleDecided{},
    SettleUncertain{},
    RetryPauseOver{},
    CallerLeft{},
  };
  RandomEngine random(4711);
  std::uniform_int_distribution<std::size_t> pick(0, events.size() - 1);
  for (int run = 0; run < 20'000; ++run) {
    ClaimFlow flow = Started();
    bool isGranted = false;
    bool isOut = false;
    bool mayHaveRun = false;
    int answers = 0;
    for (int step = 0; step < 25; ++step) {
      const ClaimEvent& event = events[pick(random)];
      const bool isGrant =
        event.index() == 0 && std::get<ClaimDecided>(event).mOutcome.mVerdict ==
                                LedgerVerdict::Granted;
      isGranted =
        isGranted || (isGrant && flow.State() == ClaimState::Claiming);
      if (flow.State() == ClaimState::Dispatching && isOut) {
        const bool isRefusal = std::holds_alternative<ConnectFailed>(event) ||
                               std::holds_alternative<NoTargetLeft>(event);
        const bool isEnd = std::holds_alternative<AnswerArrived>(event) ||
                           std::holds_alternative<ConnectionBroke>(event) ||
                           std::holds_alternative<AnswerTimedOut>(event);
        mayHaveRun = mayHaveRun || isEnd;
        isOut = !isRefusal && !isEnd;
      }
      for (const ClaimEffect& effect : flow.Handle(event)) {
        if (std::holds_alternative<DispatchRequest>(effect)) {
          REQUIRE(isGranted);
          REQUIRE_FALSE(isOut);
          REQUIRE_FALSE(mayHaveRun);
          isOut = true;
        } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
          ++answers;
          REQUIRE_FALSE(
            (answer->mOutcome == RunOutcome::NotRun && (mayHaveRun || isOut)));
        } else if (const auto* settle = std::get_if<ProposeSettle>(&effect)) {
          const bool isRelease =
            std::holds_alternative<ReleaseKey>(settle->mCommand);
          REQUIRE_FALSE((isRelease && (mayHaveRun || isOut)));
        }
      }
    }
    REQUIRE(answers <= 1);
  }
}
