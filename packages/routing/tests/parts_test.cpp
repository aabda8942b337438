#include "carobtide/routing/latency_tracker.hpp"
#include "carobtide/routing/length_predictor.hpp"
#include "carobtide/routing/request_queue.hpp"
#include "carobtide/routing/route_stats.hpp"
#include "carobtide/routing/traffic_budget.hpp"
#include "carobtide/routing/wait_estimate.hpp"
#include "carobtide/routing/work_class.hpp"
#include "routing_fixture.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;
using namespace carobtide::test;

TEST_CASE("slowness rises at once and recovers with samples")
{
  LatencyTracker tracker;
  CHECK(tracker.Slowness(At(0s)) == Approx(1.0));
  tracker.ObservePending(At(1s), 8.0);
  CHECK(tracker.Slowness(At(1s)) == Approx(8.0));
  tracker.ObservePending(At(1s), 2.0);
  CHECK(tracker.Slowness(At(1s)) == Approx(8.0));
  tracker.Observe(At(1s), 1.0);
  tracker.Observe(At(1s), 1.0);
  CHECK(tracker.Slowness(At(1s)) < 2.5);
}

TEST_CASE("slowness decays to normal without samples")
{
  LatencyTracker tracker;
  tracker.ObservePending(At(0s), 10.0);
  CHECK(tracker.Slowness(At(1s)) > 5.0);
  CHECK(tracker.Slowness(At(60s)) < 1.1);
}

TEST_CASE(
  "long answers are predicted by caller and model, whatever the token limit")
{
  LengthPredictor lengths;
  const LengthKey archive =
    LengthKey::Of(CallerName("archive"), ModelName("tagger"));
  const LengthKey fitter =
    LengthKey::Of(CallerName("fitter"), ModelName("tagger"));
  for (int it = 0; it < 50; ++it) {
    lengths.Learn(archive, PriorityClass::Standard, 2000.0);
    lengths.Learn(fitter, PriorityClass::Interactive, 60.0);
  }
  CHECK(lengths.Estimate(archive, 4096).mIsLong);
  CHECK_FALSE(lengths.Estimate(fitter, 4096).mIsLong);
  CHECK_FALSE(lengths.Estimate(archive, 100).mIsLong);
  // A single long answer marks neither a known pair nor a new one as long.
  const LengthKey other =
    LengthKey::Of(CallerName("fitter"), ModelName("other"));
  lengths.Learn(other, PriorityClass::Interactive, 2000.0);
  CHECK_FALSE(lengths.Estimate(other, 4096).mIsLong);
  // The caller's average is the prior for a model that it has not used before.
  CHECK(
    lengths
      .Estimate(LengthKey::Of(CallerName("archive"), ModelName("new")), 4096)
      .mIsLong);
  lengths.Learn(fitter, PriorityClass::Interactive, 2000.0);
  CHECK_FALSE(lengths.Estimate(fitter, 4096).mIsLong);
}

TEST_CASE("the bounded length table still learns when it is full")
{
  LengthPredictor lengths;
  for (std::uint64_t it = 0; it < 3 * LengthPredictor::kCapacity; ++it) {
    const CallerName caller("caller-" + std::to_string(it));
    lengths.Learn(LengthKey::Of(caller, ModelName("m")),
                  PriorityClass::Standard, 2000.0);
  }
  const LengthKey last = LengthKey::Of(
    CallerName("caller-" + std::to_string(3 * LengthPredictor::kCapacity - 1)),
    ModelName("m"));
  CHECK(lengths.Estimate(last, 0).mTokens > 200.0);
}

TEST_CASE(
  "slots: long requests are capped, short interactive requests have a reserve")
{
  const SlotRules rules{ 0.5, 0.1, 0.25, 1 };
  SlotUse use;
  use.mSlots = 8;
  use.mOwn = 7;
  CHECK_FALSE(rules.HasRoom(WorkClass::ShortStandard, use));
  CHECK_FALSE(rules.HasRoom(WorkClass::Batch, use));
  CHECK(rules.HasRoom(WorkClass::ShortInteractive, use));
  use.mOwn = 10;
  CHECK_FALSE(rules.HasRoom(WorkClass::ShortInteractive, use));
  use.mOwn = 4;
  use.mOwnLong = 4;
  CHECK_FALSE(rules.HasRoom(WorkClass::LongStandard, use));
  CHECK_FALSE(rules.HasRoom(WorkClass::LongInteractive, use));
  CHECK(rules.HasRoom(WorkClass::ShortStandard, use));
  CHECK(rules.HasRoom(WorkClass::Batch, use));
}

