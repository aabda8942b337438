#include "timing_histogram.hpp"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <atomic>
#include <ostream>
#include <string>
#include <vector>

namespace carobtide {

namespace histogram = boost::histogram;

namespace {

constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 1e3;
constexpr unsigned kBuckets = 64;
constexpr double kMicrosPerSecond = 1e6;

using LogAxis =
  histogram::axis::regular<double, histogram::axis::transform::log>;
using AtomicCount = histogram::accumulators::count<std::uint64_t, true>;

auto MakeBuckets()
{
  return histogram::make_histogram_with(
    std::vector<AtomicCount>(),
    LogAxis(kBuckets, kLowestSeconds, kHighestSeconds));
}

} // namespace

class TimingHistogram::Impl
{
public:
  decltype(MakeBuckets()) mBuckets = MakeBuckets();
  std::atomic<std::int64_t> mSumMicros{ 0 };
};

TimingHistogram::TimingHistogram()
  : mImpl(std::make_unique<Impl>())
{
}

TimingHistogram::~TimingHistogram() = default;
TimingHistogram::TimingHistogram(TimingHistogram&&) noexcept = default;
TimingHistogram& TimingHistogram::operator=(TimingHistogram&&) noexcept =
  default;

void TimingHistogram::Record(Duration aDuration)
{
  const auto micros = aDuration.count();
  mImpl->mBuckets(static_cast<double>(micros) / kMicrosPerSecond);
  mImpl->mSumMicros.fetch_add(micros, std::memory_order_relaxed);
}

void TimingHistogram::Render(std::ostream& aOut, std::string_view aName,
                             std::string_view aLabels) const
{
  const auto& buckets = mImpl->mBuckets;
  const std::string prefix =
    std::string(aLabels) + (aLabels.empty() ? "" : ",");
  const std::string labels =
    aLabels.empty() ? "" : '{' + std::string(aLabels) + '}';
  std::uint64_t total = buckets.at(-1).value();
  for (int i = 0; i < static_cast<int>(kBuckets); ++i) {
    total += buckets.at(i).value();
    aOut << "carobtide_" << aName << "_bucket{" << prefix << "le=\""
         << buckets.axis(0).bin(i).upper() << "\"} " << total << '\n';
  }
  total += buckets.at(static_cast<int>(kBuckets)).value();
  aOut << "carobtide_" << aName << "_bucket{" << prefix << "le=\"+Inf\"} "
       << total << '\n'
       << "carobtide_" << aName << "_sum" << labels << ' '
       << static_cast<double>(mImpl->mSumMicros.load()) / kMicrosPerSecond
       << '\n'
       << "carobtide_" << aName << "_count" << labels << ' ' << total << '\n';
}

} // namespace carobtide
