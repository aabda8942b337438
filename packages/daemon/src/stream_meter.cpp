#include "stream_meter.hpp"

#include <utility>

namespace carobtide {

namespace {

constexpr std::string_view kDataPrefix = "data:";
constexpr std::string_view kEndMark = "data: [DONE]";
/** Only the start of a line is kept: enough to tell the end mark. */
constexpr std::size_t kKeptBytes = 16;

} // namespace

void StreamMeter::Take(std::string_view aPart)
{
  while (!aPart.empty()) {
    const auto end = aPart.find('\n');
    const std::string_view line = aPart.substr(0, end);
    if (mLine.size() < kKeptBytes) {
      mLine += line.substr(0, kKeptBytes - mLine.size());
    }
    if (end == std::string_view::npos) {
      return;
    }
    TakeLine();
    aPart.remove_prefix(end + 1);
  }
}

void StreamMeter::TakeLine()
{
  if (mLine.ends_with('\r')) {
    mLine.pop_back();
  }
  if (mLine == kEndMark) {
    mEnded = true;
  } else if (mLine.starts_with(kDataPrefix)) {
    mEnded = false;
    ++mTokens;
  }
  mLine.clear();
}

std::uint32_t StreamMeter::TakeTokens()
{
  return std::exchange(mTokens, 0);
}

bool StreamMeter::HasEnded() const
{
  return mEnded;
}

} // namespace carobtide
