#include "connection_shares.hpp"

#include "carobtide/daemon/logging.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <sstream>
#include <utility>

namespace carobtide {

ConnectionShares::ConnectionShares(std::vector<Kind> aKinds)
{
  std::ranges::transform(aKinds, std::back_inserter(mKinds), [](Kind& aKind) {
    return Watched{ std::move(aKind), {} };
  });
}

void ConnectionShares::Check()
{
  for (Watched& watched : mKinds) {
    const ConnectionCounts counts = watched.mKind.mRead();
    const ConnectionCounts before = std::exchange(watched.mBefore, counts);
    const std::array inputs{
      LogInput{ "idle_closed", static_cast<std::int64_t>(counts.mIdleClosed -
                                                         before.mIdleClosed) },
      LogInput{ "refused",
                static_cast<std::int64_t>(counts.mRefused - before.mRefused) },
      LogInput{ "open", static_cast<std::int64_t>(counts.mOpen) },
      LogInput{ "max", static_cast<std::int64_t>(counts.mMax) },
    };
    const bool hasRefused = counts.mRefused != before.mRefused;
    if (!hasRefused && counts.mIdleClosed == before.mIdleClosed) {
      continue;
    }
    LogFields fields;
    fields.mStep =
      hasRefused ? "connections.refused" : "connections.idle-closed";
    fields.mPeer = watched.mKind.mName;
    fields.mInputs = inputs;
    Log(LogLevel::Warning, fields);
  }
}

std::string ConnectionShares::Render() const
{
  std::ostringstream out;
  const auto render = [&](std::string_view aName, std::string_view aType,
                          auto aRead) {
    out << "# TYPE carobtide_" << aName << ' ' << aType << '\n';
    for (const Watched& watched : mKinds) {
      out << "carobtide_" << aName << "{kind=\"" << watched.mKind.mName
          << "\"} " << aRead(watched.mKind.mRead()) << '\n';
    }
  };
  using Counts = ConnectionCounts;
  render("connections", "gauge", [](const Counts& aIt) { return aIt.mOpen; });
  render("connections_max", "gauge",
         [](const Counts& aIt) { return aIt.mMax; });
  render("connections_idle_closed_total", "counter",
         [](const Counts& aIt) { return aIt.mIdleClosed; });
  render("connections_refused_total", "counter",
         [](const Counts& aIt) { return aIt.mRefused; });
  return out.str();
}

} // namespace carobtide
