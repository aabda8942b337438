#include "carobtide/routing.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <variant>

namespace carobtide {

namespace {

const Instant kNow{ 1000s };
const ServiceName kService("lm");
const ModelName kModel("m");
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v2");

RoutedTarget MakeTarget(const std::string& aName, SoftwareVersion aSoftware)
{
  RoutedTarget target;
  target.mLast.mTarget = TargetName(aName);
  target.mLast.mIncarnation = Incarnation(1);
  target.mLast.mSequence = 1;
  target.mLast.mService = kService;
  target.mLast.mSoftware = std::move(aSoftware);
  target.mLast.mAddress = Endpoint{ "10.0.0.1", 80 };
  target.mLast.mSlots = 4;
  target.mLast.mEngine = true;
  target.mModels.push_back({ kModel, 1, {} });
  return target;
}

DispatchState MakeStream(Duration aObjective = 400ms)
{
  DispatchState state;
  state.mFacts.mService = kService;
  state.mFacts.mKind = RequestKind::ResumableStream;
  state.mFacts.mMaxAttempts = 2;
  state.mFacts.mObjective = aObjective;
  state.mFacts.mModel = kModel;
  state.mFacts.mArrived = kNow;
  state.mFacts.mDeadline = kNow + 10s;
  return state;
}

/** A dispatcher, a service's only target and a stream that is sent there. */
struct SentToService
{
  explicit SentToService(bool aGoesOn)
  {
    mTarget.mLast.mEngine = false;
    mDispatcher.OnTarget(kNow, mTarget);
    if (aGoesOn) {
      mStream.mSoftware = kOld;
    }
    const auto decision = mDispatcher.Choose(kNow, mStream);
    REQUIRE(std::holds_alternative<SendTo>(decision));
    mSend = std::get<SendTo>(decision);
  }

