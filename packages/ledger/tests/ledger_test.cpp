#include "ledger_fixture.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

namespace {

const ClaimantId kA = ClaimantOf("a");
const ClaimantId kB = ClaimantOf("b");

LedgerVerdict Apply(Ledger& aLedger, const LedgerCommand& aCommand)
{
  return aLedger.Apply(aCommand).mVerdict;
}

} // namespace

TEST_CASE("a free key is granted to the first claim only")
{
  Ledger ledger;
  CHECK(Apply(ledger, Claim("k", kA, 1)) == LedgerVerdict::Granted);
  CHECK(Apply(ledger, Claim("k", kB, 1)) == LedgerVerdict::Unknown);
  CHECK(Apply(ledger, Claim("k", kA, 2)) == LedgerVerdict::Unknown);
  CHECK(Apply(ledger, Claim("k", ClaimantOf("a", 2), 1)) ==
        LedgerVerdict::Unknown);
  CHECK(ledger.Size() == 1);
  CHECK(ledger.OpenClaims() == 1);
}

TEST_CASE("a claim committed twice is granted to that attempt again")
{
  Ledger ledger;
  CHECK(Apply(ledger, Claim("k", kA, 1)) == LedgerVerdict::Granted);
  CHECK(Apply(ledger, Claim("k", kA, 1)) == LedgerVerdict::Granted);
  CHECK(ledger.Size() == 1);
}

TEST_CASE("callers do not share keys")
{
  Ledger ledger;
  ClaimKey first = Claim("k", kA, 1);
  ClaimKey second = Claim("k", kA, 2);
  second.mKey.mCaller = CallerName("other");
  CHECK(Apply(ledger, first) == LedgerVerdict::Granted);
  CHECK(Apply(ledger, second) == LedgerVerdict::Granted);
  ClaimKey third = Claim("bc", kA, 3);
  third.mKey.mCaller = CallerName("a");
  ClaimKey fourth = Claim("c", kA, 4);
  fourth.mKey.mCaller = CallerName("ab");
  CHECK(Apply(ledger, third) == LedgerVerdict::Granted);
  CHECK(Apply(ledger, fourth) == LedgerVerdict::Granted);
}

TEST_CASE("a completed key replays its answer to everyone")
{
  Ledger ledger;
  Apply(ledger, Claim("k", kA, 1));
  CHECK(Apply(ledger, Complete("k", kA, 1, "booked")) ==
        LedgerVerdict::Settled);
  const LedgerOutcome resend = ledger.Apply(Claim("k", kB, 7));
  CHECK(resend.mVerdict == LedgerVerdict::Replay);
  REQUIRE(resend.mAnswer);
  CHECK(resend.mAnswer->mStatus == 201);
  CHECK(resend.mAnswer->mBody == "booked");
  CHECK(Apply(ledger, Complete("k", kA, 1, "changed")) ==
        LedgerVerdict::Settled);
  CHECK(ledger.Apply(Claim("k", kB, 8)).mAnswer->mBody == "booked");
  CHECK(Apply(ledger, Release("k", kA, 1)) == LedgerVerdict::Stale);
  CHECK(Apply(ledger, Abandon("k", kA, 1)) == LedgerVerdict::Stale);
  CHECK(Apply(ledger, Claim("k", kB, 9)) == LedgerVerdict::Replay);
}

TEST_CASE("other content under a key is a conflict in every state")
{
  Ledger ledger;
  Apply(ledger, Claim("k", kA, 1));
  CHECK(Apply(ledger, Claim("k", kB, 1, "x")) == LedgerVerdict::Conflict);
  CHECK(Apply(ledger, Claim("k", kA, 1, "x")) == LedgerVerdict::Conflict);
  Apply(ledger, Abandon("k", kA, 1));
  CHECK(Apply(ledger, Claim("k", kB, 1, "x")) == LedgerVerdict::Conflict);
  Apply(ledger, Complete("k", kA, 1));
  CHECK(Apply(ledger, Claim("k", kB, 1, "x")) == LedgerVerdict::Conflict);
}

TEST_CASE("a released key is free, but not for the attempt that gave it up")
{
  Ledger ledger;
  Apply(ledger, Claim("k", kA, 1));
  CHECK(Apply(ledger, Release("k", kA, 1)) == LedgerVerdict::Settled);
  CHECK(Apply(ledger, Release("k", kA, 1)) == LedgerVerdict::Settled);
  CHECK(ledger.Size() == 0);
  CHECK(ledger.TotalBytes() == 0);
  CHECK(Apply(ledger, Claim("k", kA, 1)) == LedgerVerdict::Stale);
  CHECK(Apply(ledger, Claim("k", kB, 1)) == LedgerVerdict::Granted);
  CHECK(Apply(ledger, Release("k", kA, 1)) == LedgerVerdict::Settled);
  CHECK(Apply(ledger, Claim("k", kB, 1)) == LedgerVerdict::Granted);
}

