// What a home tells of failures and speeds of targets, and what the leader
// plans with.
#include "carobtide/base/codec.hpp"
#include "clock.hpp"
#include "control_node.hpp"
#include "metrics.hpp"

#include <sstream>

namespace carobtide {

void ControlNode::SendSums()
{
  const Instant now = SteadyNow();
  if (now - mSumsSentAt < kObservationInterval) {
    return;
  }
  mSumsSentAt = now;
  mObservations.Expire(now);
  const auto type = static_cast<std::uint16_t>(FleetMessageType::TargetSums);
  SumsReport report;
  report.mFrom = mSettings.mPeerAddress;
  report.mSequence = ++mSumsSequence;
  report.mSums = mObservations.TakeOwn(now, kMaxHomeSums);
  if (!report.mSums.empty()) {
    const std::string encoded = Encode(report);
    for (const Endpoint& peer : mPeers.Addresses()) {
      mNetwork.SendDatagram(peer, type, encoded);
    }
  }
  const auto reporters = mObservations.Reporters();
  if (reporters.empty()) {
    return;
  }
  report.mSums = mObservations.TakeTotal(now, kMaxReportSums);
  if (report.mSums.empty()) {
    return;
  }
  for (const auto& [edge, sequence] : reporters) {
    report.mIncluded = sequence;
    mNetwork.SendDatagram(edge, type, Encode(report));
  }
}

void ControlNode::PassSpeeds(Instant aNow)
{
  if (!mPlanner || mSettings.mPlacementBySpeed != FunctionUse::Automatic) {
    return;
  }
  if (mEngineRates.IsDue(aNow)) {
    mPlanner->OnSpeeds(
      aNow, mEngineRates.Derive(aNow, mTargets.All(), mObservations));
  }
}

std::string ControlNode::RenderCapacities() const
{
  if (!mPlanner) {
    return {};
  }
  std::ostringstream out;
  out << "# TYPE carobtide_engine_capacity_slots gauge\n";
  for (const auto& [service, slots] : mPlanner->Capacities()) {
    out << "carobtide_engine_capacity_slots{service=\""
        << EscapeLabel(service.Text()) << "\"} " << slots << '\n';
  }
  return out.str();
}

} // namespace carobtide
