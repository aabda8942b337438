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

TEST_CASE("a poison request is quarantined at its second crash")
{
  SuspectBench bench;
  // Fill until a second request shares the target of the first.
  const DispatchAttempt poison = bench.Send(1);
  std::vector<AttemptId> lost{ poison.mAttempt };
  std::vector<RequestId> innocents;
  for (std::uint64_t id = 2; id < 12; ++id) {
    const DispatchAttempt sent = bench.Send(id);
    if (sent.mTarget == poison.mTarget) {
      lost.push_back(sent.mAttempt);
      innocents.push_back(sent.mRequest);
    }
  }
  REQUIRE(!innocents.empty());
  CHECK(bench.Crash(poison.mTarget, lost).empty());
  std::size_t answered = 0;
  bool isQuarantined = false;
  for (int step = 0; step < 400 && !isQuarantined; ++step) {
    for (const auto& it : Only<DispatchAttempt>(bench.TickAfter(50ms))) {
      if (it.mRequest != RequestId(1)) {
        ++answered;
        const auto after = bench.mRouter.OnFinished(bench.mNow, it.mAttempt,
                                                    AttemptEnd::Whole, true);
        CHECK(Only<DispatchAttempt>(after).size() <= 1);
        for (const auto& next : Only<DispatchAttempt>(after)) {
          bench.mRouter.OnFinished(bench.mNow, next.mAttempt, AttemptEnd::Whole,
                                   true);
          answered += next.mRequest == RequestId(1) ? 0 : 1;
        }
        continue;
      }
      const auto effects = bench.Crash(it.mTarget, { it.mAttempt });
      const auto failed = Only<FailRequest>(effects);
      REQUIRE(failed.size() == 1);
      CHECK(failed[0].mRequest == RequestId(1));
      CHECK(failed[0].mCode == ErrorCode::Quarantined);
      CHECK(Only<AnnounceQuarantine>(effects).size() == 1);
      isQuarantined = true;
    }
  }
  CHECK(isQuarantined);
  // The resend is refused.
  RequestFacts resend = ModelRequest(50);
  resend.mFingerprint = ModelRequest(1).mFingerprint;
  const auto refused =
    Only<RefuseRequest>(bench.mRouter.Admit(bench.mNow, resend));
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].mCode == ErrorCode::Quarantined);
}

TEST_CASE("suspects run one at a time, alone on their target")
{
  SuspectBench bench;
  std::map<TargetName, std::vector<AttemptId>> byTarget;
  for (std::uint64_t id = 1; id <= 12; ++id) {
    const DispatchAttempt sent = bench.Send(id);
    byTarget[sent.mTarget].push_back(sent.mAttempt);
  }
  const auto& [crashed, lost] = *byTarget.begin();
  REQUIRE(lost.size() >= 2);
  bench.Crash(crashed, lost);
  // Idle targets, so that suspects need not wait for others.
  for (const auto& [target, attempts] : byTarget) {
    for (const AttemptId it : attempts) {
      if (target != crashed) {
        bench.mRouter.OnFinished(bench.mNow, it, AttemptEnd::Whole, true);
      }
    }
  }
  auto running = Only<DispatchAttempt>(bench.TickAfter(300ms));
  REQUIRE(running.size() == 1);
  CHECK(Only<DispatchAttempt>(bench.TickAfter(300ms)).empty());
  // Fresh work avoids the target that is taken.
  for (std::uint64_t id = 100; id < 110; ++id) {
    CHECK(bench.Send(id).mTarget != running[0].mTarget);
  }
  std::size_t done = 0;
  while (!running.empty()) {
    REQUIRE(running.size() == 1);
    ++done;
    running = Only<DispatchAttempt>(bench.mRouter.OnFinished(
      bench.mNow, running[0].mAttempt, AttemptEnd::Whole, true));
  }
  CHECK(done == lost.size());
}

TEST_CASE("a lost connection to a live target is an ordinary retry")
{
  SuspectBench bench;
  const DispatchAttempt sent = bench.Send(1);
  CHECK(
    bench.mRouter
      .OnFinished(bench.mNow, sent.mAttempt, AttemptEnd::ConnectionLost, false)
      .empty());
  bench.mNow += 500ms;
  Announcement alive = Engine(sent.mTarget.Text(), { "tagger" });
  alive.mSequence = 5;
  const auto retried =
    Only<DispatchAttempt>(bench.mRouter.OnAnnouncement(bench.mNow, alive));
  REQUIRE(retried.size() == 1);
  CHECK(retried[0].mRequest == RequestId(1));
}

TEST_CASE("the next suspect waits for the verdict on the one before")
{
  SuspectBench bench;
  const DispatchAttempt first = bench.Send(1);
  std::vector<AttemptId> lost{ first.mAttempt };
  std::vector<AttemptId> others;
  for (std::uint64_t id = 2; id < 12; ++id) {
    const DispatchAttempt sent = bench.Send(id);
    (sent.mTarget == first.mTarget ? lost : others).push_back(sent.mAttempt);
  }
  for (const AttemptId it : others) {
    bench.mRouter.OnFinished(bench.mNow, it, AttemptEnd::Whole, true);
  }
  REQUIRE(lost.size() >= 2);
  bench.Crash(first.mTarget, lost);
  const auto alone = Only<DispatchAttempt>(bench.TickAfter(300ms));
  REQUIRE(alone.size() == 1);
  bench.mRouter.OnFinished(bench.mNow, alone[0].mAttempt,
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
    table.MarkSuspect(At(1s), Digest{ 1, it });
  }
  CHECK(table.Size() == Quarantine::kCapacity);
  CHECK(table.Find(At(1s), Digest{ 9, 9 }) == Suspicion::Quarantined);
  table.MarkSuspect(At(1s), Digest{ 9, 9 });
  CHECK(table.Find(At(1s), Digest{ 9, 9 }) == Suspicion::Quarantined);
  table.Expire(At(1s) + Quarantine::kSuspectLifetime);
  CHECK(table.Size() == 1);
  table.Expire(At(1s) + Quarantine::kQuarantineLifetime);
  CHECK(table.Size() == 0);
}
