#pragma once

/**
 * @file
 * Content digests (XXH3, 128 bits) and checksums (XXH3, 64 bits). Neither is
 * cryptographic; operators and callers are trusted not to forge collisions.
 */

#include <compare>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace carobtide {

/** A 128-bit content digest. */
struct Digest
{
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;

  auto operator<=>(const Digest&) const = default;

  /** Renders 32 lower-case hexadecimal digits. */
  std::string ToHex() const;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHigh, mLow);
  }
};

/** Computes the digest of some bytes. Thread safety: any thread. */
Digest ComputeDigest(std::string_view aBytes);

/** Computes the digest of texts in order; their borders count. */
Digest ComputeDigest(std::initializer_list<std::string_view> aTexts);

/** Computes a 64-bit checksum. Thread safety: any thread. */
std::uint64_t ComputeChecksum(std::string_view aBytes, std::uint64_t aSeed = 0);

/** Parses what Digest::ToHex renders; returns false on anything else. */
bool ParseDigest(std::string_view aHex, Digest& aOut);

} // namespace carobtide
