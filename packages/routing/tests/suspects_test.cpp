#include "carobtide/routing/quarantine.hpp"
#include "routing_fixture.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;
using namespace carobtide::test;

namespace {

/** Three engines and a router; crashes restart an engine. */
class SuspectBench
{
public:
  SuspectBench()
    : mRouter(Options())
  {
    for (const char* name : { "a", "b", "c" }) {
      mRouter.OnAnnouncement(mNow, Engine(name, { "tagger" }));
    }
  }

  DispatchAttempt Send(std::uint64_t aId)
  {
    const auto sent =
      Only<DispatchAttempt>(mRouter.Admit(mNow, ModelRequest(aId)));
    REQUIRE(sent.size() == 1);
    return sent[0];
  }

  /** The target restarts: its attempts are lost, then it announces itself. */
  RouterEffects Crash(const TargetName& aTarget,
                      const std::vector<AttemptId>& aAttempts)
  {
    RouterEffects effects;
    for (const AttemptId it : aAttempts) {
      Append(effects,
             mRouter.OnFinished(mNow, it, AttemptEnd::ConnectionLost, false));
    }
    Announcement engine = Engine(aTarget.Text(), { "tagger" });
    engine.mIncarnation = Incarnation(++mIncarnation);
    mNow += 100ms;
    Append(effects, mRouter.OnAnnouncement(mNow, engine));
    return effects;
  }

  RouterEffects TickAfter(Duration aTime)
  {
    mNow += aTime;
    return mRouter.Tick(mNow);
  }

  static void Append(RouterEffects& aTo, const RouterEffects& aFrom)
  {
    aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
  }

  Router mRouter;
  Instant mNow = At(0s);
  std::uint64_t mIncarnation = 1;
};

} // namespace

TEST_CASE("what a crash breaks goes on at once at another target")
{
  SuspectBench bench;
  const DispatchAttempt first = bench.Send(1);
  std::vector<AttemptId> lost{ first.mAttempt };
  for (std::uint64_t id = 2; id < 12; ++id) {
    const DispatchAttempt sent = bench.Send(id);
    if (sent.mTarget == first.mTarget) {
      lost.push_back(sent.mAttempt);
    }
  }
  REQUIRE(lost.size() >= 2);
  // Before anything tells that the process died: no pause, no isolation.
  for (const AttemptId it : lost) {
    const auto again = Only<DispatchAttempt>(bench.mRouter.OnFinished(
      bench.mNow, it, AttemptEnd::ConnectionLost, false));
    REQUIRE(again.size() == 1);
    CHECK(again[0].mTarget != first.mTarget);
  }
}

TEST_CASE("a target that lost a connection is not chosen until it is heard of")
{
  SuspectBench bench;
  const DispatchAttempt sent = bench.Send(1);
  const auto end =
    GENERATE(AttemptEnd::ConnectionLost, AttemptEnd::ConnectRefused);
  bench.mRouter.OnFinished(bench.mNow, sent.mAttempt, end, false);
  const auto count = [&](std::uint64_t aFirst) {
    std::size_t there = 0;
    for (std::uint64_t id = aFirst; id < aFirst + 12; ++id) {
      const DispatchAttempt again = bench.Send(id);
      there += again.mTarget == sent.mTarget ? 1 : 0;
      bench.mRouter.OnFinished(bench.mNow, again.mAttempt, AttemptEnd::Whole,
                               true);
    }
    return there;
  };
  bench.mNow += 2s;
  CHECK(count(100) == 0);
  Announcement alive = Engine(sent.mTarget.Text(), { "tagger" });
  alive.mSequence = 5;
  bench.mRouter.OnAnnouncement(bench.mNow, alive);
  CHECK(count(200) > 0);
}

TEST_CASE("what no target can serve any more ends at once")
{
  Router router(Options());
  router.OnAnnouncement(At(0s), Engine("a", { "tagger" }));
  const auto sent =
    Only<DispatchAttempt>(router.Admit(At(0s), ModelRequest(1)));
  REQUIRE(sent.size() == 1);
  SECTION("its target lost the connection")
  {
    const auto failed = Only<FailRequest>(router.OnFinished(
      At(1s), sent[0].mAttempt, AttemptEnd::ConnectionLost, false));
    REQUIRE(failed.size() == 1);
    CHECK(failed[0].mCode == ErrorCode::ConnectionLost);
  }
  SECTION("it waited for a slot")
  {
    for (std::uint64_t id = 2; id < 20; ++id) {
      router.Admit(At(0s), ModelRequest(id));
    }
    const RouterStats stats = router.Stats();
    REQUIRE(stats.mQueued > 0);
    const auto refused =
      Only<RefuseRequest>(router.OnTargetSilent(At(1s), TargetName("a")));
    CHECK(refused.size() == stats.mQueued);
    CHECK(std::ranges::all_of(refused, [](const RefuseRequest& aRefusal) {
      return aRefusal.mCode == ErrorCode::NoCapacity;
    }));
  }
}

