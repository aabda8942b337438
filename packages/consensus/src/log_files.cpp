/**
 * @file
 * Names and contents of the files of one stored log.
 */

#include "log_files.hpp"

#include <array>
#include <charconv>
#include <cstdio>

namespace carobtide {

namespace {

constexpr std::size_t kDigits = 16;
constexpr int kBase = 16;

} // namespace

std::string NumberedName(std::string_view aPrefix, std::uint64_t aNumber)
{
  std::array<char, kDigits> digits{};
  const auto end =
    std::to_chars(digits.data(), digits.data() + kDigits, aNumber, kBase).ptr;
  const auto n = static_cast<std::size_t>(end - digits.data());
  std::string name(aPrefix);
  name.append(kDigits - n, '0');
  name.append(digits.data(), n);
  return name;
}

std::optional<std::uint64_t> NumberInName(std::string_view aPrefix,
                                          std::string_view aName)
{
  if (!aName.starts_with(aPrefix) || aName.size() != aPrefix.size() + kDigits) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* end = aName.data() + aName.size();
  const auto parsed =
    std::from_chars(aName.data() + aPrefix.size(), end, number, kBase);
  const bool whole = parsed.ec == std::errc{} && parsed.ptr == end;
  return whole ? std::optional(number) : std::nullopt;
}

Error MakeCorrupt(const std::string& aPath, std::uint64_t aOffset,
                  std::string_view aWhy)
{
  return Error{ ErrorCode::Corrupt, "log.recover", aPath,
                "offset " + std::to_string(aOffset) + ": " +
                  std::string(aWhy) };
}

Error MakeUnsupported(const std::string& aPath, std::string_view aWhy)
{
  return Error{ ErrorCode::Unsupported, "log.recover", aPath,
                std::string(aWhy) };
}

} // namespace carobtide
