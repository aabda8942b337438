#include "metrics.hpp"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <array>
#include <atomic>
#include <sstream>
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

auto MakeHistogram()
{
  return histogram::make_histogram_with(
    std::vector<AtomicCount>(),
    LogAxis(kBuckets, kLowestSeconds, kHighestSeconds));
}

using TimingHistogram = decltype(MakeHistogram());

void RenderHistogram(std::ostringstream& aOut, std::string_view aName,
                     const TimingHistogram& aHistogram)
{
  aOut << "# TYPE carobtide_" << aName << " histogram\n";
  std::uint64_t total = aHistogram.at(-1).value();
  for (int i = 0; i < static_cast<int>(kBuckets); ++i) {
    total += aHistogram.at(i).value();
    aOut << "carobtide_" << aName << "_bucket{le=\""
         << aHistogram.axis(0).bin(i).upper() << "\"} " << total << '\n';
  }
  total += aHistogram.at(static_cast<int>(kBuckets)).value();
  aOut << "carobtide_" << aName << "_bucket{le=\"+Inf\"} " << total << '\n';
  aOut << "carobtide_" << aName << "_count " << total << '\n';
}

} // namespace

class Metrics::Impl
{
public:
  std::array<std::atomic<std::uint64_t>, kCounters.mRows.size()> mCounts{};
  std::array<TimingHistogram, kTimings.mRows.size()> mHistograms{
    MakeHistogram(), MakeHistogram(), MakeHistogram()
  };
  std::array<std::atomic<std::int64_t>, kTimings.mRows.size()> mSums{};
};

Metrics::Metrics()
  : mImpl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void Metrics::Add(Counter aCounter, std::uint64_t aCount)
{
  mImpl->mCounts[static_cast<std::size_t>(aCounter)].fetch_add(
    aCount, std::memory_order_relaxed);
}

void Metrics::Record(Timing aTiming, Duration aDuration)
{
  const auto index = static_cast<std::size_t>(aTiming);
  const auto micros = aDuration.count();
  mImpl->mHistograms[index](static_cast<double>(micros) / kMicrosPerSecond);
  mImpl->mSums[index].fetch_add(micros, std::memory_order_relaxed);
}

std::string Metrics::Render(const std::vector<Gauge>& aGauges) const
{
  std::ostringstream out;
  for (const auto& [counter, name] : kCounters.mRows) {
    const auto index = static_cast<std::size_t>(counter);
    out << "# TYPE carobtide_" << name << "_total counter\ncarobtide_" << name
        << "_total " << mImpl->mCounts[index].load() << '\n';
  }
  for (const auto& [timing, name] : kTimings.mRows) {
    const auto index = static_cast<std::size_t>(timing);
    RenderHistogram(out, name, mImpl->mHistograms[index]);
    out << "carobtide_" << name << "_sum "
        << static_cast<double>(mImpl->mSums[index].load()) / kMicrosPerSecond
        << '\n';
  }
  for (const Gauge& gauge : aGauges) {
    out << "# TYPE carobtide_" << gauge.mName << " gauge\ncarobtide_"
        << gauge.mName << ' ' << gauge.mValue << '\n';
  }
  return out.str();
}

} // namespace carobtide
