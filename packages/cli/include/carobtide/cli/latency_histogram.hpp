#pragma once

/**
 * @file
 * Latencies on a logarithmic scale. Boost.Histogram stays out of this header.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <memory>

namespace carobtide {

/**
 * Histogram from 1 microsecond to 1,000 seconds; a quantile is within two in
 * a hundred of the true one.
 *
 * Thread safety: none.
 */
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram& aOther);
  LatencyHistogram& operator=(const LatencyHistogram& aOther);

  void Add(Duration aLatency);
  void Merge(const LatencyHistogram& aOther);

  std::uint64_t Count() const { return mCount; }

  /** The latency that a share of all does not exceed; zero if empty. */
  Duration Quantile(double aShare) const;
  Duration Max() const { return mMax; }

private:
  struct Bins;
  std::unique_ptr<Bins> mBins;
  std::uint64_t mCount = 0;
  Duration mMax{ 0 };
};

} // namespace carobtide
