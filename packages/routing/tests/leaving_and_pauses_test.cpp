#include "carobtide/routing.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };
const ServiceName kService("s");
const TargetName kFirst("t0");
const TargetName kSecond("t1");

RoutedTarget MakeTarget(const std::string& aName,
                        std::uint64_t aIncarnation = 1,
                        std::uint64_t aSequence = 1)
{
  RoutedTarget target;
  target.mLast.mTarget = TargetName(aName);
  target.mLast.mIncarnation = Incarnation(aIncarnation);
  target.mLast.mSequence = aSequence;
  target.mLast.mService = kService;
  target.mLast.mAddress = Endpoint{ "10.0.0.1", 80 };
  target.mLast.mSlots = 8;
  return target;
}

class Daemon
{
public:
  explicit Daemon(int aTargets, std::uint64_t aSeed = 1)
    : mDispatcher({ FailureDomain("a"), { 1.0, 1000, 10s }, aSeed })
  {
    for (int n = 0; n < aTargets; ++n) {
      mDispatcher.OnTarget(kStart, MakeTarget("t" + std::to_string(n)));
    }
  }

  static DispatchState Arrive(Instant aNow, Duration aObjective = 400ms)
  {
    DispatchState state;
    state.mFacts.mService = kService;
    state.mFacts.mKind = RequestKind::Idempotent;
    state.mFacts.mMaxAttempts = 2;
    state.mFacts.mObjective = aObjective;
    state.mFacts.mArrived = aNow;
    state.mFacts.mDeadline = aNow + 10s;
    return state;
  }

  /** The target of a request that ends at once; empty if none is chosen. */
  TargetName Send(Instant aNow)
  {
    DispatchState state = Arrive(aNow);
    const auto decision = mDispatcher.Choose(aNow, state);
    const auto* send = std::get_if<SendTo>(&decision);
    if (send == nullptr) {
      return {};
    }
    mDispatcher.OnFirstByte(aNow, send->mSend);
    mDispatcher.OnEnd(aNow, send->mSend, SendEnd::Whole, state);
    return send->mTarget;
  }

  /** Where some requests go. */
  std::set<TargetName> Used(Instant aNow)
  {
    std::set<TargetName> used;
    for (int n = 0; n < 60; ++n) {
      used.insert(Send(aNow));
    }
    return used;
  }

  Dispatcher mDispatcher;
};

} // namespace

// Load pattern: a release, while the control daemons cannot be reached.
TEST_CASE("a target that said that it leaves is sent nothing")
{
  Daemon daemon(2);
  REQUIRE(daemon.Used(kStart).contains(kFirst));
  CHECK(daemon.mDispatcher.OnLeaving(kFirst, Incarnation(1)));
  CHECK_FALSE(daemon.mDispatcher.OnLeaving(kFirst, Incarnation(1)));
  CHECK(daemon.Used(kStart) == std::set{ kSecond });
  // A heartbeat that was on its way says that it is ready.
  daemon.mDispatcher.OnTarget(kStart, MakeTarget("t0", 1, 2));
  CHECK(daemon.Used(kStart) == std::set{ kSecond });
  // A new process under the same name is not leaving.
  daemon.mDispatcher.OnTarget(kStart, MakeTarget("t0", 2));
  CHECK(daemon.Used(kStart).contains(kFirst));
  CHECK_FALSE(daemon.mDispatcher.OnLeaving(kFirst, Incarnation(1)));
  CHECK(daemon.Used(kStart).contains(kFirst));
}

TEST_CASE("a request that was about to be sent to a leaving target is not")
{
  Daemon daemon(1);
  DispatchState state = Daemon::Arrive(kStart);
  const auto decision = daemon.mDispatcher.Choose(kStart, state);
  const auto& send = std::get<SendTo>(decision);
  CHECK(daemon.mDispatcher.MaySend(kStart, send, {}));
  SECTION("it leaves")
  {
    daemon.mDispatcher.OnLeaving(kFirst, Incarnation(1));
  }
  SECTION("it wants a pause")
  {
    daemon.mDispatcher.OnPause(kStart, kFirst, Incarnation(1), 1s);
  }
  SECTION("it drains")
  {
    RoutedTarget drains = MakeTarget("t0", 1, 2);
    drains.mLast.mPhase = TargetPhase::Draining;
    daemon.mDispatcher.OnTarget(kStart, drains);
  }
  SECTION("it is another process")
  {
    daemon.mDispatcher.OnTarget(kStart, MakeTarget("t0", 2));
  }
  CHECK_FALSE(daemon.mDispatcher.MaySend(kStart, send, {}));
  CHECK(daemon.mDispatcher.OnEnd(kStart, send.mSend, SendEnd::Withheld, state));
  CHECK(state.mRuns == 0);
  CHECK(state.mDelivered == 0);
}

