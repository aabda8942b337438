#include "carobtide/fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };

Heartbeat MakeHeartbeat(const char* aName, std::uint64_t aBorn,
                        std::uint64_t aSequence)
{
  Heartbeat heartbeat;
  heartbeat.mTarget = TargetName(aName);
  heartbeat.mIncarnation = Incarnation(aBorn);
  heartbeat.mSequence = aSequence;
  heartbeat.mService = ServiceName("lm");
  heartbeat.mAddress = Endpoint{ "10.0.0." + std::string(1, aName[0]), 80 };
  return heartbeat;
}

TargetPhase PhaseOf(const TargetDirectory& aDirectory, const char* aName)
{
  return aDirectory.Find(TargetName(aName))->mLast.mPhase;
}

} // namespace

TEST_CASE("a late heartbeat changes nothing")
{
  TargetDirectory directory;
  CHECK(directory.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 2)) ==
        HeartbeatEffect::Changed);
  CHECK(directory.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 2)) ==
        HeartbeatEffect::Stale);
  CHECK(directory.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 1)) ==
        HeartbeatEffect::Stale);
  CHECK(directory.OnHeartbeat(kStart, MakeHeartbeat("1", 4, 9)) ==
        HeartbeatEffect::Stale);
  CHECK(directory.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 3)) ==
        HeartbeatEffect::Refreshed);
  CHECK(directory.OnHeartbeat(kStart, MakeHeartbeat("1", 6, 1)) ==
        HeartbeatEffect::Changed);
}

// Guards against a service that loses a target to a heartbeat of another
// writer.
TEST_CASE("a known process keeps its service")
{
  TargetDirectory directory;
  directory.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 2));
  const std::uint64_t change = directory.Change();
  auto odd = MakeHeartbeat("1", 5, 1'000'000);
  odd.mService = ServiceName("spare");
  odd.mAddress = Endpoint{ "10.0.0.9", 80 };
  CHECK(directory.OnHeartbeat(kStart + 1s, odd) == HeartbeatEffect::Stale);
  CHECK(directory.Change() == change);
  // Neither its number nor its time counts.
  CHECK(directory.OnHeartbeat(kStart + 2s, MakeHeartbeat("1", 5, 3)) ==
        HeartbeatEffect::Refreshed);
  CHECK(directory.OnHeartbeat(kStart + 3s, odd) == HeartbeatEffect::Stale);
  CHECK(directory.Expire(kStart + 6s).size() == 1);
  // The next process at the name may serve another service.
  odd.mIncarnation = Incarnation(6);
  CHECK(directory.OnHeartbeat(kStart + 7s, odd) == HeartbeatEffect::Changed);
}

TEST_CASE("a draining target stays draining for its incarnation")
{
  TargetDirectory directory;
  auto draining = MakeHeartbeat("1", 5, 2);
  draining.mPhase = TargetPhase::Draining;
  directory.OnHeartbeat(kStart, draining);
  directory.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 3));
  CHECK(PhaseOf(directory, "1") == TargetPhase::Draining);
  directory.OnHeartbeat(kStart, MakeHeartbeat("1", 6, 1));
  CHECK(PhaseOf(directory, "1") == TargetPhase::Ready);
}

TEST_CASE("a target that left stays gone whatever arrives late")
{
  TargetDirectory directory;
  directory.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 2));
  CHECK(directory.OnLeave(kStart, TargetName("1"), Incarnation(5)));
  CHECK_FALSE(directory.OnLeave(kStart, TargetName("1"), Incarnation(5)));
  CHECK(directory.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 9)) ==
        HeartbeatEffect::Stale);
  CHECK(PhaseOf(directory, "1") == TargetPhase::Gone);
}

TEST_CASE("the younger process owns an address, in either order")
{
  auto first = MakeHeartbeat("1", 5, 2);
  auto second = MakeHeartbeat("2", 7, 1);
  second.mAddress = first.mAddress;
  TargetDirectory directory;
  SECTION("the old one is marked gone")
  {
    directory.OnHeartbeat(kStart, first);
    directory.OnHeartbeat(kStart, second);
    CHECK(PhaseOf(directory, "1") == TargetPhase::Gone);
  }
  SECTION("a delayed heartbeat of the old one is stale")
  {
    directory.OnHeartbeat(kStart, second);
    CHECK(directory.OnHeartbeat(kStart, first) == HeartbeatEffect::Stale);
  }
  CHECK(PhaseOf(directory, "2") == TargetPhase::Ready);
}

