#include "carobtide/cli/announcer.hpp"
#include "carobtide/cli/prefix_cache.hpp"
#include "carobtide/cli/slow_downs.hpp"

#include <catch2/catch.hpp>

#include <boost/json.hpp>

using namespace carobtide;

namespace {

Instant At(std::int64_t aMillis)
{
  return Instant(std::chrono::milliseconds(aMillis));
}

} // namespace

TEST_CASE("load reports are as old as the lag says", "[announcer]")
{
  LoadLag lag(std::chrono::milliseconds(2500));
  for (std::uint32_t second = 0; second <= 5; ++second) {
    LoadReport load;
    load.mRunning = 10 + second;
    lag.Record(At(second * 1000), load);
  }
  const LoadReport report = lag.Report(At(5000));
  CHECK(report.mRunning == 12);
  CHECK(report.mAge == std::chrono::seconds(3));
}

TEST_CASE("an announcement names its residents and their orders", "[announcer]")
{
  Announcement announcement;
  announcement.mTarget = TargetName("t-0");
  announcement.mIncarnation = Incarnation(77);
  announcement.mResident.push_back(
    { ModelName("m"), AdapterName("a"), 3, 4 * kGiB, OrderId(12) });
  const auto value = boost::json::parse(RenderAnnouncement(announcement));
  CHECK(value.at("incarnation").to_number<std::uint64_t>() == 77);
  const auto& resident = value.at("resident").at(0);
  CHECK(resident.at("adapter") == "a");
  CHECK(resident.at("memory_bytes").to_number<Bytes>() == 4 * kGiB);
  CHECK(resident.at("order_id").to_number<std::uint64_t>() == 12);
  CHECK(value.at("kind") == "engine");
}

TEST_CASE("orders are parsed, and faults name the field", "[announcer]")
{
  const auto order = ParseOrder(
    R"({"order_id":4,"fence":2,"target":"t","incarnation":9,"action":"load",)"
    R"("model":"m","adapter":"","version":1,"memory":1073741824})");
  REQUIRE(order);
  CHECK(order->mMemory == kGiB);
  const auto wrong = ParseOrder(
    R"({"order_id":4,"fence":2,"target":"t","incarnation":9,"action":"drop"})");
  REQUIRE_FALSE(wrong);
  CHECK(wrong.GetError().mDetail.find("action") != std::string::npos);
  CHECK_FALSE(ParseOrder("[]"));
  CHECK_FALSE(ParseOrder("{"));
}

TEST_CASE("the prefix cache counts leading hits and evicts the oldest",
          "[announcer]")
{
  const std::string prompt(4 * kPrefixBlockBytes + 10, 'x');
  const auto hashes = ComputePrefixHashes(prompt);
  REQUIRE(hashes.size() == 4);
  PrefixCache cache(5);
  std::vector<PrefixEvent> events;
  CHECK(cache.Touch(hashes, events) == 0);
  CHECK(cache.Touch(hashes, events) == 4);
  CHECK(events.size() == 4);
  events.clear();
  cache.Touch(ComputePrefixHashes("y" + prompt), events);
  CHECK(std::ranges::count_if(
          events, [](const auto& aEvent) { return aEvent.mEvicted; }) == 3);
}

TEST_CASE("slow-downs take about their share of time", "[announcer]")
{
  SlowDownOptions options;
  options.mShare = 0.2;
  options.mDuration = std::chrono::seconds(5);
  SlowDowns slow(options, 42, At(0));
  SlowDowns same(options, 42, At(0));
  int slowed = 0;
  constexpr int kSamples = 100'000;
  for (int i = 0; i < kSamples; ++i) {
    const double factor = slow.FactorAt(At(i * 1000));
    REQUIRE(factor == same.FactorAt(At(i * 1000)));
    slowed += factor > 1.0 ? 1 : 0;
  }
  CHECK(slowed > kSamples * 0.18);
  CHECK(slowed < kSamples * 0.22);
}
