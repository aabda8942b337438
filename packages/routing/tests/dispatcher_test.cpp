#include "carobtide/routing.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <utility>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };
const ServiceName kEngines("lm");
const ModelName kModel("m");

RoutedTarget MakeTarget(const std::string& aName, const std::string& aDomain)
{
  RoutedTarget target;
  target.mLast.mTarget = TargetName(aName);
  target.mLast.mIncarnation = Incarnation(1);
  target.mLast.mSequence = 1;
  target.mLast.mService = kEngines;
  target.mLast.mAddress = Endpoint{ "10.0.0.1", 80 };
  target.mLast.mFailureDomain = FailureDomain(aDomain);
  target.mLast.mSlots = 4;
  target.mLast.mEngine = true;
  target.mModels.push_back({ kModel, 1, {} });
  return target;
}

/** A dispatcher with targets, and a clock. */
class Bench
{
public:
  explicit Bench(int aTargets)
    : mDispatcher(MakeOptions())
  {
    for (int n = 0; n < aTargets; ++n) {
      mDispatcher.OnTarget(mNow, MakeTarget("t" + std::to_string(n), "a"));
    }
  }

  static DispatcherOptions MakeOptions()
  {
    DispatcherOptions options;
    options.mFailureDomain = FailureDomain("a");
    options.mRetryBudget = { 0.2, 50, 10s };
    return options;
  }

  DispatchState Arrive(RequestKind aKind, std::uint32_t aAttempts = 2)
  {
    DispatchState state;
    state.mFacts.mService = kEngines;
    state.mFacts.mKind = aKind;
    state.mFacts.mMaxAttempts = aAttempts;
    state.mFacts.mObjective = 400ms;
    state.mFacts.mPauseObjective = 200ms;
    state.mFacts.mModel = kModel;
    state.mFacts.mArrived = mNow;
    state.mFacts.mDeadline = mNow + 4s;
    state.mFacts.mPromptTokens = 700;
    mDispatcher.OnArrival(mNow, state.mFacts);
    return state;
  }

  DispatchDecision Choose(DispatchState& aState)
  {
    return mDispatcher.Choose(mNow, aState);
  }

  SendTo MustSend(DispatchState& aState)
  {
    const auto decision = Choose(aState);
    REQUIRE(std::holds_alternative<SendTo>(decision));
    return std::get<SendTo>(decision);
  }

  bool End(const SendTo& aSend, SendEnd aEnd, DispatchState& aState)
  {
    return mDispatcher.OnEnd(mNow, aSend.mSend, aEnd, aState);
  }

  /** One whole answer, so that times are known. */
  void Serve(Duration aFirstByte)
  {
    DispatchState state = Arrive(RequestKind::Stream);
    const SendTo send = MustSend(state);
    mNow += aFirstByte;
    mDispatcher.OnFirstByte(mNow, send.mSend);
    End(send, SendEnd::Whole, state);
  }

  Instant mNow = kStart;
  Dispatcher mDispatcher;
};

} // namespace

TEST_CASE("what may run once only is never sent again once it may have run")
{
  const auto end = GENERATE(SendEnd::Broken, SendEnd::TimedOut,
                            SendEnd::TargetFailed, SendEnd::CallerGone);
  for (const auto kind : { RequestKind::AtMostOnce, RequestKind::Stream }) {
    Bench bench(3);
    DispatchState state = bench.Arrive(kind, 5);
    const SendTo send = bench.MustSend(state);
    CHECK_FALSE(bench.End(send, end, state));
  }
}

TEST_CASE("what did not run goes to another target")
{
  Bench bench(3);
  DispatchState state = bench.Arrive(RequestKind::AtMostOnce, 1);
  const SendTo first = bench.MustSend(state);
  CHECK(bench.End(first, SendEnd::Full, state));
  const SendTo second = bench.MustSend(state);
  CHECK(second.mTarget != first.mTarget);
  CHECK_FALSE(bench.End(second, SendEnd::NotRun, state));
  CHECK(state.mRuns == 0);
}

TEST_CASE("a repeatable request keeps to its route's attempts")
{
  Bench bench(4);
  DispatchState state = bench.Arrive(RequestKind::ResumableStream, 2);
  CHECK(bench.End(bench.MustSend(state), SendEnd::Broken, state));
  CHECK_FALSE(bench.End(bench.MustSend(state), SendEnd::Broken, state));
}

