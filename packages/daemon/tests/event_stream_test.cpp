#include "../src/event_stream.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace carobtide;

namespace {

const std::string kStream =
  "data: {\"a\":1}\n\ndata: {\"b\":2}\r\n\r\n"
  "data: {\"finish_reason\":\"stop\"}\n\ndata: [DONE]\n\n";

} // namespace

TEST_CASE("events and the end mark are seen however the stream is cut up")
{
  for (std::size_t n = 1; n <= kStream.size(); ++n) {
    EventStream events;
    std::string delivered;
    for (std::size_t at = 0; at < kStream.size(); at += n) {
      delivered += events.Take(std::string_view(kStream).substr(at, n));
    }
    REQUIRE(delivered == kStream);
    REQUIRE(events.TakeTokens() == 2);
    REQUIRE(events.TokenCount() == 2);
    REQUIRE(events.HasFinished());
    REQUIRE(events.HasEnded());
  }
}

TEST_CASE("half an event is held back and can be dropped")
{
  EventStream events;
  CHECK(events.Take("data: {\"a\":1}\n\ndata: {\"b") == "data: {\"a\":1}\n\n");
  CHECK(events.Partial() == "data: {\"b");
  CHECK(events.HasPartial());
  events.DropPartial();
  CHECK_FALSE(events.HasPartial());
  CHECK(events.Take("data: {\"b\":2}\n\n") == "data: {\"b\":2}\n\n");
  CHECK(events.TokenCount() == 2);
  CHECK_FALSE(events.HasEnded());
}

TEST_CASE("an empty line more is no part of an event")
{
  EventStream events;
  events.Take("data: {\"a\":1}\r\n\r\n");
  CHECK(events.Take("\r\n").empty());
  CHECK_FALSE(events.HasPartial());
}

TEST_CASE("a stream without its end mark has not ended")
{
  EventStream events;
  events.Take("data: {\"a\":1}\n\ndata: [DO");
  CHECK_FALSE(events.HasEnded());
  events.Take("NE]\n\n");
  CHECK(events.HasEnded());
}

TEST_CASE("the tokens of a whole answer are read from its usage")
{
  CHECK(CountGeneratedTokens(R"({"usage":{"completion_tokens":17}})") == 17);
  CHECK(CountGeneratedTokens(R"({"usage":{"completion_tokens": 5 }})") == 5);
  CHECK(CountGeneratedTokens(R"({"usage":{"completion_tokens":)") == 0);
  CHECK(CountGeneratedTokens("{}") == 0);
}
