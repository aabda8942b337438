#include "carobtide/base/hash.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <charconv>
#include <cstdio>
#include <numeric>
#include <system_error>

namespace carobtide {

namespace {

constexpr std::size_t kHalfDigits = 16;

bool ParseHalf(std::string_view aHex, std::uint64_t& aOut)
{
  constexpr int kHexBase = 16;
  const char* end = aHex.data() + aHex.size();
  const auto parsed = std::from_chars(aHex.data(), end, aOut, kHexBase);
  return parsed.ec == std::errc{} && parsed.ptr == end;
}

} // namespace

std::string Digest::ToHex() const
{
  char buf[2 * kHalfDigits + 1];
  std::snprintf(buf, sizeof buf, "%016llx%016llx",
                static_cast<unsigned long long>(mHigh),
                static_cast<unsigned long long>(mLow));
  return buf;
}

Digest ComputeDigest(std::string_view aBytes)
{
  const XXH128_hash_t hash = XXH3_128bits(aBytes.data(), aBytes.size());
  return Digest{ hash.high64, hash.low64 };
}

Digest ComputeDigest(std::initializer_list<std::string_view> aTexts)
{
  // The digest of one text seeds the next.
  return std::accumulate(
    aTexts.begin(), aTexts.end(), Digest{},
    [](const Digest& aSeed, std::string_view aText) {
      const XXH128_hash_t hash =
        XXH3_128bits_withSeed(aText.data(), aText.size(), aSeed.mLow);
      return Digest{ hash.high64 ^ aSeed.mHigh, hash.low64 };
    });
}

std::uint64_t ComputeChecksum(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

bool ParseDigest(std::string_view aHex, Digest& aOut)
{
  return aHex.size() == 2 * kHalfDigits &&
         ParseHalf(aHex.substr(0, kHalfDigits), aOut.mHigh) &&
         ParseHalf(aHex.substr(kHalfDigits), aOut.mLow);
}

} // namespace carobtide
