#include "../src/event_frames.hpp"

#include <catch2/catch.hpp>

namespace carobtide {

TEST_CASE("only whole events are passed on, however the bytes come")
{
  const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    EventFrames frames;
    std::string passed;
    for (std::size_t at = 0; at < text.size(); at += step) {
      passed += frames.Take(std::string_view(text).substr(at, step));
    }
    CHECK(passed == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(frames.LastId() == "2");
    CHECK(frames.HasRest());
  }
}

TEST_CASE("a resumed stream goes on after the last whole event")
{
  EventFrames frames;
  frames.Take("id: 7\r\ndata: x id: 9\r\n\r\nid: 8\r\ndat");
  CHECK(frames.LastId() == "7");
  frames.DropRest();
  CHECK(frames.Take("id: 8\r\ndata: y\r\n\r\n") == "id: 8\r\ndata: y\r\n\r\n");
  CHECK(frames.LastId() == "8");
  CHECK_FALSE(frames.HasRest());
}

TEST_CASE("what follows the last event is kept until the event is whole")
{
  EventFrames frames;
  CHECK(frames.Take("data: x\n\ntail") == "data: x\n\n");
  CHECK(frames.LastId().empty());
  CHECK(frames.HasRest());
  CHECK(frames.Take("\n\n") == "tail\n\n");
  CHECK_FALSE(frames.HasRest());
}

TEST_CASE("an empty line more is no event that is cut")
{
  EventFrames frames;
  CHECK(frames.Take("data: x\r\n\r\n") == "data: x\r\n\r\n");
  CHECK(frames.Take("\r\n").empty());
  CHECK_FALSE(frames.HasRest());
}

TEST_CASE("bytes without the end of an event are noticed as too many")
{
  EventFrames frames;
  const std::string much(64 * 1024, 'x');
  for (int n = 0; n < 4; ++n) {
    frames.Take(much);
    CHECK_FALSE(frames.IsTooLong());
  }
  frames.Take("x");
  CHECK(frames.IsTooLong());
  frames.DropRest();
  CHECK_FALSE(frames.IsTooLong());
}

} // namespace carobtide
