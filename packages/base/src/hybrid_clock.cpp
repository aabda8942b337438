#include "carobtide/base/hybrid_clock.hpp"

#include <algorithm>

namespace carobtide {

HybridStamp HybridClock::Now(std::int64_t aWallMicros)
{
  if (aWallMicros > mLast.mWallMicros) {
    mLast = HybridStamp{ aWallMicros, 0 };
  } else {
    ++mLast.mCounter;
  }
  return mLast;
}

HybridStamp HybridClock::Observe(HybridStamp aRemote, std::int64_t aWallMicros)
{
  mLast = std::max(mLast, aRemote);
  return Now(aWallMicros);
}

} // namespace carobtide
