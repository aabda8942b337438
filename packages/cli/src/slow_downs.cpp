#include "carobtide/cli/slow_downs.hpp"

#include <cassert>
#include <random>

namespace carobtide {

SlowDowns::SlowDowns(SlowDownOptions aOptions, std::uint64_t aSeed,
                     Instant aStart)
  : mOptions(aOptions)
  , mRandom(aSeed)
{
  assert(mOptions.mShare >= 0 && mOptions.mShare < 1 && mOptions.mFactor > 0);
  if (mOptions.mShare > 0) {
    mNextChange = aStart + NextNormalSpan();
  }
}

double SlowDowns::FactorAt(Instant aNow)
{
  while (aNow >= mNextChange) {
    mSlowed = !mSlowed;
    mNextChange += mSlowed ? mOptions.mDuration : NextNormalSpan();
  }
  return mSlowed ? mOptions.mFactor : 1.0;
}

Duration SlowDowns::NextNormalSpan()
{
  const auto slowed = static_cast<double>(mOptions.mDuration.count());
  const double mean = slowed * (1.0 - mOptions.mShare) / mOptions.mShare;
  std::exponential_distribution<double> span(1.0 / mean);
  return Duration(static_cast<std::int64_t>(span(mRandom)) + 1);
}

} // namespace carobtide
