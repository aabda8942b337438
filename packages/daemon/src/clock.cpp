#include "clock.hpp"

#include <chrono>
#include <ctime>

namespace carobtide {

Instant SteadyNow()
{
  // Counts the time that the VM was suspended, too: a lease must not outlive
  // it.
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

std::int64_t WallMicros()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace carobtide
