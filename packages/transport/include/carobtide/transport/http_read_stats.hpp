#pragma once

/**
 * @file
 * What HTTP connections of this process have cut off.
 */

#include <cstdint>

namespace carobtide {

/** Messages that were not taken, since the process started. */
struct HttpReadStats
{
  /** Those that broke a bound of their reader. */
  std::uint64_t mOversizedRequests = 0;
  std::uint64_t mOversizedResponses = 0;
  /** Bytes that are no answer of the protocol. */
  std::uint64_t mMalformedResponses = 0;
};

/** Thread safety: any thread. */
HttpReadStats GetHttpReadStats();

} // namespace carobtide