TEST_CASE("a target that wants a pause is sent nothing until its end")
{
  Daemon daemon(2);
  daemon.mDispatcher.OnPause(kStart, kFirst, Incarnation(1), 2s);
  CHECK(daemon.Used(kStart + 1999ms) == std::set{ kSecond });
  CHECK(daemon.Used(kStart + 2500ms).contains(kFirst));
  // A shorter pause does not end a longer one.
  daemon.mDispatcher.OnPause(kStart + 3s, kFirst, Incarnation(1), 2s);
  daemon.mDispatcher.OnPause(kStart + 3s, kFirst, Incarnation(1), 100ms);
  CHECK(daemon.Used(kStart + 4999ms) == std::set{ kSecond });
}

TEST_CASE("daemons come back to a target one after the other")
{
  std::set<Duration> returned;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Daemon daemon(1, seed);
    daemon.mDispatcher.OnPause(kStart, kFirst, Incarnation(1), 2s);
    Duration at = 2s;
    while (daemon.Send(kStart + at).IsEmpty()) {
      at += 10ms;
    }
    CHECK(at <= Duration(3s));
    returned.insert(at);
  }
  CHECK(returned.size() >= 10);
}

TEST_CASE("after a pause one request goes to the target before the others")
{
  Daemon daemon(1);
  daemon.mDispatcher.OnPause(kStart, kFirst, Incarnation(1), 2s);
  const Instant after = kStart + 3s;
  DispatchState first = Daemon::Arrive(after);
  const auto decision = daemon.mDispatcher.Choose(after, first);
  const auto* send = std::get_if<SendTo>(&decision);
  REQUIRE(send != nullptr);
  CHECK(daemon.Send(after).IsEmpty());
  SECTION("the target begins to answer")
  {
    daemon.mDispatcher.OnFirstByte(after + 50ms, send->mSend);
    CHECK(daemon.Send(after + 50ms) == kFirst);
    CHECK(daemon.Send(after + 50ms) == kFirst);
  }
  SECTION("the request breaks off")
  {
    daemon.mDispatcher.OnEnd(after + 50ms, send->mSend, SendEnd::Broken, first);
    CHECK(daemon.Send(after + 50ms) == kFirst);
  }
  SECTION("the target says nothing")
  {
    CHECK(daemon.Send(after + 999ms).IsEmpty());
    CHECK(daemon.Send(after + 1s) == kFirst);
  }
}

// Load pattern: a steady load, and a target that turns everything away, though
// it is empty, 50 ms after a request reached it.
TEST_CASE("a target that turns everything away is sent one request a pause")
{
  constexpr auto kPause = 1s;
  constexpr auto kInterval = 7ms;
  constexpr auto kAnswerTime = 49ms;
  constexpr int kPauses = 10;
  Daemon daemon(2);
  struct Open
  {
    Instant mAnswerAt;
    SendTo mSend;
    DispatchState mState;
  };
  std::vector<Open> open;
  int refused = 0;
  for (Instant now = kStart; now < kStart + kPauses * kPause;
       now += kInterval) {
    std::erase_if(open, [&](Open& aOpen) {
      if (aOpen.mAnswerAt > now) {
        return false;
      }
      const bool isRefused = aOpen.mSend.mTarget == kFirst;
      if (isRefused) {
        daemon.mDispatcher.OnPause(now, kFirst, Incarnation(1), kPause);
      } else {
        daemon.mDispatcher.OnFirstByte(now, aOpen.mSend.mSend);
      }
      daemon.mDispatcher.OnEnd(now, aOpen.mSend.mSend,
                               isRefused ? SendEnd::Full : SendEnd::Whole,
                               aOpen.mState);
      return true;
    });
    DispatchState state = Daemon::Arrive(now);
    const auto decision = daemon.mDispatcher.Choose(now, state);
    const auto* send = std::get_if<SendTo>(&decision);
    REQUIRE(send != nullptr);
    refused += send->mTarget == kFirst ? 1 : 0;
    open.push_back({ now + kAnswerTime, *send, state });
  }
  // What was sent before the first refusal, then one a pause.
  constexpr int kBeforeRefusal = kAnswerTime / kInterval;
  CHECK(refused <= kBeforeRefusal + kPauses);
}

