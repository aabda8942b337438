#include "carobtide/base/endpoint.hpp"

#include <charconv>
#include <system_error>

namespace carobtide {

std::string Endpoint::ToString() const
{
  return mHost + ":" + std::to_string(mPort);
}

std::optional<Endpoint> ParseEndpoint(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  const std::string_view host = aText.substr(0, colon);
  const std::string_view port = aText.substr(colon + 1);
  constexpr std::string_view kHostCharacters = "0123456789abcdefABCDEF.:[]";
  if (host.find_first_not_of(kHostCharacters) != std::string_view::npos) {
    return std::nullopt;
  }
  Endpoint endpoint{ std::string(host), 0 };
  const char* end = port.data() + port.size();
  const auto parsed = std::from_chars(port.data(), end, endpoint.mPort);
  if (port.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return endpoint;
}

} // namespace carobtide
