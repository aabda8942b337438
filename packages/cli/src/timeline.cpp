#include "carobtide/cli/timeline.hpp"

#include "carobtide/cli/text_table.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <ctime>
#include <tuple>
#include <utility>

namespace carobtide {

namespace json = boost::json;

namespace {

Error Fault(std::string aDetail)
{
  return Error{ ErrorCode::Malformed, "timeline.parse", "",
                std::move(aDetail) };
}

template<class Number>
Number NumberOf(const json::object& aObject, std::string_view aKey)
{
  const json::value* value = aObject.if_contains(aKey);
  if (value == nullptr) {
    return 0;
  }
  json::error_code ec;
  const auto number = value->to_number<Number>(ec);
  return ec ? Number{ 0 } : number;
}

std::string TextOf(const json::object& aObject, std::string_view aKey)
{
  const json::value* value = aObject.if_contains(aKey);
  return value != nullptr && value->is_string()
           ? std::string(value->get_string())
           : std::string();
}

Result<Event> ParseEvent(const json::value& aValue)
{
  if (!aValue.is_object()) {
    return Fault("an event is not an object");
  }
  const json::object& fields = aValue.get_object();
  const std::string name = TextOf(fields, "step");
  const auto step = kEventSteps.Find(name);
  if (!step) {
    return Fault("unknown step \"" + name + "\"");
  }
  Event event;
  event.mStamp.mWallMicros = NumberOf<std::int64_t>(fields, "wall_us");
  event.mStamp.mCounter = NumberOf<std::uint32_t>(fields, "counter");
  event.mProcess = TextOf(fields, "process");
  event.mStep = *step;
  event.mPeer = TextOf(fields, "peer");
  event.mRequest = RequestId(NumberOf<std::uint64_t>(fields, "request"));
  event.mOrder = OrderId(NumberOf<std::uint64_t>(fields, "order"));
  event.mDetail = TextOf(fields, "detail");
  return event;
}

auto SortKey(const Event& aEvent)
{
  return std::tie(aEvent.mStamp, aEvent.mProcess);
}

bool IsSame(const Event& aLeft, const Event& aRight)
{
  return SortKey(aLeft) == SortKey(aRight) && aLeft.mStep == aRight.mStep &&
         aLeft.mPeer == aRight.mPeer && aLeft.mDetail == aRight.mDetail;
}

template<class Id>
std::string RenderId(Id aId)
{
  return aId.Value() == 0 ? "-" : std::to_string(aId.Value());
}

std::string RenderText(const std::vector<Event>& aEvents)
{
  TextTable table(
    { "time", "process", "step", "peer", "request", "order", "detail" });
  for (const Event& event : aEvents) {
    table.AddRow({ RenderWallTime(event.mStamp.mWallMicros), event.mProcess,
                   std::string(kEventSteps.Name(event.mStep)),
                   event.mPeer.empty() ? "-" : event.mPeer,
                   RenderId(event.mRequest), RenderId(event.mOrder),
                   event.mDetail });
  }
  return table.Render();
}

std::string RenderJsonLines(const std::vector<Event>& aEvents)
{
  std::string text;
  for (const Event& event : aEvents) {
    text +=
      json::serialize(json::object{ { "wall_us", event.mStamp.mWallMicros },
                                    { "counter", event.mStamp.mCounter },
                                    { "process", event.mProcess },
                                    { "step", kEventSteps.Name(event.mStep) },
                                    { "peer", event.mPeer },
                                    { "request", event.mRequest.Value() },
                                    { "order", event.mOrder.Value() },
                                    { "detail", event.mDetail } });
    text += '\n';
  }
  return text;
}

} // namespace

Result<std::vector<Event>> ParseTimeline(std::string_view aJson)
{
  json::error_code ec;
  json::value value =
    json::parse(json::string_view(aJson.data(), aJson.size()), ec);
  if (ec) {
    return Fault("not JSON");
  }
  if (value.is_object() && value.get_object().contains("events")) {
    json::value inner = value.get_object().at("events");
    value = std::move(inner);
  }
  if (!value.is_array()) {
    return Fault("no list of events");
  }
  std::vector<Event> events;
  for (const json::value& item : value.get_array()) {
    auto event = ParseEvent(item);
    if (!event) {
      return event.GetError();
    }
    events.push_back(std::move(*event));
  }
  return events;
}

bool Matches(const Event& aEvent, const TimelineFilter& aFilter)
{
  const bool isRequest =
    aFilter.mRequest == RequestId() || aEvent.mRequest == aFilter.mRequest;
  const bool isOrder =
    aFilter.mOrder == OrderId() || aEvent.mOrder == aFilter.mOrder;
  return isRequest && isOrder &&
         aEvent.mStamp.mWallMicros >= aFilter.mSinceMicros;
}

std::vector<Event> MergeTimelines(std::vector<std::vector<Event>> aTimelines)
{
  std::vector<Event> merged;
  for (auto& timeline : aTimelines) {
    std::ranges::move(timeline, std::back_inserter(merged));
  }
  std::ranges::stable_sort(merged, [](const Event& aLeft, const Event& aRight) {
    return SortKey(aLeft) < SortKey(aRight);
  });
  merged.erase(std::unique(merged.begin(), merged.end(), IsSame), merged.end());
  return merged;
}

std::string RenderTimeline(const std::vector<Event>& aEvents,
                           TimelineFormat aFormat)
{
  switch (aFormat) {
    case TimelineFormat::Text:
      return RenderText(aEvents);
    case TimelineFormat::Json:
      return RenderJsonLines(aEvents);
    case TimelineFormat::Html:
      return RenderTimelineHtml(aEvents);
  }
  return {};
}

std::string RenderWallTime(std::int64_t aMicros)
{
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  constexpr std::size_t kMicroDigits = 6;
  const std::time_t seconds = aMicros / kMicrosPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> buf{};
  const std::size_t n =
    std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::string micros = std::to_string(aMicros % kMicrosPerSecond);
  micros.insert(0, kMicroDigits - std::min(kMicroDigits, micros.size()), '0');
  return std::string(buf.data(), n) + "." + micros + "Z";
}

} // namespace carobtide
