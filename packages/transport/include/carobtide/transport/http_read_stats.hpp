#pragma once

/**
 * @file
 * What HTTP connections of this process have cut off.
 */

#include <cstdint>

namespace carobtide {

/** Messages that broke a bound of their reader, since the process started. */
struct HttpReadStats
{
  std::uint64_t mOversizedRequests = 0;
  std::uint64_t mOversizedResponses = 0;
};

/** Thread safety: any thread. */
HttpReadStats GetHttpReadStats();

} // namespace carobtide
