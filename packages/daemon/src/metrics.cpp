#include "metrics.hpp"

#include "timing_histogram.hpp"

#include <array>
#include <atomic>
#include <sstream>

namespace carobtide {

class Metrics::Impl
{
public:
  std::array<std::atomic<std::uint64_t>, kCounters.mRows.size()> mCounts{};
  std::array<TimingHistogram, kTimings.mRows.size()> mTimings;
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
  mImpl->mTimings[static_cast<std::size_t>(aTiming)].Record(aDuration);
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
    out << "# TYPE carobtide_" << name << " histogram\n";
    mImpl->mTimings[static_cast<std::size_t>(timing)].Render(out, name, "");
  }
  return out.str() + RenderGauges(aGauges);
}

std::string EscapeLabel(std::string_view aText)
{
  std::string escaped;
  for (const char c : aText) {
    if (c == '\\' || c == '"') {
      escaped += '\\';
    }
    escaped += c == '\n' ? std::string("\\n") : std::string(1, c);
  }
  return escaped;
}

std::string RenderGauges(const std::vector<Gauge>& aGauges)
{
  std::ostringstream out;
  for (const Gauge& gauge : aGauges) {
    out << "# TYPE carobtide_" << gauge.mName << " gauge\ncarobtide_"
        << gauge.mName << ' ' << gauge.mValue << '\n';
  }
  return out.str();
}

} // namespace carobtide