TEST_CASE("a claim that is committed after its release is not granted")
{
  Ledger ledger;
  CHECK(Apply(ledger, Release("k", kA, 1)) == LedgerVerdict::Settled);
  CHECK(Apply(ledger, Claim("k", kA, 1)) == LedgerVerdict::Stale);
  CHECK(ledger.Size() == 0);
}

TEST_CASE("an abandoned key is unknown and is not freed")
{
  Ledger ledger;
  Apply(ledger, Claim("k", kA, 1));
  CHECK(Apply(ledger, Abandon("k", kA, 1)) == LedgerVerdict::Settled);
  CHECK(Apply(ledger, Abandon("k", kA, 1)) == LedgerVerdict::Settled);
  CHECK(Apply(ledger, Claim("k", kA, 1)) == LedgerVerdict::Unknown);
  CHECK(Apply(ledger, Claim("k", kB, 1)) == LedgerVerdict::Unknown);
  CHECK(Apply(ledger, Release("k", kA, 1)) == LedgerVerdict::Stale);
  CHECK(Apply(ledger, Claim("k", kB, 1)) == LedgerVerdict::Unknown);
  CHECK(Apply(ledger, Complete("k", kA, 1)) == LedgerVerdict::Settled);
  CHECK(Apply(ledger, Claim("k", kB, 1)) == LedgerVerdict::Replay);
}

TEST_CASE("only the attempt that holds a key settles it")
{
  Ledger ledger;
  Apply(ledger, Claim("k", kA, 1));
  for (const auto& [claimant, attempt] : { std::pair(kB, 1), std::pair(kA, 2),
                                           std::pair(ClaimantOf("a", 2), 1) }) {
    CHECK(Apply(ledger, Complete("k", claimant, attempt)) ==
          LedgerVerdict::Stale);
    CHECK(Apply(ledger, Abandon("k", claimant, attempt)) ==
          LedgerVerdict::Stale);
    Apply(ledger, Release("k", claimant, attempt));
  }
  CHECK(Apply(ledger, Complete("none", kA, 1)) == LedgerVerdict::Stale);
  CHECK(Apply(ledger, Abandon("none", kA, 1)) == LedgerVerdict::Stale);
  CHECK(Apply(ledger, Claim("k", kA, 1)) == LedgerVerdict::Granted);
}

TEST_CASE("a process that is gone leaves unknown keys and claims no more")
{
  Ledger ledger;
  Apply(ledger, Claim("k1", kA, 1));
  Apply(ledger, Claim("k2", kA, 2));
  Apply(ledger, Claim("k3", kB, 1));
  Apply(ledger, Complete("k2", kA, 2));
  CHECK(ledger.OpenClaimants() == std::vector{ kA, kB });
  CHECK(Apply(ledger, AbandonClaimant{ kA }) == LedgerVerdict::Settled);
  CHECK(ledger.OpenClaimants() == std::vector{ kB });
  CHECK(Apply(ledger, Claim("k1", kB, 2)) == LedgerVerdict::Unknown);
  CHECK(Apply(ledger, Claim("k2", kB, 3)) == LedgerVerdict::Replay);
  CHECK(Apply(ledger, Claim("k3", kB, 1)) == LedgerVerdict::Granted);
  CHECK(Apply(ledger, Claim("k4", kA, 3)) == LedgerVerdict::Stale);
  CHECK(Apply(ledger, Claim("k4", ClaimantOf("a", 2), 3)) ==
        LedgerVerdict::Granted);
  CHECK(Apply(ledger, AbandonClaimant{ ClaimantOf("c") }) ==
        LedgerVerdict::Settled);
}

TEST_CASE("a full store claims nothing and still settles and replays")
{
  Ledger ledger(LedgerLimits{ 2, kKiB, kMiB, 1s });
  Apply(ledger, Claim("k1", kA, 1));
  Apply(ledger, Claim("k2", kA, 2));
  CHECK(Apply(ledger, Claim("k3", kA, 3)) == LedgerVerdict::Full);
  CHECK(Apply(ledger, Claim("k1", kA, 1)) == LedgerVerdict::Granted);
  CHECK(Apply(ledger, Complete("k1", kA, 1)) == LedgerVerdict::Settled);
  CHECK(Apply(ledger, Claim("k1", kB, 9)) == LedgerVerdict::Replay);
  CHECK(Apply(ledger, Claim("k3", kA, 3)) == LedgerVerdict::Full);
  Apply(ledger, Release("k2", kA, 2));
  CHECK(Apply(ledger, Claim("k3", kA, 3)) == LedgerVerdict::Granted);
}

