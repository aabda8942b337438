#include "carobtide/routing/quarantine.hpp"
#include "routing_fixture.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;
using namespace carobtide::test;

namespace {

/** A router with three engines; a crashed engine restarts. */
class SuspectFixture
{
public:
  SuspectFixture()
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

  /** Ends the attempts as lost, then announces the restarted target. */
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

TEST_CASE("attempts lost in a crash are retried at once at another target")
{
  SuspectFixture fixture;
  const DispatchAttempt first = fixture.Send(1);
  std::vector<AttemptId> lost{ first.mAttempt };
  for (std::uint64_t id = 2; id < 12; ++id) {
    const DispatchAttempt sent = fixture.Send(id);
    if (sent.mTarget == first.mTarget) {
      lost.push_back(sent.mAttempt);
    }
  }
  REQUIRE(lost.size() >= 2);
  // There is no evidence of a crash yet, so nothing is delayed or isolated.
  for (const AttemptId it : lost) {
    const auto again = Only<DispatchAttempt>(fixture.mRouter.OnFinished(
      fixture.mNow, it, AttemptEnd::ConnectionLost, false));
    REQUIRE(again.size() == 1);
    CHECK(again[0].mTarget != first.mTarget);
  }
}

TEST_CASE(
  "a target that lost a connection is avoided until it announces itself")
{
  SuspectFixture fixture;
  const DispatchAttempt sent = fixture.Send(1);
  const auto end =
    GENERATE(AttemptEnd::ConnectionLost, AttemptEnd::ConnectRefused);
  fixture.mRouter.OnFinished(fixture.mNow, sent.mAttempt, end, false);
  const auto count = [&](std::uint64_t aFirst) {
    std::size_t hits = 0;
    for (std::uint64_t id = aFirst; id < aFirst + 12; ++id) {
      const DispatchAttempt again = fixture.Send(id);
      hits += again.mTarget == sent.mTarget ? 1 : 0;
      fixture.mRouter.OnFinished(fixture.mNow, again.mAttempt,
                                 AttemptEnd::Whole, true);
    }
    return hits;
  };
  fixture.mNow += 2s;
  CHECK(count(100) == 0);
  Announcement alive = Engine(sent.mTarget.Text(), { "tagger" });
  alive.mSequence = 5;
  fixture.mRouter.OnAnnouncement(fixture.mNow, alive);
  CHECK(count(200) > 0);
}

TEST_CASE("requests end at once when their last target is lost")
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

TEST_CASE("a request that crashes two targets is quarantined")
{
  SuspectFixture fixture;
  // Other requests in flight at the first crash complete at other targets.
  const DispatchAttempt poison = fixture.Send(1);
  std::vector<AttemptId> lost;
  for (std::uint64_t id = 2; id < 12; ++id) {
    const DispatchAttempt sent = fixture.Send(id);
    if (sent.mTarget == poison.mTarget) {
      lost.push_back(sent.mAttempt);
    }
  }
  REQUIRE(!lost.empty());
  RouterEffects after;
  for (const AttemptId it : lost) {
    SuspectFixture::Append(
      after, fixture.mRouter.OnFinished(fixture.mNow, it,
                                        AttemptEnd::ConnectionLost, false));
  }
  for (const auto& it : Only<DispatchAttempt>(after)) {
    fixture.mRouter.OnFinished(fixture.mNow, it.mAttempt, AttemptEnd::Whole,
                               true);
  }
  const auto crash = fixture.Crash(poison.mTarget, { poison.mAttempt });
  const auto again = Only<DispatchAttempt>(crash);
  REQUIRE(again.size() == 1);
  CHECK(Only<AnnounceQuarantine>(crash).empty());
  // The others have completed since, so only the poison request is reported.
  CHECK(Only<AnnounceCrash>(crash).size() == 1);

  const auto second = fixture.Crash(again[0].mTarget, { again[0].mAttempt });
  CHECK(Only<AnnounceQuarantine>(second).size() == 1);
  const auto failed = Only<FailRequest>(second);
  REQUIRE(failed.size() == 1);
  CHECK(failed[0].mRequest == RequestId(1));
  CHECK(failed[0].mCode == ErrorCode::Quarantined);
  // A new request with the same content is refused.
  RequestFacts resend = ModelRequest(50);
  resend.mFingerprint = ModelRequest(1).mFingerprint;
  const auto refused =
    Only<RefuseRequest>(fixture.mRouter.Admit(fixture.mNow, resend));
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].mCode == ErrorCode::Quarantined);
}

TEST_CASE("crashes reported by several daemons add up")
{
  SuspectFixture fixture;
  const Digest content = ModelRequest(1).mFingerprint;
  const CrashReport elsewhere{ content, TargetName("z"), Incarnation(4) };
  fixture.mRouter.OnCrashReport(fixture.mNow, elsewhere);
  // A repeated report counts as one crash, so the request runs normally.
  fixture.mRouter.OnCrashReport(fixture.mNow, elsewhere);
  const DispatchAttempt sent = fixture.Send(1);
  const auto effects = fixture.Crash(sent.mTarget, { sent.mAttempt });
  CHECK(Only<AnnounceQuarantine>(effects).size() == 1);
}

TEST_CASE("a peer's earlier report of the same crash is not counted twice")
{
  SuspectFixture fixture;
  const DispatchAttempt sent = fixture.Send(1);
  fixture.mRouter.OnCrashReport(fixture.mNow, { ModelRequest(1).mFingerprint,
                                                sent.mTarget, Incarnation(1) });
  const auto effects = fixture.Crash(sent.mTarget, { sent.mAttempt });
  CHECK(Only<AnnounceQuarantine>(effects).empty());
  CHECK(Only<DispatchAttempt>(effects).size() == 1);
}

