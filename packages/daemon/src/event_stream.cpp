#include "event_stream.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace carobtide {

namespace {

constexpr std::string_view kDataPrefix = "data:";
constexpr std::string_view kEndMark = "data: [DONE]";
constexpr std::string_view kFinish = "\"finish_reason\":\"";

/** Bytes up to the end of the first event, 0 if it is not whole. */
std::size_t EventLength(std::string_view aText)
{
  constexpr std::string_view kLong = "\r\n\r\n";
  constexpr std::string_view kShort = "\n\n";
  const auto atLong = aText.find(kLong);
  const auto atShort = aText.find(kShort);
  if (atShort == std::string_view::npos && atLong == std::string_view::npos) {
    return 0;
  }
  return atLong < atShort ? atLong + kLong.size() : atShort + kShort.size();
}

} // namespace

std::uint32_t CountGeneratedTokens(std::string_view aBody)
{
  constexpr std::string_view kField = "\"completion_tokens\":";
  const auto at = aBody.rfind(kField);
  if (at == std::string_view::npos) {
    return 0;
  }
  std::string_view rest = aBody.substr(at + kField.size());
  rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
  std::uint32_t tokens = 0;
  std::from_chars(rest.data(), rest.data() + rest.size(), tokens);
  return tokens;
}

std::string_view EventStream::Take(std::string_view aPart)
{
  mWhole.clear();
  mPartial += aPart;
  std::string_view rest = mPartial;
  for (auto n = EventLength(rest); n != 0; n = EventLength(rest)) {
    CountEvent(rest.substr(0, n));
    rest.remove_prefix(n);
  }
  const std::size_t wholeBytes = mPartial.size() - rest.size();
  mWhole.assign(mPartial, 0, wholeBytes);
  mPartial.erase(0, wholeBytes);
  return mWhole;
}

void EventStream::DropPartial()
{
  mPartial.clear();
}

void EventStream::CountEvent(std::string_view aEvent)
{
  if (aEvent.starts_with(kEndMark)) {
    mEnded = true;
  } else if (aEvent.find(kFinish) != std::string_view::npos) {
    mFinished = true;
  } else if (aEvent.starts_with(kDataPrefix)) {
    ++mTokenCount;
    ++mNewTokens;
  }
}

std::uint32_t EventStream::TakeTokens()
{
  return std::exchange(mNewTokens, 0);
}

} // namespace carobtide
