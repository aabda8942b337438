#pragma once

/**
 * @file
 * Entries of a service's list of idempotent calls.
 */

#include <string_view>

namespace carobtide {

/** An entry "METHOD /prefix" taken apart. */
struct CallPattern
{
  /** Empty for any method. */
  std::string_view mMethod;
  /** Without a trailing slash; empty covers every path. */
  std::string_view mPrefix;
};

/** Takes an entry apart; it borrows from the text. */
CallPattern SplitCallPattern(std::string_view aEntry);

/** True if an entry is one that a bundle may list. */
bool IsCallPattern(std::string_view aEntry);

} // namespace carobtide
