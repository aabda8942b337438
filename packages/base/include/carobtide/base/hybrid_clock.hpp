#pragma once

/**
 * @file
 * Hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014):
 * stamps that respect causality and stay close to wall time.
 */

#include <compare>
#include <cstdint>

namespace carobtide {

/** A stamp of the hybrid logical clock. Orders causally related events. */
struct HybridStamp
{
  /** Wall time in microseconds since the Unix epoch. */
  std::int64_t mWallMicros = 0;
  /** Breaks ties between events of equal wall time. */
  std::uint32_t mCounter = 0;

  auto operator<=>(const HybridStamp&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWallMicros, mCounter);
  }
};

/**
 * Issues stamps. Wall time is passed in, so that tests can jump it.
 *
 * Thread safety: none; the owner guards it.
 */
class HybridClock
{
public:
  /** Stamps a local event. */
  HybridStamp Now(std::int64_t aWallMicros);

  /** Merges a stamp received from a peer and stamps the receipt. */
  HybridStamp Observe(HybridStamp aRemote, std::int64_t aWallMicros);

private:
  HybridStamp mLast;
};

} // namespace carobtide
