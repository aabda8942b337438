#include "ledger_fixture.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace carobtide;

namespace {

const ClaimantId kA = ClaimantOf("a");
const ClaimantId kB = ClaimantOf("b");

/** A ledger with keys in every state. */
Ledger Filled()
{
  Ledger ledger(LedgerLimits{ 100'000, kKiB, kGiB, std::chrono::hours(2) });
  ledger.Apply(Tick(5s));
  for (std::uint64_t n = 0; n < 1'000; ++n) {
    const std::string key = "key" + std::to_string(n);
    const ClaimantId& claimant = n % 2 == 0 ? kA : kB;
    ledger.Apply(Claim(key, claimant, n));
    if (n % 5 == 1) {
      ledger.Apply(Complete(key, claimant, n, std::string(n, 'x')));
    } else if (n % 5 == 2) {
      ledger.Apply(Abandon(key, claimant, n));
    } else if (n % 5 == 3) {
      ledger.Apply(Release(key, claimant, n));
    }
  }
  ledger.Apply(AbandonClaimant{ ClaimantOf("c") });
  ledger.Apply(Tick(15s));
  return ledger;
}

} // namespace

TEST_CASE("a restored ledger is the same and decides alike")
{
  Ledger ledger = Filled();
  Ledger restored;
  REQUIRE(restored.Load(ledger.Save()));
  CHECK(restored.Save() == ledger.Save());
  CHECK(restored.Size() == ledger.Size());
  CHECK(restored.OpenClaims() == ledger.OpenClaims());
  CHECK(restored.TotalBytes() == ledger.TotalBytes());
  CHECK(restored.Limits() == ledger.Limits());
  for (std::uint64_t n = 0; n < 1'000; ++n) {
    const auto claim = Claim("key" + std::to_string(n), kA, n);
    const LedgerOutcome expected = ledger.Apply(claim);
    const LedgerOutcome found = restored.Apply(claim);
    CHECK(found.mVerdict == expected.mVerdict);
    CHECK(found.mAnswer == expected.mAnswer);
  }
  CHECK(restored.Apply(Claim("new", ClaimantOf("c"), 1)).mVerdict ==
        LedgerVerdict::Stale);
  Duration wall = 15s;
  PassTime(restored, wall, std::chrono::hours(3));
  wall = 15s;
  PassTime(ledger, wall, std::chrono::hours(3));
  CHECK(restored.Save() == ledger.Save());
}

TEST_CASE("blocks are bounded and restore the same")
{
  const Ledger ledger = Filled();
  std::vector<std::string> blocks;
  ledger.SaveBlocks(
    [&](std::string_view aBlock) { blocks.emplace_back(aBlock); });
  CHECK(blocks.size() > 3);
  for (const std::string& block : blocks) {
    CHECK(block.size() < 2 * kLedgerBlockBytes);
  }
  Ledger restored;
  std::size_t next = 0;
  REQUIRE(restored.LoadBlocks([&]() -> std::optional<std::string_view> {
    return next < blocks.size()
             ? std::optional<std::string_view>(blocks[next++])
             : std::nullopt;
  }));
  CHECK(restored.Save() == ledger.Save());
}

TEST_CASE("a damaged snapshot is refused and changes nothing")
{
  const Ledger ledger = Filled();
  const std::string snapshot = ledger.Save();
  Ledger restored;
  REQUIRE(restored.Load(snapshot));
  for (std::size_t n = 0; n < snapshot.size(); n += 97) {
    CHECK(restored.Load(snapshot.substr(0, n)).Code() == ErrorCode::Corrupt);
  }
  CHECK_FALSE(restored.Load(snapshot + "x"));
  CHECK_FALSE(restored.Load(snapshot + std::string(8, '\0')));
  CHECK(restored.Save() == snapshot);
}

TEST_CASE("a repeated or missing block is refused")
{
  const Ledger ledger = Filled();
  std::vector<std::string> blocks;
  ledger.SaveBlocks(
    [&](std::string_view aBlock) { blocks.emplace_back(aBlock); });
  std::size_t next = 0;
  const auto source = [&]() -> std::optional<std::string_view> {
    return next < blocks.size()
             ? std::optional<std::string_view>(blocks[next++])
             : std::nullopt;
  };
  const std::string last = blocks.back();
  blocks.push_back(last);
  CHECK_FALSE(Ledger().LoadBlocks(source));
  blocks.pop_back();
  blocks.pop_back();
  next = 0;
  CHECK_FALSE(Ledger().LoadBlocks(source));
  CHECK_FALSE(Ledger().LoadBlocks(
    []() -> std::optional<std::string_view> { return {}; }));
}
