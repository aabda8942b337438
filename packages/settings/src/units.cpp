#include "units.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <limits>
#include <span>
#include <system_error>

namespace carobtide {

namespace {

/** A unit and how many of the base unit it stands for. */
struct UnitFactor
{
  std::string_view mName;
  std::int64_t mFactor = 1;
};

constexpr std::array<UnitFactor, 5> kDurationUnits{ {
  { "us", 1 },
  { "ms", 1'000 },
  { "s", 1'000'000 },
  { "m", 60'000'000 },
  { "h", 3'600'000'000 },
} };

constexpr std::array<UnitFactor, 4> kSizeUnits{ {
  { "B", 1 },
  { "KiB", kKiB },
  { "MiB", kMiB },
  { "GiB", kGiB },
} };

/** Parses a count and its unit; nothing if it overflows. */
std::optional<std::int64_t> ParseWithUnit(std::string_view aText,
                                          std::span<const UnitFactor> aUnits)
{
  std::int64_t count = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, count);
  if (parsed.ec != std::errc{} || count < 0) {
    return std::nullopt;
  }
  const std::string_view unit(parsed.ptr,
                              static_cast<std::size_t>(end - parsed.ptr));
  const auto it = std::ranges::find(aUnits, unit, &UnitFactor::mName);
  if (it == aUnits.end() ||
      count > std::numeric_limits<std::int64_t>::max() / it->mFactor) {
    return std::nullopt;
  }
  return count * it->mFactor;
}

} // namespace

std::optional<Duration> ParseDuration(std::string_view aText)
{
  const auto micros = ParseWithUnit(aText, kDurationUnits);
  return micros ? std::optional(Duration(*micros)) : std::nullopt;
}

std::optional<Bytes> ParseSize(std::string_view aText)
{
  return ParseWithUnit(aText, kSizeUnits);
}

} // namespace carobtide
