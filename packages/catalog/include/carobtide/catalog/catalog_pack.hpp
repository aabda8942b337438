#pragma once

/**
 * @file
 * How control daemons send a catalog to routing daemons.
 */

#include "carobtide/base.hpp"
#include "carobtide/catalog/catalog_register.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace carobtide {

/** Whether a routing daemon reads a compressed catalog. */
enum class CatalogEncoding : std::uint8_t
{
  /** What a build asks for that knows of no other encoding. */
  Plain,
  Deflated,
};

/**
 * The payload of a call for the catalog in force. Empty for Plain: that is what
 * earlier builds send.
 */
std::string EncodeCatalogCall(CatalogEncoding aWanted);

/** What a call asks for; Plain if it cannot be read. */
CatalogEncoding ReadCatalogCall(std::string_view aPayload);

/**
 * The reply with a catalog. A compressed one holds a version that no catalog
 * has, so that it is never taken for a plain one.
 */
std::string EncodeCatalogReply(const CatalogText& aText,
                               CatalogEncoding aEncoding);

/**
 * The catalog in a reply of either encoding. Errors: Malformed, and TooLarge
 * for a text of over 16 MiB, of which nothing is held.
 */
Result<CatalogText> ReadCatalogReply(std::string_view aReply,
                                     std::string_view aPeer);

} // namespace carobtide