TEST_CASE("a poison request is quarantined at its second crash")
{
  SuspectBench bench;
  // Others share the target of the first crash, and go on elsewhere.
  const DispatchAttempt poison = bench.Send(1);
  std::vector<AttemptId> lost;
  for (std::uint64_t id = 2; id < 12; ++id) {
    const DispatchAttempt sent = bench.Send(id);
    if (sent.mTarget == poison.mTarget) {
      lost.push_back(sent.mAttempt);
    }
  }
  REQUIRE(!lost.empty());
  RouterEffects after;
  for (const AttemptId it : lost) {
    SuspectBench::Append(
      after, bench.mRouter.OnFinished(bench.mNow, it,
                                      AttemptEnd::ConnectionLost, false));
  }
  for (const auto& it : Only<DispatchAttempt>(after)) {
    bench.mRouter.OnFinished(bench.mNow, it.mAttempt, AttemptEnd::Whole, true);
  }
  const auto crash = bench.Crash(poison.mTarget, { poison.mAttempt });
  const auto again = Only<DispatchAttempt>(crash);
  REQUIRE(again.size() == 1);
  CHECK(Only<AnnounceQuarantine>(crash).empty());
  // Of those in flight there, only the poison has not run to its end since.
  CHECK(Only<AnnounceCrash>(crash).size() == 1);

  const auto second = bench.Crash(again[0].mTarget, { again[0].mAttempt });
  CHECK(Only<AnnounceQuarantine>(second).size() == 1);
  const auto failed = Only<FailRequest>(second);
  REQUIRE(failed.size() == 1);
  CHECK(failed[0].mRequest == RequestId(1));
  CHECK(failed[0].mCode == ErrorCode::Quarantined);
  // The resend is refused.
  RequestFacts resend = ModelRequest(50);
  resend.mFingerprint = ModelRequest(1).mFingerprint;
  const auto refused =
    Only<RefuseRequest>(bench.mRouter.Admit(bench.mNow, resend));
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].mCode == ErrorCode::Quarantined);
}

TEST_CASE("crashes of one content add up over daemons")
{
  SuspectBench bench;
  const Digest content = ModelRequest(1).mFingerprint;
  const CrashReport there{ content, TargetName("z"), Incarnation(4) };
  bench.mRouter.OnCrashReport(bench.mNow, there);
  // Told of twice, it is one crash: the request still runs as any other.
  bench.mRouter.OnCrashReport(bench.mNow, there);
  const DispatchAttempt sent = bench.Send(1);
  const auto effects = bench.Crash(sent.mTarget, { sent.mAttempt });
  CHECK(Only<AnnounceQuarantine>(effects).size() == 1);
}

TEST_CASE("a peer that tells of the same crash first adds nothing")
{
  SuspectBench bench;
  const DispatchAttempt sent = bench.Send(1);
  bench.mRouter.OnCrashReport(
    bench.mNow, { ModelRequest(1).mFingerprint, sent.mTarget, Incarnation(1) });
  const auto effects = bench.Crash(sent.mTarget, { sent.mAttempt });
  CHECK(Only<AnnounceQuarantine>(effects).empty());
  CHECK(Only<DispatchAttempt>(effects).size() == 1);
}

namespace {

/** Two contents that were both in flight at the same two crashes. */
void MakeSuspects(SuspectBench& aBench)
{
  for (const std::uint64_t id : { 1, 2 }) {
    for (const std::uint64_t crash : { 1, 2 }) {
      aBench.mRouter.OnCrashReport(
        aBench.mNow,
        { ModelRequest(id).mFingerprint, TargetName("z"), Incarnation(crash) });
    }
  }
}

} // namespace

