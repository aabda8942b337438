#include "../src/stop_schedule.hpp"

#include <catch2/catch.hpp>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };

Route MakeRoute(RequestKind aKind, Duration aTimeout)
{
  Route route;
  route.mKind = aKind;
  route.mTimeout = aTimeout;
  return route;
}

} // namespace

TEST_CASE("a stopping daemon takes nothing that might outlive it")
{
  const Route quick = MakeRoute(RequestKind::AtMostOnce, 800ms);
  const Route stream = MakeRoute(RequestKind::Stream, 12s);
  StopSchedule stop(8s);
  CHECK(stop.WaitLimit() == Instant::max());
  CHECK_FALSE(stop.IsTooLateFor(kStart, stream));
  CHECK(stop.Begin(kStart));
  CHECK_FALSE(stop.Begin(kStart + 1s));
  CHECK_FALSE(stop.IsTooLateFor(kStart + 2s, stream));
  CHECK(stop.IsTooLateFor(kStart + 3s, stream));
  CHECK_FALSE(stop.IsTooLateFor(kStart + 3s, quick));
  // Seen on a played day: taken 7.6 s after the signal, cut at the end.
  CHECK(stop.IsTooLateFor(kStart + 7600ms, quick));
  CHECK(stop.Latest() < kStart + 8s);
  // What waits until then and runs for five seconds still ends in time.
  CHECK(stop.WaitLimit() > kStart);
  CHECK(stop.WaitLimit() + 5s < stop.Latest());
}

// Reported by operators: orders that came late in the grace period were passed
// on and cut at its end.
TEST_CASE("a short grace period takes nothing late that might outlive it")
{
  const Route order = MakeRoute(RequestKind::AtMostOnce, 10s);
  const Duration grace = GENERATE(1s, 3s, 5s);
  CAPTURE(grace.count());
  StopSchedule stop(grace);
  CHECK(stop.SendLimit() == Instant::max());
  stop.Begin(kStart);
  CHECK_FALSE(stop.IsTooLateFor(kStart + grace / 10, order));
  CHECK(stop.IsTooLateFor(kStart + grace / 2, order));
  CHECK(stop.SendLimit() >= stop.IdleUntil());
  CHECK(stop.SendLimit() <= kStart + grace);
}

} // namespace carobtide
