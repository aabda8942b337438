#include "carobtide/routing/fingerprint.hpp"

#include <algorithm>
#include <iomanip>
#include <numeric>
#include <sstream>

namespace carobtide {

Fingerprint FingerprintOf(std::initializer_list<std::string_view> aTexts)
{
  // The hash of one text seeds the next, so that their borders count.
  const std::uint64_t hash =
    std::accumulate(aTexts.begin(), aTexts.end(), std::uint64_t{ 1 },
                    [](std::uint64_t aSeed, std::string_view aText) {
                      return ComputeChecksum(aText, aSeed);
                    });
  return Fingerprint(std::max<std::uint64_t>(hash, 1));
}

std::string ToHex(Fingerprint aFingerprint)
{
  constexpr int kDigits = 16;
  std::ostringstream hex;
  hex << std::hex << std::setw(kDigits) << std::setfill('0')
      << aFingerprint.Value();
  return hex.str();
}

} // namespace carobtide
