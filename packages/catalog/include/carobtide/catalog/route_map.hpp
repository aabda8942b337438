#pragma once

/**
 * @file
 * Finds the route of a request.
 */

#include "carobtide/catalog/catalog.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace carobtide {

/**
 * Routes of one catalog by host and longest path prefix.
 *
 * Thread safety: immutable after construction, safe from any thread.
 */
class RouteMap
{
public:
  /** Precondition: the catalog passed CheckCatalog. */
  explicit RouteMap(std::shared_ptr<const Catalog> aCatalog);

  /**
   * The route with the longest prefix that begins the path, among those of
   * the host; null if none. A port after the host is ignored, and so is the
   * case of the host. `aPath` has no query.
   */
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

  const Catalog& GetCatalog() const { return *mCatalog; }

private:
  std::shared_ptr<const Catalog> mCatalog;
  /** Key: host and prefix. A prefix holds its host's slash, so keys differ. */
  std::unordered_map<std::string, const Route*> mRoutes;
};

} // namespace carobtide
