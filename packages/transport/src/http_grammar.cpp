#include "http_grammar.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace carobtide {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kFirstFinal = 200;
constexpr unsigned kLastFinal = 599;
/** 100 Continue, 102 Processing, 103 Early Hints. */
constexpr std::array<unsigned, 3> kInterim{ 100, 102, 103 };

Error Flaw(const std::string& aPeer, std::string_view aDetail)
{
  return MakeError(ErrorCode::Malformed, "http.check-response", aPeer, aDetail);
}

bool IsTokenByte(char aByte)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return (aByte >= '0' && aByte <= '9') || (aByte >= 'a' && aByte <= 'z') ||
         (aByte >= 'A' && aByte <= 'Z') ||
         kMarks.find(aByte) != std::string_view::npos;
}

bool IsValueByte(char aByte)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(aByte);
  return aByte == '\t' || (byte >= kFirstPrintable && byte != kDelete);
}

/** Text of a peer for a log line: printable, and not long. */
std::string Quote(std::string_view aText)
{
  constexpr std::size_t kMaxBytes = 40;
  std::string quoted(aText.substr(0, kMaxBytes));
  std::ranges::replace_if(
    quoted, [](char aByte) { return aByte < ' ' || aByte > '~'; }, '?');
  return "'" + quoted + "'";
}

} // namespace

bool IsFieldName(std::string_view aName)
{
  return !aName.empty() && std::ranges::all_of(aName, IsTokenByte);
}

bool IsFieldValue(std::string_view aValue)
{
  return std::ranges::all_of(aValue, IsValueByte);
}

bool MayBeSent(const HttpRequest& aRequest)
{
  const auto isTargetByte = [](char aByte) {
    return aByte != ' ' && aByte != '\t' && IsValueByte(aByte);
  };
  return IsFieldName(aRequest.mMethod) && !aRequest.mTarget.empty() &&
         std::ranges::all_of(aRequest.mTarget, isTargetByte) &&
         std::ranges::all_of(aRequest.mHeaders.All(), [](const auto& aField) {
           return IsFieldName(aField.first) && IsFieldValue(aField.second);
         });
}

bool HasReadableCoding(const http::fields& aFields)
{
  const auto codings = aFields.equal_range(http::field::transfer_encoding);
  const auto count = std::distance(codings.first, codings.second);
  return count == 0 || (count == 1 && boost::beast::iequals(
                                        codings.first->value(), "chunked"));
}

Result<Unit> CheckFields(const http::fields& aFields, const std::string& aPeer)
{
  for (const auto& field : aFields) {
    const std::string_view name = field.name_string();
    if (!IsFieldName(name)) {
      return Flaw(aPeer, "field name " + Quote(name));
    }
    if (!IsFieldValue(field.value())) {
      return Flaw(aPeer, "value of field " + Quote(name));
    }
  }
  return Success();
}

Result<ResponseHeadKind> CheckResponseHead(const http::header<false>& aHead,
                                           const std::string& aPeer)
{
  const unsigned status = aHead.result_int();
  const bool isInterim = std::ranges::find(kInterim, status) != kInterim.end();
  if (!isInterim && (status < kFirstFinal || status > kLastFinal)) {
    return Flaw(aPeer, "status " + std::to_string(status));
  }
  if (auto checked = CheckFields(aHead, aPeer); !checked) {
    return checked.GetError();
  }
  if (!HasReadableCoding(aHead)) {
    return Flaw(aPeer, "transfer coding " +
                         Quote(aHead[http::field::transfer_encoding]));
  }
  return isInterim ? ResponseHeadKind::Interim : ResponseHeadKind::Final;
}

} // namespace carobtide
