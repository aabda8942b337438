#include "carobtide/cli/engine_model.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace carobtide;

namespace {

Instant At(std::int64_t aMillis)
{
  return Instant(std::chrono::milliseconds(aMillis));
}

SequenceSpec Spec(std::uint64_t aId, std::uint32_t aPrompt,
                  std::uint32_t aAnswer, std::uint32_t aPriority = 1)
{
  return { SequenceId(aId), aPrompt, aAnswer, aPriority, false };
}

/** Runs the model from due time to due time; when each sequence finished. */
std::map<SequenceId, Instant> FinishTimes(EngineModel& aModel)
{
  std::map<SequenceId, Instant> times;
  while (const auto due = aModel.NextDue()) {
    for (const auto& progress : aModel.Advance(*due)) {
      if (progress.mFinished) {
        times[progress.mId] = *due;
      }
    }
  }
  return times;
}

EngineOptions Options()
{
  EngineOptions options;
  options.mTokensPerSecond = 100;
  options.mPrefillTokensPerSecond = 1000;
  options.mSlots = 2;
  options.mMaxRunning = 4;
  return options;
}

} // namespace

TEST_CASE("a sequence takes its prefill and its decode time", "[engine]")
{
  EngineModel model(Options());
  model.Submit(At(0), Spec(1, 500, 50));
  const auto times = FinishTimes(model);
  CHECK(times.at(SequenceId(1)) >= At(1000));
  CHECK(times.at(SequenceId(1)) <= At(1001));
}

TEST_CASE("beyond its slots the batch shares the decode rate", "[engine]")
{
  EngineModel model(Options());
  for (std::uint64_t id = 1; id <= 4; ++id) {
    model.Submit(At(0), Spec(id, 0, 100));
  }
  const auto times = FinishTimes(model);
  CHECK(times.at(SequenceId(4)) >= At(2000));
  CHECK(times.at(SequenceId(4)) <= At(2001));
}

TEST_CASE("the waiting queue is ordered by priority, then arrival", "[engine]")
{
  EngineOptions options = Options();
  options.mMaxRunning = 1;
  EngineModel model(options);
  model.Submit(At(0), Spec(1, 0, 10));
  model.Submit(At(0), Spec(2, 0, 10, 2));
  model.Submit(At(0), Spec(3, 0, 10, 0));
  model.Submit(At(0), Spec(4, 0, 10, 0));
  CHECK(model.Load().mWaiting == 3);
  const auto times = FinishTimes(model);
  CHECK(times.at(SequenceId(3)) < times.at(SequenceId(4)));
  CHECK(times.at(SequenceId(4)) < times.at(SequenceId(2)));
}

TEST_CASE("a cancelled sequence frees its place", "[engine]")
{
  EngineOptions options = Options();
  options.mMaxRunning = 1;
  EngineModel model(options);
  model.Submit(At(0), Spec(1, 0, 1000));
  model.Submit(At(0), Spec(2, 0, 10));
  model.Cancel(At(50), SequenceId(1));
  const auto times = FinishTimes(model);
  CHECK(times.size() == 1);
  CHECK(times.at(SequenceId(2)) <= At(151));
  CHECK(model.Load().mRunning == 0);
  CHECK(model.Load().mKvUsed == 0.0);
}

TEST_CASE("a sequence waits while the KV cache is full", "[engine]")
{
  EngineOptions options = Options();
  options.mKvTokens = 150;
  EngineModel model(options);
  model.Submit(At(0), Spec(1, 50, 50));
  model.Submit(At(0), Spec(2, 50, 50));
  CHECK(model.Load().mRunning == 1);
  CHECK(model.Load().mWaiting == 1);
  CHECK(FinishTimes(model).size() == 2);
}

TEST_CASE("a slowed engine takes longer by the factor", "[engine]")
{
  EngineModel model(Options());
  model.Submit(At(0), Spec(1, 0, 100));
  model.SetSlowness(At(500), 10.0);
  const auto times = FinishTimes(model);
  CHECK(times.at(SequenceId(1)) >= At(5500));
  CHECK(times.at(SequenceId(1)) <= At(5501));
}

TEST_CASE("a stream reports each token once, in order", "[engine]")
{
  EngineModel model(Options());
  SequenceSpec spec = Spec(1, 10, 20);
  spec.mStreaming = true;
  model.Submit(At(0), spec);
  std::uint32_t tokens = 0;
  bool finished = false;
  while (const auto due = model.NextDue()) {
    for (const auto& progress : model.Advance(*due)) {
      CHECK(progress.mTokens > tokens);
      tokens = progress.mTokens;
      finished = progress.mFinished;
    }
  }
  CHECK(tokens == 20);
  CHECK(finished);
}

TEST_CASE("an engine without rates answers at once", "[engine]")
{
  EngineOptions options;
  options.mTokensPerSecond = 0;
  options.mPrefillTokensPerSecond = 0;
  EngineModel model(options);
  model.Submit(At(7), Spec(1, 1000, 1000));
  const auto progress = model.Advance(At(7));
  REQUIRE(progress.size() == 1);
  CHECK(progress.front().mFinished);
}
