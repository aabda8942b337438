#include "../src/stream_meter.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace carobtide;

TEST_CASE("events and the end mark are seen however the stream is cut up")
{
  const std::string stream =
    "data: {\"a\":1}\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n";
  for (std::size_t n = 1; n <= stream.size(); ++n) {
    StreamMeter meter;
    for (std::size_t at = 0; at < stream.size(); at += n) {
      meter.Take(std::string_view(stream).substr(at, n));
    }
    REQUIRE(meter.TakeTokens() == 2);
    REQUIRE(meter.HasEnded());
  }
}

TEST_CASE("a stream without its end mark has not ended")
{
  StreamMeter meter;
  meter.Take("data: {\"a\":1}\n\ndata: [DO");
  CHECK_FALSE(meter.HasEnded());
  meter.Take("NE]\n");
  CHECK(meter.HasEnded());
  meter.Take("data: {\"late\":1}\n");
  CHECK_FALSE(meter.HasEnded());
}