TEST_CASE("a target that refuses connections is left alone until it is heard")
{
  Bench bench(2);
  DispatchState state = bench.Arrive(RequestKind::AtMostOnce);
  const SendTo dead = bench.MustSend(state);
  CHECK(bench.End(dead, SendEnd::ConnectFailed, state));
  for (int n = 0; n < 3; ++n) {
    DispatchState other = bench.Arrive(RequestKind::AtMostOnce);
    CHECK(bench.MustSend(other).mTarget != dead.mTarget);
  }
  RoutedTarget heard = MakeTarget(dead.mTarget.Text(), "a");
  heard.mLast.mSequence = 2;
  bench.mDispatcher.OnTarget(bench.mNow, heard);
  DispatchState next = bench.Arrive(RequestKind::AtMostOnce);
  CHECK(bench.MustSend(next).mTarget == dead.mTarget);
}

TEST_CASE("nothing goes to a target that drains, is gone or restarted empty")
{
  Bench bench(2);
  RoutedTarget leaving = MakeTarget("t0", "a");
  leaving.mLast.mSequence = 2;
  SECTION("draining")
  {
    leaving.mLast.mPhase = TargetPhase::Draining;
  }
  SECTION("gone")
  {
    leaving.mLast.mPhase = TargetPhase::Gone;
  }
  SECTION("restarted empty")
  {
    leaving.mLast.mIncarnation = Incarnation(2);
    leaving.mModels.clear();
  }
  bench.mDispatcher.OnTarget(bench.mNow, leaving);
  for (int n = 0; n < 4; ++n) {
    DispatchState state = bench.Arrive(RequestKind::AtMostOnce);
    CHECK(bench.MustSend(state).mTarget == TargetName("t1"));
  }
}

TEST_CASE("a model that nobody holds is turned away at once, with a pause")
{
  Bench bench(2);
  DispatchState state = bench.Arrive(RequestKind::Stream);
  state.mFacts.mModel = ModelName("rare");
  const auto decision = bench.Choose(state);
  REQUIRE(std::holds_alternative<Rejection>(decision));
  CHECK(std::get<Rejection>(decision).mRetryAfter >= Duration(200ms));
  bool isReported = false;
  for (const DemandItem& demand : bench.mDispatcher.TakeDemand()) {
    isReported = isReported ||
                 (demand.mModel == ModelName("rare") && demand.mUnplaced == 1);
  }
  CHECK(isReported);
}

TEST_CASE("callers turned away together come back apart")
{
  Bench bench(0);
  std::set<Duration> pauses;
  for (int n = 0; n < 50; ++n) {
    DispatchState state = bench.Arrive(RequestKind::Stream);
    pauses.insert(std::get<Rejection>(bench.Choose(state)).mRetryAfter);
  }
  CHECK(pauses.size() > 45);
  CHECK(*pauses.rbegin() - *pauses.begin() > Duration(200ms));
}

TEST_CASE("an adapter is asked for once, then its holder is used")
{
  Bench bench(2);
  DispatchState state = bench.Arrive(RequestKind::Stream);
  state.mFacts.mAdapter = AdapterName("a1");
  CHECK(std::holds_alternative<LoadAdapter>(bench.Choose(state)));
  // While it is on its way the request waits, but not past a third of its
  // objective, and it does not ask again.
  DispatchState late = state;
  const auto waiting = bench.Choose(late);
  REQUIRE(std::holds_alternative<WaitForCapacity>(waiting));
  const Instant until = std::get<WaitForCapacity>(waiting).mUntil;
  CHECK(until <= late.mFacts.mArrived + late.mFacts.mObjective / 3);
  const Instant before = std::exchange(bench.mNow, until);
  CHECK(std::holds_alternative<Rejection>(bench.Choose(late)));
  bench.mNow = before;
  RoutedTarget holder = MakeTarget("t1", "a");
  holder.mModels[0].mAdapters.push_back(AdapterName("a1"));
  bench.mDispatcher.OnTarget(bench.mNow, holder);
  CHECK(bench.MustSend(state).mTarget == TargetName("t1"));
}

// Replays what was seen on a played day: prompts that came together made all
// streams of an engine pause for 200 to 470 ms.
TEST_CASE("prompts that come together are paced and spread")
{
  Bench bench(2);
  // A prompt of 700 tokens takes 35 ms to read; half of the pause objective
  // is 100 ms.
  bench.Serve(35ms);
  std::map<TargetName, int> sent;
  int waiting = 0;
  for (int n = 0; n < 12; ++n) {
    DispatchState state = bench.Arrive(RequestKind::Stream);
    const auto decision = bench.Choose(state);
    if (const auto* send = std::get_if<SendTo>(&decision)) {
      ++sent[send->mTarget];
    } else {
      CHECK(std::holds_alternative<WaitForCapacity>(decision));
      ++waiting;
    }
  }
  CHECK(sent.size() == 2);
  for (const auto& [target, count] : sent) {
    CHECK(count <= 4);
    CHECK(count >= 2);
  }
  CHECK(waiting >= 4);
}