namespace {

/** Reports requests 1 and 2 as in flight at the same two crashes. */
void ReportTwoCrashesEach(SuspectFixture& aFixture)
{
  for (const std::uint64_t id : { 1, 2 }) {
    for (const std::uint64_t crash : { 1, 2 }) {
      aFixture.mRouter.OnCrashReport(
        aFixture.mNow,
        { ModelRequest(id).mFingerprint, TargetName("z"), Incarnation(crash) });
    }
  }
}

} // namespace

TEST_CASE("suspects run one at a time, each alone on its target")
{
  SuspectFixture fixture;
  ReportTwoCrashesEach(fixture);
  auto running =
    Only<DispatchAttempt>(fixture.mRouter.Admit(fixture.mNow, ModelRequest(1)));
  REQUIRE(running.size() == 1);
  CHECK(fixture.mRouter.Admit(fixture.mNow, ModelRequest(2)).empty());
  CHECK(Only<DispatchAttempt>(fixture.TickAfter(300ms)).empty());
  // New requests avoid the isolated target.
  for (std::uint64_t id = 100; id < 110; ++id) {
    CHECK(fixture.Send(id).mTarget != running[0].mTarget);
  }
  running = Only<DispatchAttempt>(fixture.mRouter.OnFinished(
    fixture.mNow, running[0].mAttempt, AttemptEnd::Whole, true));
  REQUIRE(running.size() == 1);
  CHECK(running[0].mRequest == RequestId(2));
}

TEST_CASE("a suspect that crashes its target while isolated is quarantined")
{
  SuspectFixture fixture;
  ReportTwoCrashesEach(fixture);
  const DispatchAttempt alone = fixture.Send(1);
  const auto effects = fixture.Crash(alone.mTarget, { alone.mAttempt });
  CHECK(Only<AnnounceQuarantine>(effects).size() == 1);
  const auto failed = Only<FailRequest>(effects);
  REQUIRE(failed.size() == 1);
  CHECK(failed[0].mCode == ErrorCode::Quarantined);
}

TEST_CASE("a lost connection to a live target is not counted as a crash")
{
  SuspectFixture fixture;
  const DispatchAttempt sent = fixture.Send(1);
  const auto retried = Only<DispatchAttempt>(fixture.mRouter.OnFinished(
    fixture.mNow, sent.mAttempt, AttemptEnd::ConnectionLost, false));
  REQUIRE(retried.size() == 1);
  CHECK(retried[0].mRequest == RequestId(1));
  CHECK(retried[0].mTarget != sent.mTarget);
  // The same process announces itself, so no crash is recorded.
  fixture.mNow += 500ms;
  Announcement alive = Engine(sent.mTarget.Text(), { "tagger" });
  alive.mSequence = 5;
  CHECK(fixture.mRouter.OnAnnouncement(fixture.mNow, alive).empty());
  const auto effects =
    fixture.Crash(retried[0].mTarget, { retried[0].mAttempt });
  CHECK(Only<AnnounceQuarantine>(effects).empty());
}

TEST_CASE("the next suspect waits for the crash decision on the previous one")
{
  SuspectFixture fixture;
  ReportTwoCrashesEach(fixture);
  const DispatchAttempt alone = fixture.Send(1);
  CHECK(fixture.mRouter.Admit(fixture.mNow, ModelRequest(2)).empty());
  fixture.mRouter.OnFinished(fixture.mNow, alone.mAttempt,
                             AttemptEnd::ConnectionLost, false);
  CHECK(Only<DispatchAttempt>(fixture.TickAfter(300ms)).empty());
}

TEST_CASE("a peer's quarantine ends running requests and refuses new ones")
{
  SuspectFixture fixture;
  const DispatchAttempt sent = fixture.Send(1);
  const auto effects =
    fixture.mRouter.OnQuarantine(fixture.mNow, ModelRequest(1).mFingerprint);
  CHECK(Only<CancelAttempt>(effects).size() == 1);
  const auto failed = Only<FailRequest>(effects);
  REQUIRE(failed.size() == 1);
  CHECK(failed[0].mCode == ErrorCode::Quarantined);
  CHECK(sent.mRequest == failed[0].mRequest);
}

TEST_CASE("the quarantine table is bounded and its entries expire")
{
  Quarantine table;
  table.MarkQuarantined(At(0s), Digest{ 9, 9 });
  for (std::uint64_t it = 0; it < 2 * Quarantine::kCapacity; ++it) {
    table.AddCrash(At(1s), { Digest{ 1, it }, TargetName("a"), {} });
  }
  CHECK(table.Size() == Quarantine::kCapacity);
  CHECK(table.Find(At(1s), Digest{ 9, 9 }) == Suspicion::Quarantined);
  for (const std::uint64_t it : { 1, 2 }) {
    table.AddCrash(At(1s),
                   { Digest{ 9, 9 }, TargetName("a"), Incarnation(it) });
  }
  CHECK(table.Find(At(1s), Digest{ 9, 9 }) == Suspicion::Quarantined);
  table.Expire(At(1s) + Quarantine::kSuspectLifetime);
  CHECK(table.Size() == 1);
  table.Expire(At(1s) + Quarantine::kQuarantineLifetime);
  CHECK(table.Size() == 0);
}
