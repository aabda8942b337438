#include "carobtide/transport/http_types.hpp"

#include <algorithm>
#include <cctype>

namespace carobtide {

namespace {

bool EqualsWithoutCase(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(aLeft, aRight, [](char aFirst, char aSecond) {
    return std::tolower(static_cast<unsigned char>(aFirst)) ==
           std::tolower(static_cast<unsigned char>(aSecond));
  });
}

} // namespace

void HttpHeaders::Add(std::string aName, std::string aValue)
{
  mFields.emplace_back(std::move(aName), std::move(aValue));
}

std::string_view HttpHeaders::Get(std::string_view aName) const
{
  const auto it = std::ranges::find_if(mFields, [&](const auto& aField) {
    return EqualsWithoutCase(aField.first, aName);
  });
  return it == mFields.end() ? std::string_view{} : it->second;
}

bool HttpHeaders::Has(std::string_view aName) const
{
  return std::ranges::any_of(mFields, [&](const auto& aField) {
    return EqualsWithoutCase(aField.first, aName);
  });
}

std::string_view HttpRequest::Path() const
{
  return std::string_view(mTarget).substr(0, mTarget.find('?'));
}

std::string_view HttpRequest::Query(std::string_view aName) const
{
  const auto mark = mTarget.find('?');
  if (mark == std::string::npos) {
    return {};
  }
  std::string_view rest = std::string_view(mTarget).substr(mark + 1);
  while (!rest.empty()) {
    const auto end =
      static_cast<std::size_t>(std::ranges::find(rest, '&') - rest.begin());
    const std::string_view pair = rest.substr(0, end);
    const auto equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == aName) {
      return equals < pair.size() ? pair.substr(equals + 1)
                                  : std::string_view{};
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

bool IsEventStream(const HttpResponseHead& aHead)
{
  constexpr std::string_view kType = "text/event-stream";
  const std::string_view type = aHead.mHeaders.Get("Content-Type");
  return EqualsWithoutCase(type.substr(0, kType.size()), kType);
}

HttpResponse MakeResponse(std::uint16_t aStatus, std::string aContentType,
                          std::string aBody)
{
  HttpResponse response;
  response.mHead.mStatus = aStatus;
  response.mHead.mHeaders.Add("Content-Type", std::move(aContentType));
  response.mBody = std::move(aBody);
  return response;
}

} // namespace carobtide
