#include "carobtide/cli/latency_histogram.hpp"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace carobtide {

namespace histogram = boost::histogram;

namespace {

using LogAxis =
  histogram::axis::regular<double, histogram::axis::transform::log>;

constexpr unsigned kBins = 600;
constexpr double kMinMicros = 1.0;
constexpr double kMaxMicros = 1e9;

auto MakeBins()
{
  return histogram::make_histogram_with(
    histogram::dense_storage<std::uint32_t>(),
    LogAxis(kBins, kMinMicros, kMaxMicros));
}

} // namespace

struct LatencyHistogram::Bins
{
  decltype(MakeBins()) mHistogram = MakeBins();
};

LatencyHistogram::LatencyHistogram()
  : mBins(std::make_unique<Bins>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

LatencyHistogram::LatencyHistogram(const LatencyHistogram& aOther)
  : mBins(std::make_unique<Bins>(*aOther.mBins))
  , mCount(aOther.mCount)
  , mMax(aOther.mMax)
{
}

LatencyHistogram& LatencyHistogram::operator=(const LatencyHistogram& aOther)
{
  if (this != &aOther) {
    *mBins = *aOther.mBins;
    mCount = aOther.mCount;
    mMax = aOther.mMax;
  }
  return *this;
}

void LatencyHistogram::Add(Duration aLatency)
{
  const double micros = std::clamp(static_cast<double>(aLatency.count()),
                                   kMinMicros, kMaxMicros / 2);
  mBins->mHistogram(micros);
  ++mCount;
  mMax = std::max(mMax, aLatency);
}

void LatencyHistogram::Merge(const LatencyHistogram& aOther)
{
  mBins->mHistogram += aOther.mBins->mHistogram;
  mCount += aOther.mCount;
  mMax = std::max(mMax, aOther.mMax);
}

Duration LatencyHistogram::Quantile(double aShare) const
{
  assert(aShare >= 0 && aShare <= 1);
  if (mCount == 0) {
    return Duration{ 0 };
  }
  const auto rank =
    std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(
                                 aShare * static_cast<double>(mCount))));
  std::uint64_t seen = 0;
  for (auto&& bin : histogram::indexed(mBins->mHistogram)) {
    seen += static_cast<std::uint64_t>(*bin);
    if (seen >= rank) {
      const double middle = std::sqrt(bin.bin().lower() * bin.bin().upper());
      return std::min(mMax, Duration(std::llround(middle)));
    }
  }
  return mMax;
}

} // namespace carobtide
