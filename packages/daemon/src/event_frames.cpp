#include "event_frames.hpp"

#include <algorithm>

namespace carobtide {

namespace {

/** Position behind the last empty line, or 0 if there is none. */
std::size_t EndOfLastEvent(std::string_view aText)
{
  std::size_t end = 0;
  for (const std::string_view mark : { "\n\n", "\r\n\r\n" }) {
    const auto at = aText.rfind(mark);
    if (at != std::string_view::npos) {
      end = std::max(end, at + mark.size());
    }
  }
  return end;
}

} // namespace

std::string EventFrames::Take(std::string_view aBytes)
{
  mRest.append(aBytes);
  const std::size_t end = EndOfLastEvent(mRest);
  std::string events = mRest.substr(0, end);
  // A long event must not keep its memory until the stream ends.
  mRest = mRest.substr(end);
  NoteIds(events);
  return events;
}

void EventFrames::NoteIds(std::string_view aEvents)
{
  constexpr std::string_view kField = "id:";
  std::size_t at = aEvents.rfind(kField);
  while (at != std::string_view::npos && at != 0 && aEvents[at - 1] != '\n') {
    at = aEvents.rfind(kField, at - 1);
  }
  if (at == std::string_view::npos) {
    return;
  }
  std::string_view id = aEvents.substr(at + kField.size());
  id = id.substr(0, id.find_first_of("\r\n"));
  id.remove_prefix(std::min(id.find_first_not_of(' '), id.size()));
  mLastId = id;
}

} // namespace carobtide
