#pragma once

/**
 * @file
 * The time line of all daemons: read, merged in causal order, rendered.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carobtide {

/** Reads the events of one daemon's answer to GET /timeline. */
Result<std::vector<Event>> ParseTimeline(std::string_view aJson);

/** Which events to keep; zero or empty keeps all. */
struct TimelineFilter
{
  RequestId mRequest;
  OrderId mOrder;
  /** Wall time in microseconds since the Unix epoch. */
  std::int64_t mSinceMicros = 0;
};

bool Matches(const Event& aEvent, const TimelineFilter& aFilter);

/**
 * Merges by hybrid stamp, so that a cause stands before its effect; equal
 * stamps by process. Drops events that arrived through two daemons.
 */
std::vector<Event> MergeTimelines(std::vector<std::vector<Event>> aTimelines);

/** How a time line is rendered. */
enum class TimelineFormat
{
  Text,
  Json,
  Html,
};

inline constexpr EnumTable<TimelineFormat, 3> kTimelineFormats{ { {
  { TimelineFormat::Text, "text" },
  { TimelineFormat::Json, "json" },
  { TimelineFormat::Html, "html" },
} } };

/** Renders events that are in order. */
std::string RenderTimeline(const std::vector<Event>& aEvents,
                           TimelineFormat aFormat);

/** One self-contained page with a lane per process. */
std::string RenderTimelineHtml(const std::vector<Event>& aEvents);

/** "2026-05-04T10:11:12.000345Z" of microseconds since the Unix epoch. */
std::string RenderWallTime(std::int64_t aMicros);

} // namespace carobtide
