#include "carobtide/routing/target_path.hpp"

#include <catch2/catch.hpp>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };
constexpr double kJitter = 0.5;

/** Runs the tests that are due until aUntil, each with the same evidence. */
void RunChecks(TargetPath& aPath, Instant& aNow, Instant aUntil,
               PathEvidence aEvidence, Duration aTook, bool aInFlight = false)
{
  for (; aNow < aUntil; aNow += 50ms) {
    if (aPath.IsCheckDue(aNow, aInFlight)) {
      aPath.OnCheckBegun(aNow);
      aNow += aTook;
      aPath.OnChecked(aNow, aEvidence, kJitter);
    }
  }
}

} // namespace

TEST_CASE("a path without any byte for its requests is tested")
{
  TargetPath path;
  path.OnFirstInFlight(kStart);
  CHECK_FALSE(path.IsCheckDue(kStart + 100ms, true));
  CHECK_FALSE(path.IsCheckDue(kStart + 500ms, false));
  CHECK(path.IsCheckDue(kStart + 500ms, true));
  path.OnBytes(kStart + 450ms);
  CHECK_FALSE(path.IsCheckDue(kStart + 500ms, true));
}

// A sound target may be silent for a second: its kernel accepts all the same.
TEST_CASE("a target that accepts connections keeps its path while it is silent")
{
  TargetPath path;
  path.OnFirstInFlight(kStart);
  Instant now = kStart;
  int checks = 0;
  for (; now < kStart + 5s; now += 50ms) {
    if (path.IsCheckDue(now, true)) {
      ++checks;
      path.OnCheckBegun(now);
      path.OnChecked(now + 5ms, PathEvidence::Accepted, kJitter);
    }
    CHECK(path.IsOpen());
  }
  CHECK(checks <= 5);
}

TEST_CASE("one lost packet does not take a path for silent")
{
  TargetPath path;
  path.OnDoubt(kStart);
  REQUIRE(path.IsCheckDue(kStart, false));
  path.OnCheckBegun(kStart);
  CHECK(path.OnChecked(kStart + 300ms, PathEvidence::NoReply, kJitter));
  CHECK(path.State() == PathState::Doubtful);
  path.OnCheckBegun(kStart + 350ms);
  CHECK(path.OnChecked(kStart + 352ms, PathEvidence::Accepted, kJitter));
  CHECK(path.IsOpen());
}

TEST_CASE(
  "a path that drops packets is silent within little more than a second")
{
  TargetPath path;
  path.OnFirstInFlight(kStart);
  Instant now = kStart;
  RunChecks(path, now, kStart + 1500ms, PathEvidence::NoReply, 300ms, true);
  CHECK(path.State() == PathState::Silent);
  SECTION("and is brought back by a test within little more than a second")
  {
    RunChecks(path, now, kStart + 20s, PathEvidence::NoReply, 300ms, true);
    CHECK(path.State() == PathState::Silent);
    RunChecks(path, now, now + 1500ms, PathEvidence::Accepted, 2ms, true);
    CHECK(path.IsOpen());
  }
  SECTION("and not by a heartbeat that another daemon had")
  {
    path.OnHeartbeat(now);
    CHECK(path.State() == PathState::Silent);
    CHECK(path.IsCheckDue(now + 50ms, false));
  }
}

TEST_CASE("open connections that carry bytes outlive refused ones")
{
  TargetPath path;
  path.OnConnectFailed(kStart);
  CHECK(path.State() == PathState::Doubtful);
  REQUIRE(path.IsCheckDue(kStart, false));
  path.OnCheckBegun(kStart);
  SECTION("while new ones are refused")
  {
    path.OnChecked(kStart + 1ms, PathEvidence::Refused, kJitter);
    CHECK(path.State() == PathState::Refused);
  }
  SECTION("while new ones hang")
  {
    path.OnBytes(kStart + 100ms);
    path.OnChecked(kStart + 300ms, PathEvidence::NoReply, kJitter);
    CHECK(path.State() == PathState::Refused);
  }
}

} // namespace carobtide
