#include "carobtide/routing.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };

TargetProcess MakeProcess(int aTarget, std::uint64_t aIncarnation = 1)
{
  return { TargetName("i-" + std::to_string(aTarget)),
           Incarnation(aIncarnation) };
}

Fingerprints MakeContent(std::uint64_t aId)
{
  Fingerprints content;
  content.Add({ aId, aId });
  return content;
}

const Fingerprints kDeadly = MakeContent(1);
const Fingerprints kOther = MakeContent(2);

void Crash(ContentGuard& aGuard, Instant aNow, int aTarget,
           const Fingerprints& aContent)
{
  aGuard.OnConnectionLost(aNow, MakeProcess(aTarget), aContent);
  aGuard.OnDead(aNow, MakeProcess(aTarget));
}

} // namespace

TEST_CASE("a lost connection is no crash until the target is known to be gone")
{
  ContentGuard guard;
  CHECK(guard.OnConnectionLost(kStart, MakeProcess(1), kDeadly));
  // One probe for all requests that the target lost.
  CHECK_FALSE(guard.OnConnectionLost(kStart, MakeProcess(1), kOther));
  CHECK(guard.TakeNotice().IsEmpty());
  SECTION("nothing listens there")
  {
    guard.OnDead(kStart + 2ms, MakeProcess(1));
    CHECK(guard.TakeNotice().mCrashes.size() == 2);
    CHECK(guard.TakeChanges().mCrashed.size() == 1);
  }
  SECTION("it accepts connections, also later on")
  {
    CHECK(guard.OnAlive(kStart + 2ms, MakeProcess(1)));
    CHECK_FALSE(guard.OnAlive(kStart + 400ms, MakeProcess(1)));
    guard.Expire(kStart + 10s);
    CHECK(guard.TakeNotice().IsEmpty());
  }
  SECTION("another process replaced it")
  {
    RoutedTarget target;
    target.mLast.mTarget = MakeProcess(1).mTarget;
    target.mLast.mIncarnation = Incarnation(2);
    guard.OnTarget(kStart + 1s, target);
    CHECK(guard.TakeNotice().mCrashes.size() == 2);
  }
}

// Load pattern: a daemon that is cut off from all control daemons gets the same
// request again and again.
TEST_CASE("a daemon blocks by itself what crashed three of its targets")
{
  ContentGuard guard;
  Crash(guard, kStart, 1, kDeadly);
  CHECK(guard.IsSuspect(kDeadly));
  Crash(guard, kStart + 1s, 2, kDeadly);
  CHECK_FALSE(guard.BlockedUntil(kStart + 1s, kDeadly));
  Crash(guard, kStart + 2s, 3, kDeadly);
  CHECK(guard.BlockedUntil(kStart + 2s, kDeadly) ==
        kStart + 2s + BlockList::kBlockTime);
  CHECK_FALSE(guard.BlockedUntil(kStart + 2s, kOther));
  CHECK(guard.TakeNotice().mBlocks.size() == 1);
  CHECK(guard.AllBlocks(kStart + 2s).mBlocks.size() == 1);
  guard.Expire(kStart + 2s + BlockList::kBlockTime);
  CHECK_FALSE(guard.BlockedUntil(kStart + 3s + BlockList::kBlockTime, kDeadly));
}

TEST_CASE("a block that a control daemon tells holds and is lifted")
{
  ContentGuard guard;
  BlockChanges changes;
  changes.mBlocks.push_back({ kDeadly.All()[0], 60'000 });
  guard.OnBlockChanges(kStart, changes);
  CHECK(guard.BlockedUntil(kStart, kDeadly) == kStart + 60s);
  changes = {};
  changes.mLifted.push_back(kDeadly.All()[0]);
  guard.OnBlockChanges(kStart + 5s, changes);
  CHECK_FALSE(guard.BlockedUntil(kStart + 5s, kDeadly));
}

TEST_CASE("an answer in full shows that content is sound, to all daemons")
{
  ContentGuard guard;
  Crash(guard, kStart, 1, kOther);
  guard.TakeNotice();
  guard.OnWhole(kStart + 1s, kDeadly);
  CHECK(guard.TakeNotice().IsEmpty());
  guard.OnWhole(kStart + 1s, kOther);
  CHECK(guard.TakeNotice().mSound.size() == 1);
  Crash(guard, kStart + 2s, 2, kOther);
  Crash(guard, kStart + 3s, 3, kOther);
  CHECK_FALSE(guard.BlockedUntil(kStart + 3s, kOther));
}

// Load pattern: a failure domain is lost with thousands of requests in flight.
TEST_CASE("the crash reports of one daemon are bounded")
{
  ContentGuard guard;
  for (int n = 0; n < 2000; ++n) {
    Crash(guard, kStart, n, MakeContent(static_cast<std::uint64_t>(n)));
  }
  const auto most = static_cast<std::size_t>(ContentGuard::kMaxReportBurst);
  CHECK(guard.TakeNotice().mCrashes.size() <= most + 1);
  CHECK(guard.Stats().mReportsDropped >= 2000 - most - 1);
}

} // namespace carobtide
