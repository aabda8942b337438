#include "routing_fixture.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;
using namespace carobtide::test;

namespace {

constexpr Duration kFirstByteLimit = 800ms;

/** A streaming request with a short first-byte deadline and 30 s in all. */
RequestFacts ShortFirstByteDeadline()
{
  RequestFacts facts = ModelRequest(1);
  facts.mStreaming = true;
  facts.mFirstByteDeadline = At(kFirstByteLimit);
  facts.mDeadline = At(30s);
  return facts;
}

/** Ticks every 10 ms from aFrom to aTo; returns all effects. */
RouterEffects AdvanceTime(Router& aRouter, Duration aFrom, Duration aTo)
{
  RouterEffects all;
  for (Duration at = aFrom; at <= aTo; at += 10ms) {
    const RouterEffects effects = aRouter.Tick(At(at));
    all.insert(all.end(), effects.begin(), effects.end());
  }
  return all;
}

} // namespace

TEST_CASE("the first-byte deadline does not apply to a resumed answer")
{
  Router router(Options());
  router.OnAnnouncement(At(0s), Engine("a", { "tagger" }));
  const auto first =
    Only<DispatchAttempt>(router.Admit(At(0s), ShortFirstByteDeadline()));
  REQUIRE(first.size() == 1);
  router.OnAnnouncement(At(0s), Engine("b", { "tagger" }));
  router.OnFirstByte(At(100ms), first[0].mAttempt);

  // The target dies after the first-byte deadline has passed.
  auto effects = router.OnFinished(At(2s), first[0].mAttempt,
                                   AttemptEnd::ConnectionLost, false);
  auto silent = router.OnTargetSilent(At(2s), TargetName("a"));
  effects.insert(effects.end(), silent.begin(), silent.end());
  const auto later = AdvanceTime(router, 2s, 8s);
  effects.insert(effects.end(), later.begin(), later.end());
  CHECK(Only<FailRequest>(effects).empty());
  CHECK(Only<RefuseRequest>(effects).empty());
  const auto second = Only<DispatchAttempt>(effects);
  REQUIRE(second.size() == 1);
  CHECK(second[0].mTarget == TargetName("b"));
}

TEST_CASE("a retry avoids the target that refused the connection")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RouterOptions options = Options();
    options.mSeed = seed;
    Router router(options);
    router.OnAnnouncement(At(0s), Engine("a", { "tagger" }));
    router.OnAnnouncement(At(0s), Engine("b", { "tagger" }));
    auto sent = Only<DispatchAttempt>(router.Admit(At(0s), ModelRequest(1)));
    REQUIRE(sent.size() == 1);
    const TargetName refusing = sent[0].mTarget;
    sent = Only<DispatchAttempt>(router.OnFinished(
      At(1ms), sent[0].mAttempt, AttemptEnd::ConnectRefused, false));
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].mTarget != refusing);
  }
}

TEST_CASE("refused connections do not count towards the attempt limit")
{
  Router router(Options());
  for (const char* name : { "a", "b", "c", "d", "e" }) {
    router.OnAnnouncement(At(0s), Engine(name, { "tagger" }));
  }
  auto sent = Only<DispatchAttempt>(router.Admit(At(0s), ModelRequest(1)));
  std::vector<TargetName> tried;
  while (sent.size() == 1 && tried.size() < 4) {
    tried.push_back(sent[0].mTarget);
    sent = Only<DispatchAttempt>(router.OnFinished(
      At(1ms), sent[0].mAttempt, AttemptEnd::ConnectRefused, false));
  }
  // Four refusals exceed mMaxAttempts, yet the fifth target is tried.
  REQUIRE(sent.size() == 1);
  tried.push_back(sent[0].mTarget);
  std::ranges::sort(tried);
  CHECK(std::adjacent_find(tried.begin(), tried.end()) == tried.end());
}
