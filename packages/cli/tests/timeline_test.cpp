#include "carobtide/cli/text_table.hpp"
#include "carobtide/cli/timeline.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace carobtide;

namespace {

Event At(std::int64_t aMicros, std::uint32_t aCounter, const char* aProcess,
         std::uint64_t aRequest = 0)
{
  Event event;
  event.mStamp = { aMicros, aCounter };
  event.mProcess = aProcess;
  event.mStep = EventStep::AttemptDispatched;
  event.mPeer = "daemon-b";
  event.mRequest = RequestId(aRequest);
  return event;
}

} // namespace

TEST_CASE("time lines merge in causal order without doubles", "[timeline]")
{
  const auto merged =
    MergeTimelines({ { At(10, 1, "daemon-a"), At(30, 0, "daemon-a") },
                     { At(10, 0, "daemon-b"), At(20, 0, "daemon-b") },
                     { At(20, 0, "daemon-b") } });
  REQUIRE(merged.size() == 4);
  CHECK(std::ranges::is_sorted(merged, {}, &Event::mStamp));
  CHECK(merged.front().mProcess == "daemon-b");
}

TEST_CASE("a time line survives its JSON form", "[timeline]")
{
  const std::string lines =
    RenderTimeline({ At(10, 1, "daemon-a", 42) }, TimelineFormat::Json);
  const auto parsed = ParseTimeline("{\"events\":[" + lines + "]}");
  REQUIRE(parsed);
  REQUIRE(parsed->size() == 1);
  CHECK(parsed->front().mStamp == HybridStamp{ 10, 1 });
  CHECK(parsed->front().mRequest == RequestId(42));
  CHECK(parsed->front().mStep == EventStep::AttemptDispatched);
  CHECK_FALSE(ParseTimeline(R"([{"step":"no-such-step"}])"));
  CHECK_FALSE(ParseTimeline("7"));
}

TEST_CASE("filters keep one request and what came since", "[timeline]")
{
  const Event event = At(10, 0, "daemon-a", 42);
  CHECK(Matches(event, { RequestId(42), OrderId(), 10 }));
  CHECK_FALSE(Matches(event, { RequestId(43), OrderId(), 0 }));
  CHECK_FALSE(Matches(event, { RequestId(), OrderId(1), 0 }));
  CHECK_FALSE(Matches(event, { RequestId(), OrderId(), 11 }));
}

TEST_CASE("the page has a lane per process and escapes text", "[timeline]")
{
  Event event = At(10, 0, "daemon-a", 42);
  event.mDetail = "<script>alert(1)</script>";
  const std::string page = RenderTimelineHtml({ event, At(11, 0, "daemon-b") });
  CHECK(page.find("daemon-a</text>") != std::string::npos);
  CHECK(page.find("daemon-b</text>") != std::string::npos);
  CHECK(page.find("<script>alert") == std::string::npos);
  CHECK(page.find("http://www.w3.org/2000/svg") != std::string::npos);
  CHECK(page.find("src=") == std::string::npos);
}

TEST_CASE("times are rendered in UTC with microseconds", "[timeline]")
{
  CHECK(RenderWallTime(1'000'000'000'000'345) == "2001-09-09T01:46:40.000345Z");
}

TEST_CASE("JSON answers are rendered as aligned text", "[timeline]")
{
  const std::string text = RenderJsonAsText(
    R"({"leader":"daemon-a","log":{"index":7},)"
    R"("targets":[{"name":"t-0","load":{"running":3}},{"name":"target-10"}]})");
  CHECK(text == "leader     daemon-a\n"
                "log.index  7\n"
                "\n"
                "targets\n"
                "NAME       LOAD.RUNNING\n"
                "t-0        3\n"
                "target-10  -\n");
  CHECK(RenderJsonAsText("not json") == "not json");
}
