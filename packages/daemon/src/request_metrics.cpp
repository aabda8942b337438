#include "request_metrics.hpp"

#include <sstream>

namespace carobtide {

void RequestMetrics::OnFirstByte(RequestKind aKind, Duration aTook)
{
  mKinds[static_cast<std::size_t>(aKind)].mFirstByte.Record(aTook);
}

void RequestMetrics::OnEnd(RequestKind aKind, RequestOutcome aOutcome,
                           Duration aTook)
{
  OfKind& kind = mKinds[static_cast<std::size_t>(aKind)];
  ++kind.mOutcomes[static_cast<std::size_t>(aOutcome)];
  if (aOutcome == RequestOutcome::Whole) {
    kind.mWhole.Record(aTook);
  }
}

std::uint64_t RequestMetrics::Count(RequestKind aKind,
                                    RequestOutcome aOutcome) const
{
  return mKinds[static_cast<std::size_t>(aKind)]
    .mOutcomes[static_cast<std::size_t>(aOutcome)];
}

std::string RequestMetrics::Render() const
{
  std::ostringstream out;
  out << "# TYPE carobtide_requests_total counter\n";
  for (const auto& [kind, kindName] : kRequestKinds.mRows) {
    for (const auto& [outcome, outcomeName] : kRequestOutcomes.mRows) {
      out << "carobtide_requests_total{kind=\"" << kindName << "\",outcome=\""
          << outcomeName << "\"} " << Count(kind, outcome) << '\n';
    }
  }
  const auto render = [&](std::string_view aName,
                          TimingHistogram OfKind::*aTiming) {
    out << "# TYPE carobtide_" << aName << " histogram\n";
    for (const auto& [kind, kindName] : kRequestKinds.mRows) {
      const OfKind& of = mKinds[static_cast<std::size_t>(kind)];
      (of.*aTiming).Render(out, aName, "kind=\"" + std::string(kindName) + '"');
    }
  };
  render("request_first_byte_seconds", &OfKind::mFirstByte);
  render("request_whole_seconds", &OfKind::mWhole);
  mOrganisations.Render(out);
  return out.str();
}

} // namespace carobtide
