#pragma once

/**
 * @file
 * Tables that map the values of an `enum class` to names and back.
 */

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace carobtide {

/**
 * A constant table of (value, name) pairs for one enumeration.
 *
 * Thread safety: immutable after construction, safe from any thread.
 *
 * Example:
 *
 *     inline constexpr EnumTable<Colour, 2> kColours{
 *       { { { Colour::Red, "red" }, { Colour::Blue, "blue" } } }
 *     };
 *     kColours.Name(Colour::Red); // "red"
 */
template<class Enum, std::size_t Count>
struct EnumTable
{
  std::array<std::pair<Enum, std::string_view>, Count> mRows;

  /** Returns the name of a value, or "unknown" if the table lacks it. */
  constexpr std::string_view Name(Enum aValue) const
  {
    const auto it = std::find_if(mRows.begin(), mRows.end(), [&](auto& aRow) {
      return aRow.first == aValue;
    });
    return it == mRows.end() ? std::string_view{ "unknown" } : it->second;
  }

  /** Returns the value of a name, or nothing if no row carries it. */
  constexpr std::optional<Enum> Find(std::string_view aName) const
  {
    const auto it = std::find_if(mRows.begin(), mRows.end(), [&](auto& aRow) {
      return aRow.second == aName;
    });
    if (it == mRows.end()) {
      return std::nullopt;
    }
    return it->first;
  }
};

} // namespace carobtide
