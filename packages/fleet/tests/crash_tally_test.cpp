#include "carobtide/fleet.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };
const Digest kDeadly{ 1, 1 };
const Digest kNeighbour{ 2, 2 };

/** Reports of one crash: content that was in flight at a target. */
std::vector<CrashReport> Crash(int aTarget, const std::vector<Digest>& aContent)
{
  std::vector<CrashReport> reports;
  reports.reserve(aContent.size());
  for (const Digest& fingerprint : aContent) {
    reports.push_back({ fingerprint, TargetName("i-" + std::to_string(aTarget)),
                        Incarnation(1) });
  }
  return reports;
}

} // namespace

TEST_CASE("content that was in flight at three crashes is blocked")
{
  CrashTally tally;
  CHECK(tally.Add(kStart, Crash(1, { kDeadly })).mBlocked.empty());
  CHECK(tally.Add(kStart, Crash(2, { kDeadly })).mBlocked.empty());
  // Another daemon lost the same content at the same crash.
  CHECK(tally.Add(kStart, Crash(2, { kDeadly })).mBlocked.empty());
  const auto third = tally.Add(kStart, Crash(3, { kDeadly }));
  CHECK(third.mBlocked == std::vector<Digest>{ kDeadly });
  CHECK(tally.Add(kStart, Crash(4, { kDeadly })).mBlocked.empty());
}

// Load pattern: a request crashes the few targets of a service one after the
// other, each with others in flight; then a target crashes for another reason.
TEST_CASE("crashes of blocked content do not count against its neighbours")
{
  CrashTally tally;
  tally.Add(kStart, Crash(1, { kNeighbour, kDeadly }));
  tally.Add(kStart, Crash(2, { kDeadly, kNeighbour }));
  CHECK(tally.Add(kStart, Crash(3, { kDeadly })).mBlocked ==
        std::vector<Digest>{ kDeadly });
  CHECK_FALSE(tally.Knows(kNeighbour));
  CHECK(tally.Add(kStart, Crash(4, { kNeighbour })).mBlocked.empty());
  // The neighbour's report may come before that of the cause.
  tally.Add(kStart, Crash(5, { kNeighbour }));
  tally.Add(kStart, Crash(5, { kDeadly }));
  CHECK(tally.Add(kStart, Crash(6, { kNeighbour })).mBlocked.empty());
}

TEST_CASE("a block that another content's crashes explain is lifted")
{
  CrashTally tally;
  for (int n = 1; n <= 3; ++n) {
    tally.Add(kStart, Crash(n, { kNeighbour }));
  }
  TallyResult result;
  for (int n = 1; n <= 4; ++n) {
    result = tally.Add(kStart, Crash(n, { kDeadly }));
  }
  CHECK(result.mLifted == std::vector<Digest>{ kNeighbour });
}

TEST_CASE("an answer in full clears content of its crashes")
{
  CrashTally tally;
  tally.Add(kStart, Crash(1, { kNeighbour }));
  tally.Add(kStart, Crash(2, { kNeighbour }));
  CHECK(tally.Clear(kNeighbour));
  CHECK(tally.Add(kStart, Crash(3, { kNeighbour })).mBlocked.empty());
}

TEST_CASE("content whose block has ended is blocked again by one crash")
{
  CrashTally tally;
  for (int n = 1; n <= 3; ++n) {
    tally.Add(kStart, Crash(n, { kDeadly }));
  }
  tally.OnBlockEnded(kDeadly);
  CHECK(tally.Add(kStart, Crash(4, { kDeadly })).mBlocked ==
        std::vector<Digest>{ kDeadly });
}

// A seeded hash gave crashes of targets with short names that started a
// millisecond apart the same identity, so that four of them counted as two.
TEST_CASE("crashes of targets that started together are different ones")
{
  CrashTally tally;
  std::size_t blocked = 0;
  for (int n = 0; n < 3; ++n) {
    const CrashReport report{ kDeadly, TargetName("i-" + std::to_string(n)),
                              Incarnation(1796403665075U +
                                          static_cast<std::uint64_t>(n)) };
    blocked += tally.Add(kStart, { &report, 1 }).mBlocked.size();
  }
  CHECK(blocked == 1);
}

TEST_CASE("crash reports of any amount take bounded memory")
{
  CrashTally tally;
  for (std::uint64_t n = 0; n < 3 * CrashTally::kCapacity; ++n) {
    tally.Add(kStart + std::chrono::milliseconds(n), Crash(1, { { n, n } }));
  }
  CHECK_FALSE(tally.Knows({ 0, 0 }));
  std::size_t known = 0;
  for (std::uint64_t n = 0; n < 3 * CrashTally::kCapacity; ++n) {
    known += tally.Knows({ n, n }) ? 1 : 0;
  }
  CHECK(known <= CrashTally::kCapacity);
}

} // namespace carobtide