TEST_CASE("slots: every daemon keeps its share, and overcommitment is bounded")
{
  const SlotRules rules{ 0.5, 0.1, 0.25, 6 };
  SlotUse use;
  use.mSlots = 16;
  use.mOthers = 16;
  use.mOwn = 1;
  CHECK(rules.HasRoom(WorkClass::ShortStandard, use));
  use.mOwn = 2;
  CHECK_FALSE(rules.HasRoom(WorkClass::ShortStandard, use));
  CHECK_FALSE(rules.HasRoom(WorkClass::Batch, use));
}

TEST_CASE("the queue is FIFO for each caller and bounded for each priority")
{
  RequestQueue queue(8);
  const QueueKey batch{ WorkClass::Batch, 0, 0 };
  const QueueKey urgent{ WorkClass::ShortInteractive, 0, 1 };
  std::uint64_t id = 0;
  while (queue.HasRoom(WorkClass::Batch)) {
    queue.Push(batch, RequestId(++id), false);
  }
  CHECK(queue.Size() == 4);
  while (queue.HasRoom(WorkClass::ShortInteractive)) {
    queue.Push(urgent, RequestId(++id), false);
  }
  CHECK(queue.Size() == 8);
  CHECK(queue.Front(batch) == RequestId(1));
  CHECK(queue.Back(batch) == RequestId(4));
  CHECK(queue.Remove(batch, RequestId(1)));
  CHECK_FALSE(queue.Remove(batch, RequestId(1)));
  CHECK(queue.Front(batch) == RequestId(2));
  queue.Push(batch, RequestId(1), true);
  CHECK(queue.Front(batch) == RequestId(1));
  CHECK(queue.CountUpTo(0, WorkClass::ShortInteractive) == 4);
  CHECK(queue.CountUpTo(0, WorkClass::Batch) == 8);
}

TEST_CASE("extra attempts are limited to a share of traffic")
{
  TrafficBudget budget(0.1);
  int taken = 0;
  for (int it = 0; it < 10'000; ++it) {
    budget.OnFirstAttempt();
    taken += budget.Take() ? 1 : 0;
  }
  CHECK(taken <= 1000 + static_cast<int>(TrafficBudget::kBurst));
  CHECK(taken >= 990);
  TrafficBudget none(0.0);
  none.OnFirstAttempt();
  CHECK_FALSE(none.Take());
}

TEST_CASE("a caller within its share is delayed only by its own requests")
{
  WaitInputs inputs;
  inputs.mAhead = 100;
  inputs.mOwnAhead = 0;
  inputs.mShare = 0.5;
  inputs.mInFlight = 10;
  inputs.mMeanSeconds = 2.0;
  CHECK(EstimateWaitSeconds(inputs) == Approx(0.4));
  inputs.mOwnAhead = 100;
  CHECK(EstimateWaitSeconds(inputs) == Approx(20.2));
}

TEST_CASE("route averages converge from the initial value")
{
  RouteStats stats;
  for (int it = 0; it < 100; ++it) {
    stats.LearnFirstByte(0.05);
    stats.Learn({ 0.05, 1.05, 100.0 });
  }
  CHECK(stats.FirstByteSeconds() == Approx(0.05).epsilon(0.05));
  CHECK(stats.ExpectedSeconds(200.0) == Approx(2.05).epsilon(0.05));
}

TEST_CASE("demand rates decay")
{
  DemandMeter meter;
  for (int it = 0; it < 1000; ++it) {
    meter.Add(At(it * 100ms), 0.2);
  }
  CHECK(meter.Fast(At(100s)) == Approx(2.0).epsilon(0.1));
  CHECK(meter.Fast(At(200s)) < 0.01);
  CHECK(meter.Slow(At(200s)) > 0.1);
}