TEST_CASE("suspects run one at a time, alone on their target")
{
  SuspectBench bench;
  MakeSuspects(bench);
  auto running =
    Only<DispatchAttempt>(bench.mRouter.Admit(bench.mNow, ModelRequest(1)));
  REQUIRE(running.size() == 1);
  CHECK(bench.mRouter.Admit(bench.mNow, ModelRequest(2)).empty());
  CHECK(Only<DispatchAttempt>(bench.TickAfter(300ms)).empty());
  // Fresh work avoids the target that is taken.
  for (std::uint64_t id = 100; id < 110; ++id) {
    CHECK(bench.Send(id).mTarget != running[0].mTarget);
  }
  running = Only<DispatchAttempt>(bench.mRouter.OnFinished(
    bench.mNow, running[0].mAttempt, AttemptEnd::Whole, true));
  REQUIRE(running.size() == 1);
  CHECK(running[0].mRequest == RequestId(2));
}

TEST_CASE("a suspect that crashes its target alone is quarantined")
{
  SuspectBench bench;
  MakeSuspects(bench);
  const DispatchAttempt alone = bench.Send(1);
  const auto effects = bench.Crash(alone.mTarget, { alone.mAttempt });
  CHECK(Only<AnnounceQuarantine>(effects).size() == 1);
  const auto failed = Only<FailRequest>(effects);
  REQUIRE(failed.size() == 1);
  CHECK(failed[0].mCode == ErrorCode::Quarantined);
}

TEST_CASE("a lost connection to a live target is an ordinary retry")
{
  SuspectBench bench;
  const DispatchAttempt sent = bench.Send(1);
  const auto retried = Only<DispatchAttempt>(bench.mRouter.OnFinished(
    bench.mNow, sent.mAttempt, AttemptEnd::ConnectionLost, false));
  REQUIRE(retried.size() == 1);
  CHECK(retried[0].mRequest == RequestId(1));
  CHECK(retried[0].mTarget != sent.mTarget);
  // The process is heard of again: no crash, and nothing against the content.
  bench.mNow += 500ms;
  Announcement alive = Engine(sent.mTarget.Text(), { "tagger" });
  alive.mSequence = 5;
  CHECK(bench.mRouter.OnAnnouncement(bench.mNow, alive).empty());
  const auto effects = bench.Crash(retried[0].mTarget, { retried[0].mAttempt });
  CHECK(Only<AnnounceQuarantine>(effects).empty());
}

TEST_CASE("the next suspect waits for the verdict on the one before")
{
  SuspectBench bench;
  MakeSuspects(bench);
  const DispatchAttempt alone = bench.Send(1);
  CHECK(bench.mRouter.Admit(bench.mNow, ModelRequest(2)).empty());
  bench.mRouter.OnFinished(bench.mNow, alone.mAttempt,
                           AttemptEnd::ConnectionLost, false);
  CHECK(Only<DispatchAttempt>(bench.TickAfter(300ms)).empty());
}

TEST_CASE("a peer's quarantine ends what runs and refuses what comes")
{
  SuspectBench bench;
  const DispatchAttempt sent = bench.Send(1);
  const auto effects =
    bench.mRouter.OnQuarantine(bench.mNow, ModelRequest(1).mFingerprint);
  CHECK(Only<CancelAttempt>(effects).size() == 1);
  const auto failed = Only<FailRequest>(effects);
  REQUIRE(failed.size() == 1);
  CHECK(failed[0].mCode == ErrorCode::Quarantined);
  CHECK(sent.mRequest == failed[0].mRequest);
}

TEST_CASE("the quarantine table is bounded and forgets")
{
  Quarantine table;
  table.MarkQuarantined(At(0s), Digest{ 9, 9 });
  for (std::uint64_t it = 0; it < 2 * Quarantine::kCapacity; ++it) {
    table.AddStrike(At(1s), { Digest{ 1, it }, TargetName("a"), {} });
  }
  CHECK(table.Size() == Quarantine::kCapacity);
  CHECK(table.Find(At(1s), Digest{ 9, 9 }) == Suspicion::Quarantined);
  for (const std::uint64_t it : { 1, 2 }) {
    table.AddStrike(At(1s),
                    { Digest{ 9, 9 }, TargetName("a"), Incarnation(it) });
  }
  CHECK(table.Find(At(1s), Digest{ 9, 9 }) == Suspicion::Quarantined);
  table.Expire(At(1s) + Quarantine::kSuspectLifetime);
  CHECK(table.Size() == 1);
  table.Expire(At(1s) + Quarantine::kQuarantineLifetime);
  CHECK(table.Size() == 0);
}
