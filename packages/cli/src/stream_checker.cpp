#include "carobtide/cli/stream_checker.hpp"

#include <algorithm>
#include <utility>

namespace carobtide {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataField = "data: ";
constexpr std::string_view kEndMarker = "[DONE]";
constexpr std::string_view kErrorField = "{\"error\"";

/** The string value of a field; nothing if the event lacks it. */
std::string_view FieldText(std::string_view aEvent, std::string_view aField)
{
  const auto at = aEvent.find(aField);
  if (at == std::string_view::npos) {
    return {};
  }
  const std::string_view rest = aEvent.substr(at + aField.size());
  return rest.substr(0, rest.find('"'));
}

} // namespace

StreamChecker::StreamChecker(const Answer& aAnswer, std::string_view aId)
  : mAnswer(&aAnswer)
  , mIdField(aId.empty() ? std::string()
                         : "\"id\":\"" + std::string(aId) + "\"")
{
}

void StreamChecker::Feed(std::string_view aBytes)
{
  if (!mPartial.empty()) {
    mPartial += aBytes;
    aBytes = mPartial;
  }
  std::size_t at = 0;
  for (auto end = aBytes.find(kEventEnd); end != std::string_view::npos;
       end = aBytes.find(kEventEnd, at)) {
    TakeEvent(aBytes.substr(at, end - at));
    at = end + kEventEnd.size();
  }
  std::string left(aBytes.substr(at));
  mPartial = std::move(left);
}

bool StreamChecker::IsWhole() const
{
  return mDone && mFault == StreamFault::None && mPartial.empty() &&
         mExpected.empty() && mTokens == mAnswer->Length();
}

void StreamChecker::TakeEvent(std::string_view aEvent)
{
  if (aEvent.starts_with(":")) {
    return;
  }
  if (!aEvent.starts_with(kDataField) || mDone) {
    Fail(StreamFault::Garbage);
    return;
  }
  const std::string_view data = aEvent.substr(kDataField.size());
  if (data == kEndMarker) {
    mDone = true;
    return;
  }
  if (data.starts_with(kErrorField)) {
    Fail(StreamFault::Error);
    return;
  }
  if (!mIdField.empty() && data.find(mIdField) == std::string_view::npos) {
    Fail(StreamFault::WrongId);
    return;
  }
  std::string_view text = FieldText(data, "\"content\":\"");
  if (text.empty()) {
    text = FieldText(data, "\"text\":\"");
  }
  if (!text.empty()) {
    ++mEvents;
    TakeText(text);
  }
}

void StreamChecker::TakeText(std::string_view aText)
{
  while (!aText.empty()) {
    if (mExpected.empty()) {
      if (mTokens == mAnswer->Length()) {
        Fail(StreamFault::WrongText);
        return;
      }
      mAnswer->AppendToken(mTokens++, mExpected);
    }
    const std::size_t n = std::min(aText.size(), mExpected.size());
    if (aText.substr(0, n) != std::string_view(mExpected).substr(0, n)) {
      Fail(StreamFault::WrongText);
      return;
    }
    aText.remove_prefix(n);
    mExpected.erase(0, n);
  }
}

void StreamChecker::Fail(StreamFault aFault)
{
  if (mFault == StreamFault::None) {
    mFault = aFault;
  }
}

} // namespace carobtide
