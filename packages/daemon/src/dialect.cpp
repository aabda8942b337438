#include "carobtide/daemon/dialect.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>
#include <vector>

namespace carobtide {

namespace {

/**
 * Headers of one hop, RFC 9110 section 7.6.1, what frames the body, and that of
 * daemons which hand requests to each other.
 */
constexpr std::array<std::string_view, 12> kHopHeaders = {
  "connection",       "keep-alive",
  "proxy-connection", "te",
  "trailer",          "transfer-encoding",
  "upgrade",          "content-length",
  "expect",           "proxy-authenticate",
  "carobtide-relay",  "carobtide-organisation"
};

std::string Lower(std::string_view aText)
{
  std::string lower(aText);
  std::ranges::transform(lower, lower.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return lower;
}

/** Names that a Connection header lists. */
std::vector<std::string> ListedNames(std::string_view aValue)
{
  std::vector<std::string> names;
  while (!aValue.empty()) {
    const std::size_t comma = aValue.find(',');
    std::string_view name = aValue.substr(0, comma);
    aValue = comma == std::string_view::npos ? std::string_view{}
                                             : aValue.substr(comma + 1);
    const auto first = name.find_first_not_of(" \t");
    const auto last = name.find_last_not_of(" \t");
    if (first != std::string_view::npos) {
      names.push_back(Lower(name.substr(first, last - first + 1)));
    }
  }
  return names;
}

} // namespace

HttpHeaders EndToEndHeaders(const HttpHeaders& aHeaders)
{
  const auto listed = ListedNames(aHeaders.Get("Connection"));
  HttpHeaders kept;
  for (const auto& [name, value] : aHeaders.All()) {
    const std::string lower = Lower(name);
    const bool isHop =
      std::ranges::find(kHopHeaders, lower) != kHopHeaders.end() ||
      std::ranges::find(listed, lower) != listed.end();
    if (!isHop) {
      kept.Add(name, value);
    }
  }
  return kept;
}

} // namespace carobtide
