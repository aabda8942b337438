#include "carobtide/fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };

Endpoint Edge(int aN)
{
  return { "10.0.0." + std::to_string(aN), 1 };
}

InFlightReport MakeReport(int aEdge, std::uint64_t aSequence,
                          std::vector<PackedLoad> aLoads)
{
  InFlightReport report;
  report.mFrom = Edge(aEdge);
  report.mSequence = aSequence;
  report.mSection.mLoads = std::move(aLoads);
  return report;
}

std::uint32_t InFlightAt(const std::vector<PackedLoad>& aLoads, TargetKey aKey)
{
  const auto it = std::ranges::find(aLoads, aKey, &PackedLoad::mTarget);
  return it == aLoads.end() ? 0 : it->mInFlight;
}

} // namespace

// Seeding a hash with the incarnation gave targets with short names that
// started a millisecond apart the same key, and so each other's load.
TEST_CASE("targets that started together have keys of their own")
{
  std::set<TargetKey> keys;
  for (int n = 0; n < 10; ++n) {
    keys.insert(
      KeyOf(TargetName("i-" + std::to_string(n)),
            Incarnation(1796403665070U + static_cast<std::uint64_t>(n))));
  }
  CHECK(keys.size() == 10);
}

TEST_CASE("a home adds up recent requests to targets with a limit")
{
  LoadAggregator home;
  InFlightReport first = MakeReport(1, 1, { { 7, 2, 0 } });
  first.mSection.mSends = { PackedSends::Pack(7, 1.5),
                            PackedSends::Pack(8, 300) };
  home.OnReport(kStart, first);
  InFlightReport other = MakeReport(100, 1, {});
  other.mIsSum = true;
  other.mSection.mSends = { PackedSends::Pack(7, 2) };
  home.OnReport(kStart, other);
  REQUIRE(home.OwnSends().size() == 2);
  CHECK(home.OwnSends()[0].Unpack() == 1.5);
  CHECK(home.TotalSends()[0].Unpack() == 3.5);
  // More than fits is the most that does.
  CHECK(home.TotalSends()[1].Unpack() > 255);
  home.OnReport(kStart, MakeReport(1, 2, {}));
  CHECK(home.OwnSends().empty());
}

TEST_CASE("sections hold loads and recent requests of the same targets")
{
  std::vector<PackedLoad> loads;
  std::vector<PackedSends> sends;
  for (TargetKey key = 0; key < 400; ++key) {
    if (key % 2 == 0) {
      loads.push_back({ key, 1, 0 });
    }
    if (key % 3 == 0) {
      sends.push_back(PackedSends::Pack(key, 1));
    }
  }
  const auto sections = MakeSections(loads, sends);
  REQUIRE(sections.size() >= 2);
  std::size_t total = 0;
  for (std::size_t n = 0; n < sections.size(); ++n) {
    const LoadSection& section = sections[n];
    CHECK(section.mLoads.size() + section.mSends.size() <=
          kMaxSectionLoads + 1);
    CHECK((n == 0 || section.mFirst == sections[n - 1].mLast + 1));
    for (const PackedLoad& load : section.mLoads) {
      CHECK(load.mTarget >= section.mFirst);
      CHECK(load.mTarget <= section.mLast);
    }
    for (const PackedSends& item : section.mSends) {
      CHECK(item.mTarget >= section.mFirst);
      CHECK(item.mTarget <= section.mLast);
    }
    total += section.mLoads.size() + section.mSends.size();
  }
  CHECK(total == loads.size() + sends.size());
  CHECK(sections.back().mLast == std::numeric_limits<TargetKey>::max());
}

TEST_CASE("a home adds up its watchers and the sums of other homes")
{
  LoadAggregator home;
  home.OnReport(kStart, MakeReport(1, 1, { { 7, 2, 0 }, { 9, 1, 0 } }));
  home.OnReport(kStart, MakeReport(2, 1, { { 7, 3, 0 } }));
  InFlightReport other = MakeReport(100, 1, { { 7, 10, 0 } });
  other.mIsSum = true;
  home.OnReport(kStart, other);
  CHECK(InFlightAt(home.OwnSum(), 7) == 5);
  CHECK(InFlightAt(home.Total(), 7) == 15);
  CHECK(InFlightAt(home.Total(), 9) == 1);
  // A sum is passed on to no other home, or it would count twice there.
  CHECK(home.Reporters().size() == 2);
}

TEST_CASE("a report replaces the sender's report before")
{
  LoadAggregator home;
  home.OnReport(kStart, MakeReport(1, 5, { { 7, 2, 0 }, { 9, 1, 0 } }));
  home.OnReport(kStart + 50ms, MakeReport(1, 6, { { 7, 1, 0 } }));
  CHECK(InFlightAt(home.Total(), 7) == 1);
  CHECK(InFlightAt(home.Total(), 9) == 0);
  SECTION("one that arrives late changes nothing")
  {
    home.OnReport(kStart + 60ms, MakeReport(1, 5, { { 7, 9, 0 } }));
    CHECK(InFlightAt(home.Total(), 7) == 1);
  }
  SECTION("a restarted sender counts from one again")
  {
    home.OnReport(kStart + 2s, MakeReport(1, 1, { { 7, 9, 0 } }));
    CHECK(InFlightAt(home.Total(), 7) == 9);
  }
  SECTION("a sender that stopped is removed")
  {
    home.Expire(kStart + 2s);
    CHECK(home.Total().empty());
    CHECK(home.Reporters().empty());
  }
}

TEST_CASE("sections cover all keys, so that a lost one leaves no old load")
{
  std::vector<PackedLoad> loads;
  for (std::uint32_t n = 0; n < 500; ++n) {
    loads.push_back({ n * 8'000'000U, 1, 0 });
  }
  const auto sections = MakeSections(loads);
  REQUIRE(sections.size() == 4);
  CHECK(sections.front().mFirst == 0);
  CHECK(sections.back().mLast == std::numeric_limits<TargetKey>::max());
  for (std::size_t n = 1; n < sections.size(); ++n) {
    CHECK(sections[n].mFirst == sections[n - 1].mLast + 1);
  }
  LoadAggregator home;
  for (const LoadSection& section : sections) {
    InFlightReport report;
    report.mFrom = Edge(1);
    report.mSequence = 1;
    report.mSection = section;
    home.OnReport(kStart, report);
  }
  CHECK(home.Total().size() == 500);
  // All requests have ended: one section that lists nothing clears them all.
  home.OnReport(kStart + 50ms, MakeReport(1, 2, {}));
  CHECK(home.Total().empty());
}

// Load pattern: 294 routing daemons, 204 engines, all of them busy. With a
// report from each to each every 50 ms, a daemon received 5,860 datagrams a
// second and its link of 10 Mbit/s was full.
TEST_CASE("what a daemon receives does not grow with the fleet")
{
  const auto bytesPerSecond = [](std::size_t aEdges, std::size_t aHomes,
                                 std::size_t aTargets) {
    const Duration interval = LoadInterval({ aEdges / aHomes, aTargets });
    return static_cast<double>(aTargets * sizeof(PackedLoad)) /
           std::chrono::duration<double>(interval).count();
  };
  constexpr double kBudget = 500'000.0 / 8;
  CHECK(bytesPerSecond(6, 4, 18) < kBudget);
  CHECK(bytesPerSecond(294, 6, 204) < kBudget);
  CHECK(bytesPerSecond(2100, 22, 7000) < kBudget);
}

} // namespace carobtide