TEST_CASE("memory is counted and bounded")
{
  const Bytes most = 4 * kKiB;
  Ledger ledger(LedgerLimits{ 1'000'000, kKiB, most, 1s });
  std::uint64_t granted = 0;
  for (std::uint64_t n = 0; n < 100; ++n) {
    const auto verdict = Apply(ledger, Claim(std::to_string(n), kA, n));
    granted += verdict == LedgerVerdict::Granted ? 1 : 0;
  }
  CHECK(granted > 5);
  CHECK(granted < 50);
  CHECK(ledger.TotalBytes() <= most);
  for (std::uint64_t n = 0; n < granted; ++n) {
    Apply(ledger, Release(std::to_string(n), kA, n));
  }
  CHECK(ledger.TotalBytes() == 0);
}

TEST_CASE("an answer that is too large completes the key without its body")
{
  Ledger ledger(LedgerLimits{ 10, 100, kMiB, 1s });
  Apply(ledger, Claim("k", kA, 1));
  CHECK(Apply(ledger, Complete("k", kA, 1, std::string(101, 'x'))) ==
        LedgerVerdict::Settled);
  const LedgerOutcome resend = ledger.Apply(Claim("k", kB, 1));
  CHECK(resend.mVerdict == LedgerVerdict::Replay);
  REQUIRE(resend.mAnswer);
  CHECK(resend.mAnswer->mStatus == 201);
  CHECK(resend.mAnswer->mBodyOmitted);
  CHECK(resend.mAnswer->mBody.empty());
}

TEST_CASE("an answer that would exceed the total completes without its body")
{
  Ledger ledger(LedgerLimits{ 10, kMiB, 2 * kKiB, 1s });
  Apply(ledger, Claim("k", kA, 1));
  Apply(ledger, Complete("k", kA, 1, std::string(2 * kKiB, 'x')));
  CHECK(ledger.Apply(Claim("k", kB, 1)).mAnswer->mBodyOmitted);
}

TEST_CASE("limits change on every replica by a command")
{
  Ledger ledger(LedgerLimits{ 1, kKiB, kMiB, 1s });
  Apply(ledger, Claim("k1", kA, 1));
  CHECK(Apply(ledger, Claim("k2", kA, 2)) == LedgerVerdict::Full);
  const LedgerLimits wider{ 2, kKiB, kMiB, 2s };
  CHECK(Apply(ledger, SetLedgerLimits{ wider }) == LedgerVerdict::Settled);
  CHECK(ledger.Limits() == wider);
  CHECK(Apply(ledger, Claim("k2", kA, 2)) == LedgerVerdict::Granted);
  Apply(ledger, SetLedgerLimits{ LedgerLimits{ 1, kKiB, kMiB, 2s } });
  CHECK(ledger.Size() == 2);
  CHECK(Apply(ledger, Claim("k1", kA, 1)) == LedgerVerdict::Granted);
}

TEST_CASE("a claim that was refused is not granted when committed again")
{
  Ledger ledger;
  const ClaimantId first = ClaimantOf("a");
  const ClaimantId second = ClaimantOf("b");
  REQUIRE(ledger.Apply(Claim("k", first, 1)).mVerdict ==
          LedgerVerdict::Granted);
  REQUIRE(ledger.Apply(Claim("k", second, 1)).mVerdict ==
          LedgerVerdict::Unknown);
  REQUIRE(ledger.Apply(Claim("k", second, 2, "other")).mVerdict ==
          LedgerVerdict::Conflict);
  REQUIRE(ledger.Apply(Release("k", first, 1)).mVerdict ==
          LedgerVerdict::Settled);
  CHECK(ledger.Apply(Claim("k", second, 1)).mVerdict == LedgerVerdict::Stale);
  CHECK(ledger.Apply(Claim("k", second, 2, "other")).mVerdict ==
        LedgerVerdict::Stale);
  CHECK(ledger.OpenClaims() == 0);
  CHECK(ledger.Apply(Claim("k", second, 3)).mVerdict == LedgerVerdict::Granted);
}