// Guards against a planner that counts with a process whose address another
// one has taken: what changes beside the target of a call is named, too.
TEST_CASE("all targets that a call changed are named")
{
  TargetDirectory directory;
  const auto updated = [&] {
    auto names = directory.TakeUpdated();
    std::ranges::sort(names);
    return names;
  };
  const std::vector<TargetName> one{ TargetName("1") };
  const std::vector<TargetName> two{ TargetName("2") };
  const std::vector<TargetName> both{ TargetName("1"), TargetName("2") };
  directory.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 1));
  CHECK(updated() == one);
  CHECK(updated().empty());
  // A heartbeat that changes nothing is still one.
  directory.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 2));
  CHECK(updated() == one);
  directory.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 2));
  CHECK(updated().empty());
  SECTION("by a heartbeat that takes an address")
  {
    auto next = MakeHeartbeat("2", 7, 1);
    next.mAddress = Endpoint{ "10.0.0.1", 80 };
    directory.OnHeartbeat(kStart + 1s, next);
    CHECK(updated() == both);
    CHECK(PhaseOf(directory, "1") == TargetPhase::Gone);
  }
  SECTION("by silence, and by oblivion")
  {
    directory.OnHeartbeat(kStart + 1s, MakeHeartbeat("2", 5, 1));
    updated();
    directory.Expire(kStart + 4s);
    CHECK(updated() == one);
    directory.Expire(kStart + 60s);
    CHECK(updated() == both);
    CHECK(directory.Find(TargetName("1")) == nullptr);
  }
  SECTION("by what it says of itself")
  {
    directory.OnHeartbeat(kStart, MakeHeartbeat("2", 5, 1));
    updated();
    directory.OnDraining(TargetName("1"), Incarnation(5));
    CHECK(updated() == one);
    directory.OnLimit(TargetName("2"), Incarnation(5), { 3.0, 1 });
    CHECK(updated() == two);
    directory.OnLeave(kStart, TargetName("1"), Incarnation(5));
    CHECK(updated() == one);
  }
}

// Guards against heartbeats of another writer that end the targets whose
// addresses they name: nothing was served there any more.
TEST_CASE("a target that serves keeps its address against other services")
{
  TargetDirectoryOptions options;
  options.mKeepsAddresses = true;
  TargetDirectory directory(options);
  const auto first = MakeHeartbeat("1", 5, 1);
  auto other = MakeHeartbeat("2", 7, 1);
  other.mAddress = first.mAddress;
  other.mService = ServiceName("odd");
  directory.OnHeartbeat(kStart, first);
  CHECK(directory.OnHeartbeat(kStart + 1s, other) == HeartbeatEffect::Stale);
  CHECK(PhaseOf(directory, "1") == TargetPhase::Ready);
  CHECK(directory.OnHeartbeat(kStart + 1s, MakeHeartbeat("1", 5, 2)) ==
        HeartbeatEffect::Refreshed);
  SECTION("until it is silent")
  {
    directory.Expire(kStart + 5s);
    CHECK(directory.OnHeartbeat(kStart + 5s, other) ==
          HeartbeatEffect::Changed);
    CHECK(PhaseOf(directory, "1") == TargetPhase::Gone);
  }
  SECTION("or gone")
  {
    directory.OnLeave(kStart + 2s, TargetName("1"), Incarnation(5));
    CHECK(directory.OnHeartbeat(kStart + 2s, other) ==
          HeartbeatEffect::Changed);
  }
  SECTION("but a process of its own service takes it at once")
  {
    other.mService = first.mService;
    CHECK(directory.OnHeartbeat(kStart + 2s, other) ==
          HeartbeatEffect::Changed);
    CHECK(PhaseOf(directory, "1") == TargetPhase::Gone);
  }
}

// The same where the other writer comes first, or the target falls silent.
TEST_CASE("a service that no configuration names holds no address")
{
  TargetDirectoryOptions options;
  options.mKeepsAddresses = true;
  TargetDirectory directory(options);
  directory.SetServices({ ServiceName("lm") });
  auto odd = MakeHeartbeat("2", 7, 1);
  odd.mAddress = Endpoint{ "10.0.0.1", 80 };
  odd.mService = ServiceName("odd");
  directory.OnHeartbeat(kStart, odd);
  CHECK(directory.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 1)) ==
        HeartbeatEffect::Changed);
  odd.mIncarnation = Incarnation(8);
  CHECK(directory.OnHeartbeat(kStart, odd) == HeartbeatEffect::Stale);
  directory.Expire(kStart + 5s);
  CHECK(directory.OnHeartbeat(kStart + 5s, odd) == HeartbeatEffect::Stale);
  CHECK(PhaseOf(directory, "1") == TargetPhase::Ready);
}

TEST_CASE("a watcher is told just what changed")
{
  TargetDirectory directory;
  directory.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 1));
  directory.OnHeartbeat(kStart, MakeHeartbeat("2", 5, 1));
  const auto seen = directory.Change();
  directory.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 2));
  CHECK(directory.ChangedSince(seen).empty());
  auto loaded = MakeHeartbeat("2", 5, 2);
  loaded.mModels.push_back({ ModelName("m"), 1, {} });
  directory.OnHeartbeat(kStart, loaded);
  REQUIRE(directory.ChangedSince(seen).size() == 1);
  CHECK(directory.ChangedSince(seen)[0].mLast.mTarget == TargetName("2"));
}

