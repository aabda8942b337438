/**
 * @file
 * Any bytes as a path: only a plain path below a listed prefix is idempotent.
 */

#include "carobtide/bundle.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace carobtide;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  const std::string_view path(reinterpret_cast<const char*>(aData), aSize);
  ServiceSpec service;
  service.mIdempotentPaths = { "GET /stock", "/health/" };
  if (!IsIdempotentCall(service, "GET", path)) {
    return 0;
  }
  const std::string_view plain = path.substr(0, path.find('?'));
  const bool isListed = plain == "/stock" || plain.starts_with("/stock/") ||
                        plain == "/health" || plain.starts_with("/health/");
  const auto contains = [&](std::string_view aText) {
    return plain.find(aText) != std::string_view::npos;
  };
  const bool isOdd = contains("%") || contains("\\") || contains("//") ||
                     contains("/./") || contains("/../") ||
                     plain.ends_with("/.") || plain.ends_with("/..");
  if (!isListed || isOdd) {
    std::abort();
  }
  return 0;
}
