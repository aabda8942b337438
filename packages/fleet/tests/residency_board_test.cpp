#include "carobtide/base/codec.hpp"
#include "carobtide/fleet.hpp"

#include <catch2/catch.hpp>

#include <cstdint>
#include <cstdlib>
#include <limits>
#include <string>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };

Residency MakeResidency(int aEngine, const char* aModel)
{
  Residency residency;
  residency.mTarget = TargetName("t" + std::to_string(aEngine));
  residency.mIncarnation = Incarnation(1);
  residency.mModels.push_back({ ModelName(aModel), 1, {} });
  return residency;
}

std::vector<Residency> MakeFleet(int aEngines)
{
  std::vector<Residency> fleet;
  fleet.reserve(static_cast<std::size_t>(aEngines));
  for (int n = 0; n < aEngines; ++n) {
    fleet.push_back(MakeResidency(n, "m"));
  }
  return fleet;
}

} // namespace

// Load pattern: an order for one of 204 engines, 30 times a second. Each change
// used to carry the models of all engines to each routing daemon.
TEST_CASE("a watcher receives only the engines that changed")
{
  ResidencyBoard board;
  auto fleet = MakeFleet(204);
  const auto first = board.Publish(kStart, 3, fleet);
  REQUIRE(first);
  CHECK(first->mSince == 0);
  CHECK(first->mEngines.size() == 204);
  CHECK_FALSE(board.Publish(kStart, 3, fleet));
  fleet[5] = MakeResidency(5, "other");
  const auto second = board.Publish(kStart, 3, fleet);
  REQUIRE(second);
  REQUIRE(second->mEngines.size() == 1);
  CHECK(second->mEngines[0].mTarget == TargetName("t5"));
  CHECK(board.Since(kStart, 3, first->mVersion).mEngines.size() == 1);
  CHECK(board.Since(kStart, 3, 0).mEngines.size() == 204);
  CHECK(board.Since(kStart, 2, 9).mEngines.size() == 204);
  CHECK(board.Since(kStart, 2, 9).mSince == 0);
}

TEST_CASE("a relay that missed an update says so and then catches up")
{
  ResidencyBoard leader;
  ResidencyBoard relay;
  auto fleet = MakeFleet(3);
  CHECK(relay.OnMap(kStart, *leader.Publish(kStart, 1, fleet)));
  fleet[0] = MakeResidency(0, "b");
  const auto lost = leader.Publish(kStart, 1, fleet);
  REQUIRE(lost);
  fleet[1] = MakeResidency(1, "c");
  const auto next = leader.Publish(kStart, 1, fleet);
  REQUIRE(next);
  CHECK_FALSE(relay.OnMap(kStart, *next));
  CHECK(
    relay.OnMap(kStart, leader.Since(kStart, relay.Term(), relay.Version())));
  CHECK(relay.Version() == leader.Version());
  CHECK(relay.Since(kStart, 1, 1).mEngines.size() == 2);
}

// Differences of such clocks overflowed in the receiver.
TEST_CASE("a map whose clock cannot be is bounded when it is read")
{
  constexpr auto kFirst = std::numeric_limits<std::int64_t>::min();
  constexpr auto kLast = std::numeric_limits<std::int64_t>::max();
  for (const std::int64_t clock : { kFirst, kLast }) {
    ResidencyMap sent{ 1, 1, MakeFleet(1), 0, clock };
    sent.mEngines[0].mLoading.push_back({ ModelName("m"), clock });
    const auto read = Decode<ResidencyMap>(Encode(sent));
    REQUIRE(read);
    ResidencyBoard board;
    CHECK(board.OnMap(kStart, *read));
    const ResidencyMap passed = board.Since(kStart, 1, 0);
    CHECK((passed.mClockMicros < 0) == (clock < 0));
    CHECK(std::abs(passed.mClockMicros) <= kLast / 2);
    CHECK(std::abs(passed.mEngines[0].mLoading[0].mReadyMicros) <= kLast / 2);
  }
}

TEST_CASE("a deposed leader's map does not replace its successor's")
{
  ResidencyBoard former;
  ResidencyBoard successor;
  ResidencyBoard relay;
  relay.OnMap(kStart, *former.Publish(kStart, 1, MakeFleet(2)));
  relay.OnMap(kStart, *successor.Publish(kStart, 2, MakeFleet(2)));
  auto fleet = MakeFleet(2);
  fleet[0] = MakeResidency(0, "late");
  relay.OnMap(kStart, *former.Publish(kStart, 1, fleet));
  CHECK(relay.Term() == 2);
  CHECK(relay.Since(kStart, 0, 0).mEngines.size() == 2);
  for (const Residency& engine : relay.Since(kStart, 0, 0).mEngines) {
    CHECK(engine.mModels[0].mName == ModelName("m"));
  }
}

