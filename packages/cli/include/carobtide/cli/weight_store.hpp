#pragma once

/**
 * @file
 * The rate-limited weight store that the stand-in targets of one process
 * share, and the adapters' loading limit.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <mutex>
#include <vector>

namespace carobtide {

/** Limits of the store; see StoreSpec of the bundle. */
struct WeightStoreOptions
{
  /** Time of one load of weights at full speed. */
  Duration mLoadTime = std::chrono::milliseconds(500);
  Duration mAdapterLoadTime = std::chrono::milliseconds(5);
  /** Loads of weights begun per second; 0 is unlimited. */
  double mLoadsPerSecond = 0.0;
  /** Loads beyond this number slow each other down; 0 is unlimited. */
  std::uint32_t mMaxConcurrentLoads = 0;
  std::uint32_t mAdapterConcurrency = 0;
};

/**
 * Decides when a load that is asked for now will be complete.
 *
 * Thread safety: all methods from any thread.
 */
class WeightStore
{
public:
  explicit WeightStore(WeightStoreOptions aOptions);

  /** Books a load; returns the time at which it completes. */
  Instant BookLoad(Instant aNow, bool aIsAdapter);

private:
  Instant Book(Instant aStart, Duration aTime, std::uint32_t aConcurrency,
               std::vector<Instant>& aInFlight);

  WeightStoreOptions mOptions;
  std::mutex mMutex;
  Instant mNextStart;
  std::vector<Instant> mModelLoads;
  std::vector<Instant> mAdapterLoads;
};

} // namespace carobtide