TEST_CASE("silence is marked, and ends with the next heartbeat")
{
  TargetDirectory directory;
  directory.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 1));
  CHECK(directory.Expire(kStart + 3s).empty());
  CHECK(directory.Expire(kStart + 4s).size() == 1);
  CHECK(directory.Find(TargetName("1"))->mSilent);
  directory.OnHeartbeat(kStart + 5s, MakeHeartbeat("1", 5, 2));
  CHECK_FALSE(directory.Find(TargetName("1"))->mSilent);
  const auto seen = directory.Change();
  directory.Expire(kStart + 70s);
  CHECK(directory.Find(TargetName("1")) == nullptr);
  CHECK(directory.HasForgottenSince(seen));
}

TEST_CASE("a view believes in silence only if all who know the target say so")
{
  const Endpoint one{ "10.0.1.1", 1 };
  const Endpoint two{ "10.0.1.2", 1 };
  WatchReply reply;
  reply.mEpoch = 1;
  reply.mChange = 1;
  reply.mTargets.push_back({ MakeHeartbeat("1", 5, 1), false });
  FleetView view;
  view.OnReply(kStart, one, reply);
  reply.mTargets[0].mSilent = true;
  view.OnReply(kStart, two, reply);
  CHECK_FALSE(view.Find(TargetName("1"))->mSilent);
  view.OnReply(kStart, one, reply);
  CHECK(view.Find(TargetName("1"))->mSilent);
}

TEST_CASE("a view believes from anyone that a target leaves")
{
  const Endpoint one{ "10.0.1.1", 1 };
  const Endpoint two{ "10.0.1.2", 1 };
  WatchReply reply;
  reply.mEpoch = 1;
  reply.mTargets.push_back({ MakeHeartbeat("1", 5, 4), false });
  WatchReply leaving = reply;
  leaving.mTargets[0].mLast.mPhase = TargetPhase::Gone;
  leaving.mTargets[0].mLast.mSequence = 2;
  FleetView view;
  view.OnReply(kStart, one, reply);
  const auto changed = view.OnReply(kStart, two, leaving);
  CHECK(changed.size() == 1);
  view.OnReply(kStart, one, reply);
  CHECK_FALSE(view.Find(TargetName("1"))->TakesWork());
}

// A target that leaves says so in an answer before its next heartbeat: the
// record has the heartbeat that the view knows, and another phase.
TEST_CASE("a view learns that a target drains without another heartbeat")
{
  const Endpoint one{ "10.0.1.1", 1 };
  WatchReply reply;
  reply.mEpoch = 1;
  reply.mTargets.push_back({ MakeHeartbeat("1", 5, 4), false, {} });
  FleetView view;
  view.OnReply(kStart, one, reply);
  REQUIRE(view.Find(TargetName("1"))->TakesWork());
  reply.mTargets[0].mLast.mPhase = TargetPhase::Draining;
  CHECK(view.OnReply(kStart, one, reply).size() == 1);
  CHECK_FALSE(view.Find(TargetName("1"))->TakesWork());
}

TEST_CASE("the newest leader's view of what engines hold goes first")
{
  const Endpoint one{ "10.0.1.1", 1 };
  WatchReply reply;
  reply.mEpoch = 1;
  reply.mTargets.push_back({ MakeHeartbeat("1", 5, 1), false });
  Residency engine{ TargetName("1"), Incarnation(5), {} };
  engine.mModels.push_back({ ModelName("m"), 1, {} });
  reply.mResidency.push_back({ 3, 1, { engine } });
  FleetView view;
  view.OnReply(kStart, one, reply);
  CHECK(view.Find(TargetName("1"))->mModels.size() == 1);
  reply.mResidency = { { 2, 9, {} } };
  view.OnReply(kStart, one, reply);
  CHECK(view.Find(TargetName("1"))->mModels.size() == 1);
  view.NoteAdapter(TargetName("1"), ModelName("m"), AdapterName("a1"));
  CHECK(view.Find(TargetName("1"))->mModels[0].mAdapters.size() == 1);
}