TEST_CASE("a view keeps the engines that an update does not list")
{
  ResidencyBoard board;
  FleetView view;
  WatchReply reply;
  reply.mEpoch = 1;
  for (int n = 0; n < 2; ++n) {
    FleetRecord record;
    record.mLast.mTarget = TargetName("t" + std::to_string(n));
    record.mLast.mIncarnation = Incarnation(1);
    record.mLast.mSequence = 1;
    record.mLast.mAddress = Endpoint{ "10.0.0.1", std::uint16_t(80 + n) };
    reply.mTargets.push_back(record);
  }
  auto fleet = MakeFleet(2);
  reply.mResidency.push_back(*board.Publish(kStart, 1, fleet));
  const Endpoint home{ "10.0.1.1", 1 };
  view.OnReply(kStart, home, reply);
  fleet[1] = MakeResidency(1, "b");
  WatchReply update;
  update.mEpoch = 1;
  update.mResidency.push_back(*board.Publish(kStart, 1, fleet));
  const auto changed = view.OnReply(kStart, home, update);
  CHECK(changed == std::vector<TargetName>{ TargetName("t1") });
  CHECK(view.Find(TargetName("t0"))->mModels[0].mName == ModelName("m"));
  CHECK(view.Find(TargetName("t1"))->mModels[0].mName == ModelName("b"));
  SECTION("an update that does not continue its state is not applied")
  {
    fleet[0] = MakeResidency(0, "c");
    board.Publish(kStart, 1, fleet);
    fleet[1] = MakeResidency(1, "d");
    WatchReply gap;
    gap.mEpoch = 1;
    gap.mResidency.push_back(*board.Publish(kStart, 1, fleet));
    CHECK(view.OnReply(kStart, home, gap).empty());
    CHECK(view.Find(TargetName("t1"))->mModels[0].mName == ModelName("b"));
  }
}

TEST_CASE("a model loaded on a target is no routing change")
{
  TargetDirectory directory;
  Heartbeat heartbeat;
  heartbeat.mTarget = TargetName("t0");
  heartbeat.mIncarnation = Incarnation(1);
  heartbeat.mSequence = 1;
  heartbeat.mAddress = Endpoint{ "10.0.0.1", 80 };
  heartbeat.mOnDisk = { ModelName("m") };
  directory.OnHeartbeat(kStart, heartbeat);
  const auto seen = directory.RoutingChange();
  REQUIRE(directory.RoutingChangedSince(0).size() == 1);
  CHECK(directory.RoutingChangedSince(0)[0].mLast.mOnDisk.empty());
  ++heartbeat.mSequence;
  heartbeat.mModels.push_back({ ModelName("m"), 1, {} });
  CHECK(directory.OnHeartbeat(kStart, heartbeat) == HeartbeatEffect::Changed);
  CHECK(directory.RoutingChange() == seen);
  CHECK(directory.RoutingChangedSince(seen).empty());
  ++heartbeat.mSequence;
  heartbeat.mPhase = TargetPhase::Draining;
  directory.OnHeartbeat(kStart, heartbeat);
  CHECK(directory.RoutingChangedSince(seen).size() == 1);
}

TEST_CASE("times of loads keep their meaning on daemons with other clocks")
{
  constexpr Duration kRelayClock = std::chrono::seconds(-500);
  constexpr Duration kEdgeClock = std::chrono::seconds(900);
  ResidencyBoard leader;
  ResidencyBoard relay;
  FleetView view;
  auto fleet = MakeFleet(1);
  const Instant readyAt = kStart + 3s;
  fleet[0].mLoading.push_back(
    { ModelName("next"), readyAt.time_since_epoch().count() });
  relay.OnMap(kStart + kRelayClock, *leader.Publish(kStart, 1, fleet));
  WatchReply reply;
  reply.mEpoch = 1;
  FleetRecord record;
  record.mLast.mTarget = TargetName("t0");
  record.mLast.mIncarnation = Incarnation(1);
  record.mLast.mSequence = 1;
  reply.mTargets.push_back(record);
  reply.mResidency.push_back(relay.Since(kStart + 1s + kRelayClock, 0, 0));
  view.OnReply(kStart + 1s + kEdgeClock, Endpoint{ "10.0.1.1", 1 }, reply);
  const auto target = view.Find(TargetName("t0"));
  REQUIRE(target->mLoading.size() == 1);
  CHECK(target->mLoading[0].ReadyAt() == readyAt + kEdgeClock);
}

} // namespace carobtide
