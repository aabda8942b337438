#pragma once

/**
 * @file
 * Names the text of a catalog in the logs of all daemons.
 */

#include "carobtide/base.hpp"

#include <iomanip>
#include <sstream>
#include <string>
#include <string_view>

namespace carobtide {

/**
 * Hexadecimal checksum of a catalog as its operator sent it; equal at the
 * control daemon that acknowledges it and at every daemon that puts it into
 * force. Thread safety: any thread.
 */
inline std::string DigestOf(std::string_view aCatalogText)
{
  constexpr int kDigits = 16;
  std::ostringstream out;
  out << std::hex << std::setw(kDigits) << std::setfill('0')
      << ComputeChecksum(aCatalogText);
  return out.str();
}

} // namespace carobtide
