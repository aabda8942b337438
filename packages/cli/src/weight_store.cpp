#include "carobtide/cli/weight_store.hpp"

#include <algorithm>

namespace carobtide {

WeightStore::WeightStore(WeightStoreOptions aOptions)
  : mOptions(aOptions)
{
}

Instant WeightStore::BookLoad(Instant aNow, bool aIsAdapter)
{
  const std::scoped_lock lock(mMutex);
  if (aIsAdapter) {
    return Book(aNow, mOptions.mAdapterLoadTime, mOptions.mAdapterConcurrency,
                mAdapterLoads);
  }
  Instant start = aNow;
  if (mOptions.mLoadsPerSecond > 0) {
    start = std::max(aNow, mNextStart);
    mNextStart =
      start + std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(1.0 / mOptions.mLoadsPerSecond));
  }
  return Book(start, mOptions.mLoadTime, mOptions.mMaxConcurrentLoads,
              mModelLoads);
}

Instant WeightStore::Book(Instant aStart, Duration aTime,
                          std::uint32_t aConcurrency,
                          std::vector<Instant>& aInFlight)
{
  std::erase_if(aInFlight, [&](Instant aEnd) { return aEnd <= aStart; });
  const auto count = static_cast<std::int64_t>(aInFlight.size()) + 1;
  Duration time = aTime;
  if (aConcurrency > 0 && count > aConcurrency) {
    time = aTime * count / aConcurrency;
  }
  aInFlight.push_back(aStart + time);
  return aStart + time;
}

} // namespace carobtide
