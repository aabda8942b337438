// What an edge tells and hears of failures and speeds of targets.
#include "carobtide/base/codec.hpp"
#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"
#include "edge_node.hpp"

namespace carobtide {

void EdgeNode::ReportSamples(const Endpoint& aHome)
{
  const Instant now = SteadyNow();
  if (now - mSamplesSentAt < kObservationInterval) {
    return;
  }
  const auto report = mDispatcher.TakeSampleReport(now, mSettings.mPeerAddress);
  if (report) {
    mSamplesSentAt = now;
    mNetwork.SendDatagram(
      aHome, static_cast<std::uint16_t>(FleetMessageType::TargetSamples),
      Encode(*report));
  }
}

void EdgeNode::OnSums(const std::string& aPayload, const std::string& aPeer)
{
  const auto sums = Decode<SumsReport>(aPayload, aPeer);
  if (sums) {
    mDispatcher.OnTargetSums(SteadyNow(), *sums);
  } else {
    LogError(sums.GetError());
  }
}

} // namespace carobtide