// Replays what was seen on scale-1 of stiltjuggle-host: nearly all streams that
// paused were of the two models whose prompts take three times as long to read.
TEST_CASE("prompts are paced by what their model takes to read them")
{
  const ModelName heavy("heavy");
  Bench bench(1);
  RoutedTarget target = MakeTarget("t0", "a");
  target.mModels.push_back({ heavy, 1, {} });
  bench.mDispatcher.OnTarget(bench.mNow, target);
  const auto arrive = [&](const ModelName& aModel) {
    DispatchState state = bench.Arrive(RequestKind::Stream);
    state.mFacts.mModel = aModel;
    return state;
  };
  for (int n = 0; n < 200; ++n) {
    for (const bool isHeavy : { false, true }) {
      DispatchState state = arrive(isHeavy ? heavy : kModel);
      const SendTo send = bench.MustSend(state);
      bench.mNow += isHeavy ? 60ms : 20ms;
      bench.mDispatcher.OnFirstByte(bench.mNow, send.mSend);
      bench.End(send, SendEnd::Whole, state);
    }
  }
  const auto count = [&](const ModelName& aModel) {
    int sent = 0;
    while (true) {
      DispatchState state = arrive(aModel);
      if (!std::holds_alternative<SendTo>(bench.Choose(state))) {
        return sent;
      }
      ++sent;
    }
  };
  // At most 120 ms of reading for a pause objective of 200 ms.
  const bool isHeavy = GENERATE(false, true);
  const ModelName model = isHeavy ? heavy : kModel;
  const int sent = count(model);
  INFO(model.Text());
  CHECK(sent >= (isHeavy ? 1 : 4));
  CHECK(sent <= (isHeavy ? 2 : 6));
}

TEST_CASE("what peers have sent counts")
{
  Bench bench(2);
  EdgeLoad load;
  load.mFrom = Endpoint{ "10.0.0.2", 1 };
  load.mSequence = 2;
  load.mTargets.push_back({ TargetName("t0"), 3, 0 });
  bench.mDispatcher.OnPeerLoad(bench.mNow, load);
  for (int n = 0; n < 2; ++n) {
    DispatchState state = bench.Arrive(RequestKind::Stream);
    CHECK(bench.MustSend(state).mTarget == TargetName("t1"));
  }
  SECTION("an older report does not replace it")
  {
    load.mSequence = 1;
    load.mTargets.clear();
    bench.mDispatcher.OnPeerLoad(bench.mNow, load);
    DispatchState state = bench.Arrive(RequestKind::Stream);
    CHECK(bench.MustSend(state).mTarget == TargetName("t1"));
  }
  SECTION("a peer that is no longer heard is forgotten")
  {
    bench.mNow += 1500ms;
    DispatchState state = bench.Arrive(RequestKind::Stream);
    CHECK(bench.MustSend(state).mTarget == TargetName("t0"));
  }
}

TEST_CASE("a target that fails its requests while others do well is shunned")
{
  Bench bench(3);
  int toBad = 0;
  constexpr int kRequests = 200;
  for (int n = 0; n < kRequests; ++n) {
    DispatchState state = bench.Arrive(RequestKind::AtMostOnce);
    const SendTo send = bench.MustSend(state);
    bench.mNow += 10ms;
    bench.mDispatcher.OnFirstByte(bench.mNow, send.mSend);
    const bool isBad = send.mTarget == TargetName("t0");
    toBad += isBad ? 1 : 0;
    bench.End(send, isBad ? SendEnd::TargetFailed : SendEnd::Whole, state);
  }
  CHECK(toBad < kRequests / 10);
}

TEST_CASE("a target that hangs gets nothing new while others have room")
{
  Bench bench(2);
  bench.Serve(30ms);
  DispatchState stuck = bench.Arrive(RequestKind::AtMostOnce);
  const SendTo hanging = bench.MustSend(stuck);
  bench.mNow += 1s;
  for (int n = 0; n < 3; ++n) {
    DispatchState state = bench.Arrive(RequestKind::AtMostOnce);
    const SendTo send = bench.MustSend(state);
    CHECK(send.mTarget != hanging.mTarget);
    bench.mDispatcher.OnFirstByte(bench.mNow, send.mSend);
  }
}

TEST_CASE("the nearer of two idle targets is chosen")
{
  Dispatcher dispatcher(Bench::MakeOptions());
  dispatcher.OnTarget(kStart, MakeTarget("far", "b"));
  dispatcher.OnTarget(kStart, MakeTarget("near", "a"));
  Bench bench(0);
  DispatchState state = bench.Arrive(RequestKind::Stream);
  const auto decision = dispatcher.Choose(kStart, state);
  CHECK(std::get<SendTo>(decision).mTarget == TargetName("near"));
}

} // namespace carobtide
