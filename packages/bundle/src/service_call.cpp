#include "service_call.hpp"

#include "carobtide/bundle/bundle.hpp"

#include <algorithm>

namespace carobtide {

namespace {

/** True if no server reads the path as another one than it is written. */
bool IsPlainPath(std::string_view aPath)
{
  if (aPath.empty() || aPath.front() != '/') {
    return false;
  }
  const auto isOdd = [](char aCharacter) {
    const auto code = static_cast<unsigned char>(aCharacter);
    constexpr std::string_view kOdd = "%\\;#?";
    return code <= ' ' || code >= 0x7f ||
           kOdd.find(aCharacter) != std::string_view::npos;
  };
  if (std::ranges::any_of(aPath, isOdd)) {
    return false;
  }
  // A trailing slash leaves an empty last segment, which is harmless.
  std::string_view rest = aPath.substr(1);
  while (!rest.empty()) {
    const std::string_view segment = rest.substr(0, rest.find('/'));
    if (segment.empty() || segment == "." || segment == "..") {
      return false;
    }
    rest.remove_prefix(std::min(rest.size(), segment.size() + 1));
  }
  return true;
}

bool IsMethod(std::string_view aMethod)
{
  return !aMethod.empty() && std::ranges::all_of(aMethod, [](char aCharacter) {
    return aCharacter >= 'A' && aCharacter <= 'Z';
  });
}

bool Covers(std::string_view aPrefix, std::string_view aPath)
{
  return aPath.starts_with(aPrefix) &&
         (aPath.size() == aPrefix.size() || aPath[aPrefix.size()] == '/');
}

} // namespace

CallPattern SplitCallPattern(std::string_view aEntry)
{
  CallPattern pattern;
  const auto space = aEntry.find(' ');
  if (space != std::string_view::npos) {
    pattern.mMethod = aEntry.substr(0, space);
    aEntry.remove_prefix(space + 1);
  }
  if (aEntry.ends_with('/')) {
    aEntry.remove_suffix(1);
  }
  pattern.mPrefix = aEntry;
  return pattern;
}

bool IsCallPattern(std::string_view aEntry)
{
  const auto space = aEntry.find(' ');
  if (space != std::string_view::npos) {
    return IsMethod(aEntry.substr(0, space)) &&
           IsPlainPath(aEntry.substr(space + 1));
  }
  return IsPlainPath(aEntry);
}

bool IsIdempotentCall(const ServiceSpec& aService, std::string_view aMethod,
                      std::string_view aPath)
{
  const std::string_view path = aPath.substr(0, aPath.find('?'));
  if (!IsPlainPath(path)) {
    return false;
  }
  return std::ranges::any_of(
    aService.mIdempotentPaths, [&](const std::string& aEntry) {
      const CallPattern pattern = SplitCallPattern(aEntry);
      return IsCallPattern(aEntry) &&
             (pattern.mMethod.empty() || pattern.mMethod == aMethod) &&
             Covers(pattern.mPrefix, path);
    });
}

} // namespace carobtide