  Dispatcher mDispatcher{ { FailureDomain("a"), { 1.0, 100, 10s }, 1 } };
  RoutedTarget mTarget = MakeTarget("t0", kOld);
  DispatchState mStream = MakeStream();
  SendTo mSend;
};

} // namespace

// Load pattern: half of a service's targets run a newer version, and streams
// break off at both.
TEST_CASE("a begun stream goes to targets of its software version only")
{
  Dispatcher dispatcher({ FailureDomain("a"), { 1.0, 100, 10s }, 1 });
  for (int n = 0; n < 8; ++n) {
    dispatcher.OnTarget(
      kNow, MakeTarget("t" + std::to_string(n), n % 2 == 0 ? kOld : kNew));
  }
  for (int n = 0; n < 50; ++n) {
    DispatchState state = MakeStream();
    state.mSoftware = n % 2 == 0 ? kOld : kNew;
    const auto decision = dispatcher.Choose(kNow, state);
    REQUIRE(std::holds_alternative<SendTo>(decision));
    const SendTo& send = std::get<SendTo>(decision);
    CHECK(send.mSoftware == state.mSoftware);
    dispatcher.OnEnd(kNow, send.mSend, SendEnd::Whole, state);
  }
}

// Guards against new streams of a version that few control daemons know: who
// takes them up elsewhere would be told of the old version alone.
TEST_CASE("a new stream begins at a version that a majority knows")
{
  Dispatcher dispatcher({ FailureDomain("a"), { 1.0, 100, 10s }, 1 });
  dispatcher.OnTarget(kNow, MakeTarget("t0", kOld));
  dispatcher.OnTarget(kNow, MakeTarget("t1", kNew));
  dispatcher.SetUnestablished({ { kService, kNew } });
  for (int n = 0; n < 3; ++n) {
    DispatchState state = MakeStream();
    const auto decision = dispatcher.Choose(kNow, state);
    REQUIRE(std::holds_alternative<SendTo>(decision));
    CHECK(std::get<SendTo>(decision).mSoftware == kOld);
  }
  SECTION("one that is known to have begun at the other goes on there")
  {
    DispatchState state = MakeStream();
    state.mSoftware = kNew;
    const auto decision = dispatcher.Choose(kNow, state);
    REQUIRE(std::holds_alternative<SendTo>(decision));
    const SendTo& send = std::get<SendTo>(decision);
    CHECK(send.mTarget == TargetName("t1"));
    CHECK(dispatcher.SoftwareOf(kNow, send, state, true) == kNew);
  }
  SECTION("without another target it begins there, and its origin is unknown")
  {
    RoutedTarget gone = MakeTarget("t0", kOld);
    gone.mLast.mPhase = TargetPhase::Draining;
    dispatcher.OnTarget(kNow, gone);
    DispatchState state = MakeStream();
    const auto decision = dispatcher.Choose(kNow, state);
    REQUIRE(std::holds_alternative<SendTo>(decision));
    const SendTo& send = std::get<SendTo>(decision);
    CHECK(dispatcher.SoftwareOf(kNow, send, state, true).IsEmpty());
    // Known once a majority has named the version.
    state.mSoftware = SoftwareVersion();
    dispatcher.SetUnestablished({});
    CHECK(dispatcher.SoftwareOf(kNow, send, state, true) == kNew);
  }
}

TEST_CASE("a begun stream is rejected at once when its software is gone")
{
  Dispatcher dispatcher({ FailureDomain("a"), { 1.0, 100, 10s }, 1 });
  dispatcher.OnTarget(kNow, MakeTarget("t0", kNew));
  // A tolerant request would wait for a load otherwise.
  DispatchState state = MakeStream(5s);
  state.mSoftware = kOld;
  const auto decision = dispatcher.Choose(kNow, state);
  REQUIRE(std::holds_alternative<Rejection>(decision));
  CHECK(std::get<Rejection>(decision).mReason ==
        "no target runs the software that began the stream");
}

TEST_CASE("a begun stream waits for a target of its software that is full")
{
  Dispatcher dispatcher({ FailureDomain("a"), { 1.0, 100, 10s }, 1 });
  dispatcher.OnTarget(kNow, MakeTarget("t0", kOld));
  dispatcher.OnTarget(kNow, MakeTarget("t1", kNew));
  bool hasWaited = false;
  for (int n = 0; n < 40 && !hasWaited; ++n) {
    DispatchState state = MakeStream(5s);
    state.mSoftware = kOld;
    hasWaited =
      std::holds_alternative<WaitForCapacity>(dispatcher.Choose(kNow, state));
  }
  CHECK(hasWaited);
}

// Fault: the one target of the stream's software that holds the model crashed.
TEST_CASE("a begun stream waits for a copy on its software, and asks for one")
{
  Dispatcher dispatcher({ FailureDomain("a"), { 1.0, 100, 10s }, 1 });
  RoutedTarget empty = MakeTarget("t0", kOld);
  empty.mModels.clear();
  dispatcher.OnTarget(kNow, empty);
  dispatcher.OnTarget(kNow, MakeTarget("t1", kNew));
  DispatchState state = MakeStream(2500ms);
  state.mSoftware = kOld;
  const auto decision = dispatcher.Choose(kNow, state);
  REQUIRE(std::holds_alternative<WaitForCapacity>(decision));
  CHECK(std::get<WaitForCapacity>(decision).mUntil == kNow + 5s);
  const auto waiting = dispatcher.WaitingStreams();
  REQUIRE(waiting.size() == 1);
  CHECK(waiting[0].mModel == kModel);
  CHECK(waiting[0].mSoftware == kOld);
  CHECK(waiting[0].mWaiting == 1);
  dispatcher.OnTarget(kNow, MakeTarget("t2", kOld));
  CHECK(std::holds_alternative<SendTo>(dispatcher.Choose(kNow, state)));
  CHECK(dispatcher.WaitingStreams().empty());
}

// Guards against streams that go on at a target which has restarted in place
// with other software and has not been heard of since.
TEST_CASE("a stream does not go on at a target whose process is not known")
{
  Dispatcher dispatcher({ FailureDomain("a"), { 1.0, 100, 10s }, 1 });
  dispatcher.OnTarget(kNow, MakeTarget("t0", kOld));
  dispatcher.OnTarget(kNow, MakeTarget("t1", kOld));
  DispatchState begun = MakeStream();
  const auto first = dispatcher.Choose(kNow, begun);
  const auto* lost = std::get_if<SendTo>(&first);
  REQUIRE(lost != nullptr);
  CHECK_FALSE(dispatcher.MustCheckProcess(kNow, *lost, begun, true));
  CHECK_FALSE(dispatcher.MustCheckProcess(kNow, *lost, begun, false));
  begun.mSoftware = kOld;
  REQUIRE(dispatcher.OnEnd(kNow, lost->mSend, SendEnd::Broken, begun));
  const auto chooseFor = [&](Instant aNow, bool aGoesOn) {
    DispatchState state = MakeStream();
    if (aGoesOn) {
      state.mSoftware = kOld;
    }
    const auto decision = dispatcher.Choose(aNow, state);
    const auto* send = std::get_if<SendTo>(&decision);
    REQUIRE(send != nullptr);
    const bool mustCheck =
      dispatcher.MustCheckProcess(aNow, *send, state, false);
    if (send->mTarget == lost->mTarget && aNow < kNow + 3600ms) {
      CHECK(mustCheck);
    }
    dispatcher.OnEnd(aNow, send->mSend, SendEnd::Withheld, state);
    return *send;
  };
  DispatchState goesOn = MakeStream();
  goesOn.mSoftware = kOld;
  SECTION("it is another process: streams go elsewhere until it is heard of")
  {
    CHECK_FALSE(
      dispatcher.OnProcessChecked(kNow, *lost, goesOn, ProcessCheck::Other));
    for (int n = 0; n < 20; ++n) {
      CHECK(chooseFor(kNow + 1s, true).mTarget != lost->mTarget);
      CHECK(chooseFor(kNow + 1s, false).mTarget != lost->mTarget);
    }
    // Not heard of in time, e.g. by a daemon that is cut off: asked each time.
    for (int n = 0; n < 20; ++n) {
      const SendTo send = chooseFor(kNow + 60s, true);
      CHECK(dispatcher.MustCheckProcess(kNow + 60s, send, goesOn, false));
    }
    CHECK_FALSE(dispatcher.OnProcessChecked(kNow + 60s, *lost, goesOn,
                                            ProcessCheck::Other));
    RoutedTarget restarted = MakeTarget(lost->mTarget.Text(), kNew);
    restarted.mLast.mIncarnation = Incarnation(2);
    dispatcher.OnTarget(kNow + 2s, restarted);
    DispatchState other = MakeStream();
    other.mSoftware = kNew;
    const auto decision = dispatcher.Choose(kNow + 2s, other);
    REQUIRE(std::holds_alternative<SendTo>(decision));
    CHECK(std::get<SendTo>(decision).mTarget == lost->mTarget);
  }
  SECTION(
    "it answers with an error: nothing goes on there, and it is asked again")
  {
    CHECK_FALSE(
      dispatcher.OnProcessChecked(kNow, *lost, goesOn, ProcessCheck::Unclear));
    CHECK(dispatcher.MustCheckProcess(kNow + 60s, *lost, goesOn, false));
    CHECK_FALSE(dispatcher.OnProcessChecked(kNow + 60s, *lost, goesOn,
                                            ProcessCheck::Unclear));
  }
  SECTION("it does not say: the stream is not sent there for a while")
  {
    CHECK_FALSE(
      dispatcher.OnProcessChecked(kNow, *lost, goesOn, ProcessCheck::Unstated));
    CHECK(dispatcher.OnProcessChecked(kNow, *lost, MakeStream(),
                                      ProcessCheck::Unstated));
    // Also one that was chosen before another request found out.
    CHECK_FALSE(dispatcher.MaySend(kNow, *lost, goesOn));
    CHECK(dispatcher.MaySend(kNow, *lost, MakeStream()));
    for (int n = 0; n < 20; ++n) {
      CHECK(chooseFor(kNow + 3500ms, true).mTarget != lost->mTarget);
    }
    // It would have been heard of by now; and the other one leaves.
    RoutedTarget other =
      MakeTarget(lost->mTarget == TargetName("t0") ? "t1" : "t0", kOld);
    other.mLast.mPhase = TargetPhase::Draining;
    dispatcher.OnTarget(kNow + 3700ms, other);
    CHECK(chooseFor(kNow + 3700ms, true).mTarget == lost->mTarget);
  }
  SECTION("it is the same process: its connection was reset, and streams go on")
  {
    CHECK(dispatcher.OnProcessChecked(kNow, *lost, goesOn, ProcessCheck::Same));
    CHECK(dispatcher.SoftwareOf(kNow, *lost, {}, false) == kOld);
    chooseFor(kNow, false);
    // Another connection leads to the process that it says on that one.
    CHECK(dispatcher.MustCheckProcess(kNow, *lost, goesOn, false));
    CHECK_FALSE(dispatcher.MustCheckProcess(kNow, *lost, MakeStream(), false));
  }
  SECTION("an engine is asked once on each connection for streams that go on")
  {
    const SendTo send = chooseFor(kNow + 5s, true);
    CHECK(dispatcher.MustCheckProcess(kNow + 5s, send, goesOn, false));
    CHECK_FALSE(dispatcher.MustCheckProcess(kNow + 5s, send, goesOn, true));
    CHECK_FALSE(
      dispatcher.MustCheckProcess(kNow + 5s, send, MakeStream(), false));
  }
}

// Found by the soak: the last heartbeat of an ended process arrived late, the
// doubt ran out, and streams went on at the next process.
TEST_CASE("a heartbeat that opens a target's path does not prove its process")
{
  SentToService sent(true);
  auto& [dispatcher, plain, goesOn, send] = sent;
  dispatcher.OnEnd(kNow, send.mSend, SendEnd::ConnectFailed, goesOn);
  CHECK_FALSE(
    dispatcher.OnProcessChecked(kNow, send, goesOn, ProcessCheck::Unstated));
  plain.mLast.mSequence = 2;
  dispatcher.OnTarget(kNow + 3s, plain);
  CHECK_FALSE(dispatcher.MaySend(kNow + 6500ms, send, goesOn));
  CHECK(dispatcher.SoftwareOf(kNow + 6500ms, send, {}, false).IsEmpty());
  CHECK(dispatcher.MaySend(kNow + 6700ms, send, goesOn));
  // The path was open: there is nothing new to doubt.
  plain.mLast.mSequence = 3;
  dispatcher.OnTarget(kNow + 6700ms, plain);
  CHECK(dispatcher.MaySend(kNow + 6700ms, send, goesOn));
}

// Guards against a replaced target whose first heartbeat is seconds late.
TEST_CASE("a target that is silent after a lost connection stays in doubt")
{
  SentToService sent(false);
  Dispatcher& dispatcher = sent.mDispatcher;
  RoutedTarget& plain = sent.mTarget;
  const SendTo& send = sent.mSend;
  const auto isKnown = [&](Duration aSince) {
    return !dispatcher.SoftwareOf(kNow + aSince, send, {}, false).IsEmpty();
  };
  RoutedTarget silent = plain;
  silent.mSilent = true;
  silent.mLast.mSequence = 2;
  SECTION("until it is heard of")
  {
    dispatcher.OnEnd(kNow, send.mSend, SendEnd::Broken, sent.mStream);
    // The news comes as the doubt has just passed.
    dispatcher.OnTarget(kNow + 3700ms, silent);
    CHECK_FALSE(isKnown(3700ms));
    CHECK_FALSE(isKnown(60s));
    plain.mLast.mSequence = 3;
    dispatcher.OnTarget(kNow + 60s, plain);
    CHECK(isKnown(60s));
    // Silent again later: nothing has been lost since.
    silent.mLast.mSequence = 4;
    dispatcher.OnTarget(kNow + 90s, silent);
    CHECK(isKnown(90s));
  }
  SECTION("not one whose heartbeats alone are missed")
  {
    dispatcher.OnTarget(kNow + 4s, silent);
    CHECK(isKnown(4s));
  }
}

// Guards against a news of silence that opens the path to a dead target.
TEST_CASE("a target that goes silent is no more reachable for it")
{
  Dispatcher dispatcher({ FailureDomain("a"), { 1.0, 100, 10s }, 1 });
  RoutedTarget plain = MakeTarget("t0", kOld);
  dispatcher.OnTarget(kNow, plain);
  DispatchState begun = MakeStream();
  const auto decision = dispatcher.Choose(kNow, begun);
  REQUIRE(std::holds_alternative<SendTo>(decision));
  dispatcher.OnEnd(kNow, std::get<SendTo>(decision).mSend,
                   SendEnd::ConnectFailed, begun);
  for (const PathCheck& path : dispatcher.TakePathChecks(kNow + 100ms)) {
    dispatcher.OnPathChecked(kNow + 100ms, path, PathEvidence::Refused);
  }
  CHECK(dispatcher.UnreachableShare() == 1.0);
  plain.mSilent = true;
  plain.mLast.mSequence = 2;
  dispatcher.OnTarget(kNow + 2s, plain);
  CHECK(dispatcher.UnreachableShare() == 1.0);
  plain.mSilent = false;
  plain.mLast.mSequence = 3;
  dispatcher.OnTarget(kNow + 3s, plain);
  CHECK(dispatcher.UnreachableShare() == 0.0);
}

// Guards against the late end of a request that is charged to the next process.
TEST_CASE("the end of a send concerns the process that it was sent to")
{
  Dispatcher dispatcher({ FailureDomain("a"), { 1.0, 100, 10s }, 1 });
  RoutedTarget plain = MakeTarget("t0", kOld);
  plain.mLast.mEngine = false;
  dispatcher.OnTarget(kNow, plain);
  DispatchState first = MakeStream();
  const auto before = dispatcher.Choose(kNow, first);
  REQUIRE(std::holds_alternative<SendTo>(before));
  plain.mLast.mIncarnation = Incarnation(2);
  plain.mLast.mSoftware = kNew;
  dispatcher.OnTarget(kNow + 1s, plain);
  DispatchState second = MakeStream();
  const auto after = dispatcher.Choose(kNow + 1s, second);
  REQUIRE(std::holds_alternative<SendTo>(after));
  dispatcher.OnEnd(kNow + 2s, std::get<SendTo>(before).mSend, SendEnd::Broken,
                   first);
  CHECK(dispatcher.SoftwareOf(kNow + 2s, std::get<SendTo>(after), {}, false) ==
        kNew);
  DispatchState third = MakeStream();
  const auto next = dispatcher.Choose(kNow + 2s, third);
  REQUIRE(std::holds_alternative<SendTo>(next));
  CHECK(std::get<SendTo>(next).mSnapshot.mOwnInFlight == 1);
}

// Guards against a target that restarts in place while a daemon has idle
// connections to it only.
TEST_CASE("the end of an idle connection puts the target's process in doubt")
{
  SentToService sent(true);
  auto& [dispatcher, plain, goesOn, send] = sent;
  // The connection was to an earlier process.
  CHECK_FALSE(dispatcher.OnConnectionEnded(kNow, send.mTarget, Incarnation(7)));
  CHECK_FALSE(dispatcher.MustCheckProcess(kNow, send, goesOn, false));
  CHECK(dispatcher.OnConnectionEnded(kNow, send.mTarget, send.mIncarnation));
  CHECK(dispatcher.MustCheckProcess(kNow, send, goesOn, false));
  CHECK_FALSE(
    dispatcher.OnProcessChecked(kNow, send, goesOn, ProcessCheck::Unstated));
  CHECK_FALSE(dispatcher.MaySend(kNow + 3500ms, send, goesOn));
  CHECK(dispatcher.MaySend(kNow + 3700ms, send, goesOn));
}

// Guards against streams that begin at a target's next process and are recorded
// under the version of the process before.
TEST_CASE("the software that answers is known only with the process")
{
  SentToService sent(false);
  auto& [dispatcher, plain, first, send] = sent;
  CHECK_FALSE(dispatcher.MustCheckProcess(kNow, send, first, false));
  CHECK(dispatcher.SoftwareOf(kNow, send, {}, false) == kOld);
  SECTION("not after a connection broke")
  {
    dispatcher.OnEnd(kNow, send.mSend, SendEnd::Broken, first);
    CHECK(dispatcher.SoftwareOf(kNow + 3500ms, send, {}, false).IsEmpty());
    // It said so on the connection, or would have been heard of by now.
    CHECK(dispatcher.SoftwareOf(kNow + 3500ms, send, {}, true) == kOld);
    CHECK(dispatcher.SoftwareOf(kNow + 3700ms, send, {}, false) == kOld);
  }
  SECTION("not after it ended an idle connection")
  {
    CHECK(dispatcher.OnConnectionEnded(kNow, send.mTarget, send.mIncarnation));
    CHECK(dispatcher.SoftwareOf(kNow, send, {}, false).IsEmpty());
  }
  SECTION("not of a process that was replaced")
  {
    RoutedTarget restarted = MakeTarget("t0", kNew);
    restarted.mLast.mIncarnation = Incarnation(2);
    dispatcher.OnTarget(kNow, restarted);
    CHECK(dispatcher.SoftwareOf(kNow, send, {}, true).IsEmpty());
  }
}

// Guards against a plain target that restarts in place with other software
// before a daemon that just started has a connection to it (found by the soak).
TEST_CASE("a stream waits at a daemon that just started for targets to settle")
{
  DispatcherOptions options{ FailureDomain("a"), { 1.0, 100, 10s }, 1 };
  options.mSettlesAtStart = true;
  Dispatcher dispatcher(options);
  RoutedTarget plain = MakeTarget("t0", kOld);
  plain.mLast.mEngine = false;
  dispatcher.OnTarget(kNow, plain);
  const auto choose = [&](Duration aSince, const SoftwareVersion& aSoftware) {
    DispatchState state = MakeStream();
    state.mSoftware = aSoftware;
    return dispatcher.Choose(kNow + aSince, state);
  };
  const auto waitsUntil = [&](Duration aSince) {
    const auto decision = choose(aSince, kOld);
    const auto* wait = std::get_if<WaitForCapacity>(&decision);
    return wait == nullptr ? Instant() : wait->mUntil;
  };
  const auto goesOn = [&](Duration aSince, const SoftwareVersion& aSoftware) {
    return std::holds_alternative<SendTo>(choose(aSince, aSoftware));
  };
  SECTION("two windows without an answer")
  {
    CHECK(waitsUntil(1s) == kNow + 7200ms);
    CHECK(goesOn(7200ms, kOld));
  }
  SECTION("a window after the first answer, to a stream that begins there")
  {
    DispatchState first = MakeStream();
    const auto begun = dispatcher.Choose(kNow + 1s, first);
    REQUIRE(std::holds_alternative<SendTo>(begun));
    const SendTo& send = std::get<SendTo>(begun);
    CHECK_FALSE(dispatcher.MustCheckProcess(kNow + 1s, send, first, false));
    dispatcher.OnFirstByte(kNow + 1s, send.mSend);
    CHECK(waitsUntil(2s) == kNow + 4600ms);
    CHECK(goesOn(4600ms, kOld));
  }
  SECTION("not for a process that is heard of in its place")
  {
    plain.mLast.mIncarnation = Incarnation(2);
    plain.mLast.mSoftware = kNew;
    dispatcher.OnTarget(kNow + 1s, plain);
    CHECK(goesOn(1s, kNew));
  }
  SECTION("not for a target that is new later, and not for an engine")
  {
    const bool isEngine = GENERATE(true, false);
    RoutedTarget other = MakeTarget("t1", kOld);
    other.mLast.mEngine = isEngine;
    dispatcher.OnTarget(kNow + (isEngine ? 1s : 4s), other);
    CHECK(goesOn(4s, kOld));
  }
}

// Guards against a target that is down for longer than its process is in doubt:
// streams went on there before it was heard of as another process.
TEST_CASE(
  "the doubt about a process begins anew when its address listens again")
{
  Dispatcher dispatcher({ FailureDomain("a"), { 1.0, 100, 10s }, 1 });
  RoutedTarget plain = MakeTarget("t0", kOld);
  plain.mLast.mEngine = false;
  dispatcher.OnTarget(kNow, plain);
  DispatchState begun = MakeStream();
  const auto first = dispatcher.Choose(kNow, begun);
  REQUIRE(std::holds_alternative<SendTo>(first));
  const SendTo lost = std::get<SendTo>(first);
  begun.mSoftware = kOld;
  dispatcher.OnEnd(kNow, lost.mSend, SendEnd::ConnectFailed, begun);
  CHECK_FALSE(
    dispatcher.OnProcessChecked(kNow, lost, begun, ProcessCheck::Unstated));
  Instant now = kNow;
  const auto check = [&](Instant aUntil, PathEvidence aEvidence) {
    for (; now < aUntil; now += 50ms) {
      for (const PathCheck& path : dispatcher.TakePathChecks(now)) {
        dispatcher.OnPathChecked(now, path, aEvidence);
      }
    }
  };
  check(kNow + 5s, PathEvidence::Refused);
  check(kNow + 7s, PathEvidence::Accepted);
  // It accepted at 5 s or a little later; 3.6 s of doubt begin there.
  CHECK_FALSE(dispatcher.MaySend(kNow + 8500ms, lost, begun));
  CHECK(dispatcher.MaySend(kNow + 11s, lost, begun));
}

} // namespace carobtide
