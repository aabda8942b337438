#include "ledger_fixture.hpp"

#include <catch2/catch.hpp>

#include <cstdint>
#include <limits>

using namespace carobtide;

namespace {

const ClaimantId kA = ClaimantOf("a");
constexpr Duration kRetention = std::chrono::hours(1);

LedgerLimits Limits()
{
  LedgerLimits limits;
  limits.mRetention = kRetention;
  return limits;
}

LedgerVerdict Apply(Ledger& aLedger, const LedgerCommand& aCommand)
{
  return aLedger.Apply(aCommand).mVerdict;
}

} // namespace

TEST_CASE("settled keys are dropped after their retention, not before")
{
  Ledger ledger(Limits());
  Duration wall = 100s;
  ledger.Apply(Tick(wall));
  Apply(ledger, Claim("done", kA, 1));
  Apply(ledger, Claim("lost", kA, 2));
  Apply(ledger, Complete("done", kA, 1));
  Apply(ledger, Abandon("lost", kA, 2));
  PassTime(ledger, wall, kRetention);
  CHECK(ledger.Size() == 2);
  CHECK(Apply(ledger, Claim("done", kA, 3)) == LedgerVerdict::Replay);
  PassTime(ledger, wall, 1us);
  CHECK(ledger.Size() == 0);
  CHECK(ledger.TotalBytes() == 0);
  CHECK(Apply(ledger, Claim("done", kA, 4)) == LedgerVerdict::Granted);
}

TEST_CASE("retention counts from settling, and open claims never expire")
{
  Ledger ledger(Limits());
  Duration wall = 0s;
  ledger.Apply(Tick(wall));
  Apply(ledger, Claim("k", kA, 1));
  PassTime(ledger, wall, 10 * kRetention);
  CHECK(Apply(ledger, Claim("k", kA, 2)) == LedgerVerdict::Unknown);
  Apply(ledger, Complete("k", kA, 1));
  PassTime(ledger, wall, kRetention);
  CHECK(Apply(ledger, Claim("k", kA, 2)) == LedgerVerdict::Replay);
}

TEST_CASE("a leader's wrong clock cannot drop keys early")
{
  Ledger ledger(Limits());
  ledger.Apply(Tick(1000s));
  Apply(ledger, Claim("k", kA, 1));
  Apply(ledger, Complete("k", kA, 1));
  SECTION("a jump ahead counts for one step")
  {
    ledger.Apply(Tick(std::chrono::hours(1'000'000)));
  }
  SECTION("a jump back counts for nothing, nor does the return")
  {
    ledger.Apply(Tick(-std::chrono::hours(1'000'000)));
    ledger.Apply(Tick(1000s));
  }
  SECTION("extreme values do not overflow")
  {
    ledger.Apply(ExpireKeys{ std::numeric_limits<std::int64_t>::max() });
    ledger.Apply(ExpireKeys{ std::numeric_limits<std::int64_t>::min() });
    ledger.Apply(ExpireKeys{ std::numeric_limits<std::int64_t>::max() });
  }
  CHECK(Apply(ledger, Claim("k", kA, 2)) == LedgerVerdict::Replay);
}

TEST_CASE("a claimant's clock has no say")
{
  Ledger ledger(Limits());
  Duration wall = 1000s;
  ledger.Apply(Tick(wall));
  ClaimKey claim = Claim("k", kA, 1);
  claim.mWallMicros = std::numeric_limits<std::int64_t>::min();
  Apply(ledger, claim);
  Apply(ledger, Complete("k", kA, 1));
  PassTime(ledger, wall, kRetention);
  CHECK(Apply(ledger, Claim("k", kA, 2)) == LedgerVerdict::Replay);
}

TEST_CASE("a late answer of an abandoned key renews its retention")
{
  Ledger ledger(Limits());
  Duration wall = 0s;
  ledger.Apply(Tick(wall));
  Apply(ledger, Claim("k", kA, 1));
  Apply(ledger, Abandon("k", kA, 1));
  PassTime(ledger, wall, kRetention / 2);
  Apply(ledger, Complete("k", kA, 1));
  PassTime(ledger, wall, kRetention);
  CHECK(Apply(ledger, Claim("k", kA, 2)) == LedgerVerdict::Replay);
}

TEST_CASE("released attempts are forgotten after the retention")
{
  Ledger ledger(Limits());
  Duration wall = 0s;
  ledger.Apply(Tick(wall));
  Apply(ledger, Release("k", kA, 1));
  PassTime(ledger, wall, kRetention);
  CHECK(Apply(ledger, Claim("k", kA, 1)) == LedgerVerdict::Stale);
  PassTime(ledger, wall, 1s);
  CHECK(Apply(ledger, Claim("k", kA, 1)) == LedgerVerdict::Granted);
}

TEST_CASE("one command drops a bounded number of keys and the next goes on")
{
  Ledger ledger(Limits());
  Duration wall = 0s;
  ledger.Apply(Tick(wall));
  const std::size_t count = kMaxExpiredAtOnce + 5;
  for (std::size_t n = 0; n < count; ++n) {
    Apply(ledger, Claim(std::to_string(n), kA, n));
  }
  Apply(ledger, AbandonClaimant{ kA });
  PassTime(ledger, wall, kRetention);
  CHECK(ledger.Size() == count);
  PassTime(ledger, wall, 1us);
  CHECK(ledger.Size() == count - kMaxExpiredAtOnce);
  PassTime(ledger, wall, 1us);
  CHECK(ledger.Size() == 0);
}
