#include "carobtide/daemon/announcement_json.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace carobtide;

namespace {

const std::string kWhole = R"({
  "target": "engines-0", "incarnation": 12, "sequence": 3,
  "failure_domain": "a", "address": "127.0.0.1:9000", "kind": "engine",
  "role": "mixed", "pool": "engines", "memory_bytes": 85899345920,
  "accelerators": 8,
  "resident": [ { "model": "lug", "adapter": "brass", "version": 2,
                  "memory_bytes": 1024, "order_id": 7 } ],
  "refused_orders": [ 5, 6 ], "checks_fencing": true, "leaving": false,
  "load": { "age_ms": 250, "running": 3, "waiting": 1, "kv_used": 0.5,
            "slots": 8 } })";

/** kWhole with one part of its text replaced. */
std::string Replaced(const std::string& aFrom, const std::string& aTo)
{
  std::string text = kWhole;
  const auto at = text.find(aFrom);
  REQUIRE(at != std::string::npos);
  return text.replace(at, aFrom.size(), aTo);
}

} // namespace

TEST_CASE("a whole announcement is read")
{
  const auto parsed = ParseAnnouncement(kWhole, "peer");
  REQUIRE(parsed);
  CHECK(parsed->mTarget == TargetName("engines-0"));
  CHECK(parsed->mIncarnation == Incarnation(12));
  CHECK(parsed->mAddress == Endpoint("127.0.0.1", 9000));
  CHECK(parsed->mChecksFencing);
  REQUIRE(parsed->mResident.size() == 1);
  CHECK(parsed->mResident[0].mOrder == OrderId(7));
  CHECK(parsed->mRefusedOrders.size() == 2);
  CHECK(parsed->mLoad.mAge == std::chrono::milliseconds(250));
  CHECK(parsed->mLoad.mSlots == 8);
}

TEST_CASE("a wrong announcement is refused with the field's name")
{
  const auto [from, to, field] =
    GENERATE(table<std::string, std::string, std::string>(
      { { "\"engines-0\"", "7", "target" },
        { "\"incarnation\": 12", "\"incarnation\": \"x\"", "incarnation" },
        { "\"incarnation\": 12", "\"incarnation\": 0", "incarnation" },
        { "127.0.0.1:9000", "example.org", "address" },
        { "\"kind\": \"engine\"", "\"kind\": \"boat\"", "kind" },
        { "85899345920", "-1", "memory_bytes" },
        { "[ 5, 6 ]", "[ 5, -6 ]", "refused_orders" },
        { "\"leaving\": false", "\"leaving\": 0", "leaving" },
        { "\"age_ms\": 250", "\"age_ms\": -1", "age_ms" } }));
  const auto parsed = ParseAnnouncement(Replaced(from, to), "10.0.0.1:4");
  REQUIRE_FALSE(parsed);
  CHECK(parsed.GetError().mCode == ErrorCode::Malformed);
  CHECK(parsed.GetError().mPeer == "10.0.0.1:4");
  CHECK(parsed.GetError().mDetail.find(field) != std::string::npos);
}

TEST_CASE("every truncation of an announcement is refused")
{
  for (std::size_t n = 0; n < kWhole.size(); ++n) {
    REQUIRE_FALSE(ParseAnnouncement(kWhole.substr(0, n), "peer"));
  }
}

TEST_CASE("cache events are read in hexadecimal")
{
  const auto parsed = ParseCacheEvents(
    R"({"target":"t","events":[{"prefix_hash":"ff","evicted":true}]})", "peer");
  REQUIRE(parsed);
  REQUIRE(parsed->size() == 1);
  CHECK(parsed->front().mPrefixHash == 255);
  CHECK(parsed->front().mEvicted);
  CHECK_FALSE(ParseCacheEvents(
    R"({"target":"t","events":[{"prefix_hash":"xyz"}]})", "peer"));
}
