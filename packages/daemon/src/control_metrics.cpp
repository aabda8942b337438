#include "control_metrics.hpp"

#include <sstream>

namespace carobtide {

std::string ControlMetrics::Render() const
{
  std::ostringstream out;
  for (const auto& [counter, name] : kControlCounters.mRows) {
    out << "# TYPE carobtide_" << name << "_total counter\ncarobtide_" << name
        << "_total " << mCounts[static_cast<std::size_t>(counter)] << '\n';
  }
  out << "# TYPE carobtide_commit_seconds histogram\n";
  mCommits.Render(out, "commit_seconds", "");
  return out.str();
}

} // namespace carobtide
