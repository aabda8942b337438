#include "routing_fixture.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;
using namespace carobtide::test;

TEST_CASE("a request is dispatched to a target that holds its model")
{
  for (const std::string_view policy : TargetPolicyNames()) {
    RouterOptions options = Options();
    options.mPolicy = std::string(policy);
    Router router(options);
    router.OnAnnouncement(At(0s), Engine("a", { "tagger" }));
    router.OnAnnouncement(At(0s), Engine("b", { "lister" }));
    const auto sent =
      Only<DispatchAttempt>(router.Admit(At(0s), ModelRequest(1)));
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].mTarget == TargetName("a"));
    CHECK(sent[0].mRequest == RequestId(1));
    CHECK_FALSE(sent[0].mHedge);
  }
}

TEST_CASE("a request for a model that no target holds is refused, not queued")
{
  Router router(Options());
  router.OnAnnouncement(At(0s), Engine("a", { "lister" }));
  const auto refused =
    Only<RefuseRequest>(router.Admit(At(0s), ModelRequest(1)));
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].mCode == ErrorCode::NoCapacity);
  CHECK(refused[0].mRetryAfter > 0s);
  CHECK(router.Stats().mRefused == 1);
}

TEST_CASE("the next queued request is dispatched when a slot is freed")
{
  Router router(Options());
  Announcement engine = Engine("a", { "tagger" });
  engine.mLoad.mSlots = 1;
  router.OnAnnouncement(At(0s), engine);
  const auto first =
    Only<DispatchAttempt>(router.Admit(At(0s), ModelRequest(1)));
  REQUIRE(first.size() == 1);
  CHECK(router.Admit(At(0s), ModelRequest(2)).empty());
  CHECK(router.Stats().mQueued == 1);
  const auto next = Only<DispatchAttempt>(
    router.OnFinished(At(1s), first[0].mAttempt, AttemptEnd::Whole, true));
  REQUIRE(next.size() == 1);
  CHECK(next[0].mRequest == RequestId(2));
  CHECK(router.Stats().mQueued == 0);
}

TEST_CASE("an idempotent request is retried at another target")
{
  Router router(Options());
  router.OnAnnouncement(At(0s), Engine("a", { "tagger" }));
  router.OnAnnouncement(At(0s), Engine("b", { "tagger" }));
  const auto first =
    Only<DispatchAttempt>(router.Admit(At(0s), ModelRequest(1)));
  REQUIRE(first.size() == 1);
  const auto second = Only<DispatchAttempt>(router.OnFinished(
    At(1ms), first[0].mAttempt, AttemptEnd::ConnectRefused, false));
  REQUIRE(second.size() == 1);
  CHECK(second[0].mTarget != first[0].mTarget);
  CHECK(second[0].mAttempt != first[0].mAttempt);
}

TEST_CASE("a non-idempotent request is never retried")
{
  for (const auto& [end, name] : kAttemptEnds.mRows) {
    Router router(Options());
    router.OnAnnouncement(At(0s), Engine("a", { "tagger" }));
    router.OnAnnouncement(At(0s), Engine("b", { "tagger" }));
    RequestFacts facts = ModelRequest(1);
    facts.mIdempotent = false;
    const auto sent = Only<DispatchAttempt>(router.Admit(At(0s), facts));
    REQUIRE(sent.size() == 1);
    const auto after = router.OnFinished(At(1ms), sent[0].mAttempt, end, false);
    CHECK(Only<DispatchAttempt>(after).empty());
    const bool failed =
      end != AttemptEnd::Whole && end != AttemptEnd::CallerGone;
    CHECK(Only<FailRequest>(after).size() == (failed ? 1 : 0));
    CHECK(Only<DispatchAttempt>(router.Tick(At(60s))).empty());
    CHECK(router.Stats().mInFlight == 0);
  }
}

TEST_CASE("no request is dispatched to a leaving or silent target")
{
  Router router(Options());
  Announcement engine = Engine("a", { "tagger" });
  router.OnAnnouncement(At(0s), engine);
  CHECK(router.IsReachable(ModelName("tagger")));
  SECTION("leaving")
  {
    engine.mLeaving = true;
    engine.mSequence = 2;
    router.OnAnnouncement(At(1s), engine);
  }
  SECTION("silent")
  {
    router.OnTargetSilent(At(1s), TargetName("a"));
  }
  CHECK_FALSE(router.IsReachable(ModelName("tagger")));
  CHECK(Only<RefuseRequest>(router.Admit(At(1s), ModelRequest(1))).size() == 1);
}

TEST_CASE("OnFinished ignores unknown and finished attempts")
{
  Router router(Options());
  router.OnAnnouncement(At(0s), Engine("a", { "tagger" }));
  const auto sent =
    Only<DispatchAttempt>(router.Admit(At(0s), ModelRequest(1)));
  REQUIRE(sent.size() == 1);
  const AttemptId id = sent[0].mAttempt;
  CHECK(
    router.OnFinished(At(1s), AttemptId(99), AttemptEnd::Whole, false).empty());
  router.OnFinished(At(1s), id, AttemptEnd::Whole, true);
  CHECK(
    router.OnFinished(At(2s), id, AttemptEnd::ConnectionLost, false).empty());
  CHECK(router.Stats().mInFlight == 0);
}

TEST_CASE("the attempts of a request are cancelled when its caller leaves")
{
  Router router(Options());
  router.OnAnnouncement(At(0s), Engine("a", { "tagger" }));
  const auto sent =
    Only<DispatchAttempt>(router.Admit(At(0s), ModelRequest(1)));
  REQUIRE(sent.size() == 1);
  const auto cancelled =
    Only<CancelAttempt>(router.OnCallerGone(At(1s), RequestId(1)));
  REQUIRE(cancelled.size() == 1);
  CHECK(cancelled[0].mAttempt == sent[0].mAttempt);
  CHECK(router.Stats().mInFlight == 0);
}
