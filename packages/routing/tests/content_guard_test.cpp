#include "carobtide/routing.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <initializer_list>
#include <string>
#include <vector>

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
  return Fingerprints({ aId, aId });
}

const Fingerprints kDeadly = MakeContent(1);
const Fingerprints kOther = MakeContent(2);

void Crash(ContentGuard& aGuard, Instant aNow, int aTarget,
           const Fingerprints& aContent)
{
  aGuard.OnConnectionLost(aNow, MakeProcess(aTarget), aNow, aContent);
  aGuard.OnDead(aNow, MakeProcess(aTarget));
}

} // namespace

TEST_CASE("a lost connection is no crash until the target is known to be gone")
{
  ContentGuard guard;
  CHECK(guard.OnConnectionLost(kStart, MakeProcess(1), kStart, kDeadly));
  // One probe for all requests that the target lost.
  CHECK_FALSE(guard.OnConnectionLost(kStart, MakeProcess(1), kStart, kOther));
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

namespace {

const Digest kFirstPart{ 100, 1 };
const Digest kDeadlyPart{ 100, 2 };

/** Content of its own that shares parts with other requests. */
Fingerprints MakePrompt(std::uint64_t aId, std::initializer_list<Digest> aParts)
{
  Fingerprints content({ aId, aId });
  for (const Digest& part : aParts) {
    content.AddPart(part);
  }
  return content;
}

std::size_t CountReports(const CrashNotice& aNotice, const Digest& aFingerprint)
{
  return static_cast<std::size_t>(std::ranges::count(
    aNotice.mCrashes, aFingerprint, &CrashReport::mFingerprint));
}

} // namespace

// Load pattern: a twentieth of the requests of a class have a part that crashes
// each engine (the tainted day); all share their first part.
TEST_CASE(
  "a deadly part is blocked and the part that all requests share is not")
{
  ContentGuard guard;
  Instant now = kStart;
  std::uint64_t id = 1000;
  int crashes = 0;
  while (crashes < 3) {
    for (int n = 0; n < 19; ++n) {
      now += 10ms;
      guard.OnWhole(now, MakePrompt(++id, { kFirstPart }));
    }
    // A sound request is in flight at the same engine.
    const TargetProcess process = MakeProcess(++crashes);
    guard.OnConnectionLost(now, process, now - 100ms,
                           MakePrompt(++id, { kFirstPart }));
    guard.OnConnectionLost(now, process, now - 50ms,
                           MakePrompt(++id, { kFirstPart, kDeadlyPart }));
    guard.OnDead(now, process);
  }
  const CrashNotice notice = guard.TakeNotice();
  CHECK(CountReports(notice, kFirstPart) == 0);
  CHECK(CountReports(notice, kDeadlyPart) == 3);
  CHECK(guard.BlockedUntil(now, MakePrompt(++id, { kFirstPart, kDeadlyPart })));
  CHECK_FALSE(guard.BlockedUntil(now, MakePrompt(++id, { kFirstPart })));
}

// Load pattern: a rack is lost while a daemon that has just started has seen no
// answer yet.
TEST_CASE("targets that fail together count once against a shared part")
{
  ContentGuard guard;
  for (int n = 0; n < 5; ++n) {
    guard.OnConnectionLost(
      kStart, MakeProcess(n), kStart - 200ms,
      MakePrompt(10 + static_cast<std::uint64_t>(n), { kFirstPart }));
    guard.OnDead(kStart + std::chrono::milliseconds(n), MakeProcess(n));
  }
  CHECK(CountReports(guard.TakeNotice(), kFirstPart) <= 1);
  CHECK_FALSE(guard.BlockedUntil(kStart, MakePrompt(1, { kFirstPart })));
}

TEST_CASE("a block of a part that is answered here is refused for all daemons")
{
  ContentGuard guard;
  guard.OnWhole(kStart, MakePrompt(1, { kFirstPart }));
  BlockChanges changes;
  changes.mBlocks.push_back({ kFirstPart, 60'000 });
  guard.OnBlockChanges(kStart + 100ms, changes);
  CHECK_FALSE(
    guard.BlockedUntil(kStart + 100ms, MakePrompt(2, { kFirstPart })));
  CHECK(guard.TakeNotice().mSound == std::vector<Digest>{ kFirstPart });
  // Nothing is known of it any more.
  guard.OnBlockChanges(kStart + 60s, changes);
  CHECK(guard.BlockedUntil(kStart + 60s, MakePrompt(2, { kFirstPart })));
}

TEST_CASE("a part that was sound until it crashed targets is blocked in time")
{
  ContentGuard guard;
  std::uint64_t id = 1000;
  for (int n = 0; n < 100; ++n) {
    guard.OnWhole(kStart + n * 10ms, MakePrompt(++id, { kDeadlyPart }));
  }
  Instant now = kStart + 1s;
  int crashes = 0;
  while (!guard.BlockedUntil(now, MakePrompt(1, { kDeadlyPart })) &&
         now < kStart + 60s) {
    now += 500ms;
    const TargetProcess process = MakeProcess(++crashes);
    guard.OnConnectionLost(now, process, now - 50ms,
                           MakePrompt(++id, { kDeadlyPart }));
    guard.OnDead(now, process);
  }
  // Answers of before the change outweigh crashes for some half-lives.
  CHECK(now - kStart <= 10 * PartHistory::kHalfLife);
}

} // namespace carobtide
