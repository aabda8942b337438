#include "carobtide/catalog/route_map.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace carobtide {

namespace {

std::string CanonicalHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.rfind(':')));
  std::ranges::transform(host, host.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return host;
}

} // namespace

RouteMap::RouteMap(std::shared_ptr<const Catalog> aCatalog)
  : mCatalog(std::move(aCatalog))
{
  for (const Route& route : mCatalog->mRoutes) {
    mRoutes.emplace(CanonicalHost(route.mHost) + route.mPathPrefix, &route);
  }
}

const Route* RouteMap::Find(std::string_view aHost,
                            std::string_view aPath) const
{
  std::string key = CanonicalHost(aHost);
  const std::size_t hostLength = key.size();
  key.append(aPath);
  // Each prefix ends with a slash: cut the key back from slash to slash.
  while (true) {
    const std::size_t slash = key.rfind('/');
    if (slash == std::string::npos || slash < hostLength) {
      return nullptr;
    }
    key.resize(slash + 1);
    if (const auto it = mRoutes.find(key); it != mRoutes.end()) {
      return it->second;
    }
    key.resize(slash);
  }
}

} // namespace carobtide
