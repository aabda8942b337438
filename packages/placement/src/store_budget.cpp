#include "carobtide/placement/store_budget.hpp"

#include <algorithm>

namespace carobtide {

void TokenBucket::Refill(Instant aNow, double aRate)
{
  if (!mHasStarted) {
    mHasStarted = true;
    mFilledAt = aNow;
    return;
  }
  const double seconds =
    std::chrono::duration<double>(aNow - mFilledAt).count();
  // Hold at most one second's worth, so a pause causes no larger burst.
  const double most = std::max(1.0, aRate);
  mTokens = std::min(most, mTokens + std::max(0.0, seconds) * aRate);
  mFilledAt = aNow;
}

bool TokenBucket::Take()
{
  if (mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

} // namespace carobtide