// Load pattern: all targets of a service want a pause at once.
TEST_CASE("callers are rejected at once while all targets want a pause")
{
  Daemon daemon(2);
  daemon.mDispatcher.OnPause(kStart, kFirst, Incarnation(1), 3s);
  daemon.mDispatcher.OnPause(kStart, kSecond, Incarnation(1), 5s);
  std::set<Duration> delays;
  for (int n = 0; n < 50; ++n) {
    DispatchState state = Daemon::Arrive(kStart + 1s);
    const auto decision = daemon.mDispatcher.Choose(kStart + 1s, state);
    REQUIRE(std::holds_alternative<Rejection>(decision));
    const auto& rejection = std::get<Rejection>(decision);
    CHECK(rejection.mReason == "all targets want a pause");
    CHECK(rejection.mRetryAfter >= Duration(2s));
    CHECK(rejection.mRetryAfter <= Duration(4s));
    delays.insert(rejection.mRetryAfter);
  }
  CHECK(delays.size() > 40);
  // One that can wait for the end of the first pause does.
  DispatchState tolerant = Daemon::Arrive(kStart + 1s, 8s);
  const auto decision = daemon.mDispatcher.Choose(kStart + 1s, tolerant);
  REQUIRE(std::holds_alternative<WaitForCapacity>(decision));
  const Instant until = std::get<WaitForCapacity>(decision).mUntil;
  CHECK(until >= kStart + 3s);
  CHECK(
    std::holds_alternative<SendTo>(daemon.mDispatcher.Choose(until, tolerant)));
}

// Load pattern: a burst while half of the targets want a pause.
TEST_CASE("a burst goes to the targets that want no pause")
{
  Daemon daemon(4);
  daemon.mDispatcher.OnPause(kStart, kFirst, Incarnation(1), 2s);
  daemon.mDispatcher.OnPause(kStart, kSecond, Incarnation(1), 2s);
  int sent = 0;
  for (int n = 0; n < 200; ++n) {
    DispatchState state = Daemon::Arrive(kStart + 600ms);
    const auto decision = daemon.mDispatcher.Choose(kStart + 600ms, state);
    if (const auto* send = std::get_if<SendTo>(&decision)) {
      CHECK(send->mTarget != kFirst);
      CHECK(send->mTarget != kSecond);
      ++sent;
    }
  }
  // Both of the others are filled.
  CHECK(sent >= 16);
}

// Load pattern: traffic doubles while half of the targets are replaced, which
// say that they leave in their answers only.
TEST_CASE("a crest in a release goes to the targets that stay")
{
  constexpr int kTargets = 6;
  constexpr auto kRunTime = 100ms;
  Daemon daemon(kTargets);
  std::deque<std::pair<SendTo, DispatchState>> open;
  std::set<TargetName> left;
  int refused = 0;
  Instant now = kStart;
  const auto arrive = [&] {
    while (!open.empty() &&
           open.front().second.mFacts.mArrived < now - Duration(kRunTime)) {
      auto& [send, state] = open.front();
      daemon.mDispatcher.OnFirstByte(now, send.mSend);
      daemon.mDispatcher.OnEnd(now, send.mSend, SendEnd::Whole, state);
      open.pop_front();
    }
    DispatchState state = Daemon::Arrive(now);
    const auto decision = daemon.mDispatcher.Choose(now, state);
    if (const auto* send = std::get_if<SendTo>(&decision)) {
      CHECK_FALSE(left.contains(send->mTarget));
      open.emplace_back(*send, state);
    } else {
      ++refused;
    }
  };
  for (int n = 0; n < kTargets; n += 2) {
    for (int arrivals = 0; arrivals < 100; ++arrivals, now += 10ms) {
      arrive();
    }
    const TargetName leaving("t" + std::to_string(n));
    left.insert(leaving);
    CHECK(daemon.mDispatcher.OnLeaving(leaving, Incarnation(1)));
  }
  CHECK(refused == 0);
  // 20 of the 24 places that are left.
  for (int arrivals = 0; arrivals < 200; ++arrivals, now += 5ms) {
    arrive();
  }
  CHECK(refused == 0);
  // The new ones take their share at once.
  for (int n = 0; n < kTargets; n += 2) {
    daemon.mDispatcher.OnTarget(now, MakeTarget("n" + std::to_string(n)));
  }
  std::set<TargetName> used;
  for (int arrivals = 0; arrivals < 100; ++arrivals, now += 5ms) {
    arrive();
    used.insert(open.back().first.mTarget);
  }
  CHECK(used.size() == kTargets);
}

} // namespace carobtide