// Reported by operators of similar systems: after a restart of one of the
// system's processes, a server that had left was in use again.
TEST_CASE("a target that left stays out although a restarted daemon forgot it")
{
  const Endpoint remembers{ "10.0.1.1", 1 };
  const Endpoint restarted{ "10.0.1.2", 1 };
  TargetDirectory old;
  old.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 1));
  old.OnLeave(kStart, TargetName("1"), Incarnation(5));
  // A heartbeat that was delayed in the network reaches the restarted daemon.
  TargetDirectory fresh;
  fresh.OnHeartbeat(kStart + 1s, MakeHeartbeat("1", 5, 2));
  const auto replyOf = [](const TargetDirectory& aDirectory) {
    WatchReply reply;
    reply.mEpoch = 1;
    reply.mChange = aDirectory.RoutingChange();
    reply.mTargets = aDirectory.RoutingChangedSince(0);
    return reply;
  };
  FleetView view;
  const auto phase = [&] { return view.Find(TargetName("1"))->mLast.mPhase; };
  SECTION("told first that it left")
  {
    view.OnReply(kStart + 1s, remembers, replyOf(old));
    view.OnReply(kStart + 2s, restarted, replyOf(fresh));
    CHECK(phase() == TargetPhase::Gone);
  }
  SECTION("told first that it serves, as a routing daemon that starts anew")
  {
    view.OnReply(kStart + 1s, restarted, replyOf(fresh));
    view.OnReply(kStart + 2s, remembers, replyOf(old));
    CHECK(phase() == TargetPhase::Gone);
  }
}

TEST_CASE("a target that said in an answer that it leaves stays draining")
{
  TargetDirectory targets;
  const Instant now{ 1000s };
  Heartbeat beat;
  beat.mTarget = TargetName("t");
  beat.mIncarnation = Incarnation(5);
  beat.mSequence = 1;
  beat.mAddress = Endpoint{ "10.0.0.1", 80 };
  targets.OnHeartbeat(now, beat);
  const std::uint64_t before = targets.RoutingChange();
  CHECK_FALSE(targets.OnDraining(TargetName("u"), Incarnation(5)));
  CHECK_FALSE(targets.OnDraining(beat.mTarget, Incarnation(4)));
  CHECK(targets.OnDraining(beat.mTarget, Incarnation(5)));
  CHECK_FALSE(targets.OnDraining(beat.mTarget, Incarnation(5)));
  CHECK(targets.RoutingChange() > before);
  // A heartbeat that was on its way says that it is ready.
  beat.mSequence = 2;
  targets.OnHeartbeat(now, beat);
  CHECK(targets.Find(beat.mTarget)->mLast.mPhase == TargetPhase::Draining);
  beat.mIncarnation = Incarnation(6);
  targets.OnHeartbeat(now, beat);
  CHECK(targets.Find(beat.mTarget)->mLast.mPhase == TargetPhase::Ready);
}

TEST_CASE("a limit holds until a newer one or a new process")
{
  TargetDirectory targets;
  targets.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 1));
  const TargetName name("1");
  const std::uint64_t before = targets.RoutingChange();
  CHECK_FALSE(targets.OnLimit(TargetName("2"), Incarnation(5), { 2, 1 }));
  CHECK_FALSE(targets.OnLimit(name, Incarnation(4), { 2, 1 }));
  CHECK(targets.OnLimit(name, Incarnation(5), { 2, 2 }));
  CHECK(targets.RoutingChange() > before);
  CHECK_FALSE(targets.OnLimit(name, Incarnation(5), { 1, 1 }));
  // Two daemons heard different ones at the same time.
  CHECK_FALSE(targets.OnLimit(name, Incarnation(5), { 3, 2 }));
  CHECK(targets.OnLimit(name, Incarnation(5), { 1, 2 }));
  targets.OnHeartbeat(kStart, MakeHeartbeat("1", 5, 2));
  CHECK(targets.Find(name)->mLimit.mPerSecond == 1);
  CHECK(targets.OnLimit(name, Incarnation(5), { RateLimit::kNone, 3 }));
  CHECK(targets.OnLimit(name, Incarnation(5), { 2, 4 }));
  targets.OnHeartbeat(kStart, MakeHeartbeat("1", 6, 1));
  CHECK(targets.Find(name)->mLimit.IsNone());
}

TEST_CASE("a view takes the newest limit from whichever daemon tells it")
{
  const Endpoint one{ "10.0.1.1", 1 };
  const Endpoint two{ "10.0.1.2", 1 };
  WatchReply reply;
  reply.mEpoch = 1;
  reply.mTargets.push_back({ MakeHeartbeat("1", 5, 4), false, { 2, 7 } });
  FleetView view;
  view.OnReply(kStart, one, reply);
  // A daemon that has restarted knows of no limit.
  WatchReply restarted = reply;
  restarted.mTargets[0] = { MakeHeartbeat("1", 5, 5), false, {} };
  view.OnReply(kStart, two, restarted);
  CHECK(view.Find(TargetName("1"))->mLimit.mPerSecond == 2);
  view.NoteLimit(TargetName("1"), Incarnation(5), { RateLimit::kNone, 8 });
  view.OnReply(kStart, one, reply);
  CHECK(view.Find(TargetName("1"))->mLimit.IsNone());
}

} // namespace carobtide
