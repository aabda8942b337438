#pragma once

/**
 * @file
 * Organisations whose callers share keys, a priority and an allowance.
 */

#include "carobtide/base.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace carobtide {

/**
 * SHA-256 of an API key. A catalog holds digests only, so that no key reaches a
 * log, a metric or a message by way of it.
 */
struct KeyDigest
{
  static constexpr std::size_t kBytes = 32;

  std::array<std::uint8_t, kBytes> mBytes{};

  auto operator<=>(const KeyDigest&) const = default;
};

/** Computes the digest of a key. Thread safety: any thread. */
KeyDigest ComputeKeyDigest(std::string_view aKey);

/** State of the header that carries a caller's key. */
enum class KeyHeader : std::uint8_t
{
  Absent,
  Usable,
  Empty,
  TooLong,
  Repeated,
};

inline constexpr EnumTable<KeyHeader, 5> kKeyHeaders{ { {
  { KeyHeader::Absent, "absent" },
  { KeyHeader::Usable, "usable" },
  { KeyHeader::Empty, "empty" },
  { KeyHeader::TooLong, "too-long" },
  { KeyHeader::Repeated, "repeated" },
} } };

/** What an allowance counts. */
enum class AllowanceUnit : std::uint8_t
{
  Requests,
  Tokens,
};

inline constexpr EnumTable<AllowanceUnit, 2> kAllowanceUnits{ { {
  { AllowanceUnit::Requests, "requests" },
  { AllowanceUnit::Tokens, "tokens" },
} } };

/** What an organisation may use, over all daemons together. */
struct Allowance
{
  AllowanceUnit mUnit = AllowanceUnit::Requests;
  /** Units a second; 0: no limit. */
  double mRate = 0;
  /** Units that may be used at once after a time of less use. */
  double mBurst = 0;
  /** Cost of a request that states no tokens, in tokens. */
  double mPlainTokens = 0;

  bool operator==(const Allowance&) const = default;
};

/** Callers that are identified by the same set of keys. */
struct Organisation
{
  OrganisationName mName;
  std::vector<KeyDigest> mKeys;
  /** Takes precedence over the route's priority; 0 is the most urgent. */
  std::optional<std::uint32_t> mPriority;
  /** Nothing: no limit. */
  std::optional<Allowance> mAllowance;

  bool IsLimited() const { return mAllowance && mAllowance->mRate > 0; }
};

} // namespace carobtide
