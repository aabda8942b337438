#include "clock.hpp"

#include <chrono>

namespace carobtide {

Instant SteadyNow()
{
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

std::int64_t WallMicros()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace carobtide
