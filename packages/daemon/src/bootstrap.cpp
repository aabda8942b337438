#include "bootstrap.hpp"

#include "carobtide/base/codec.hpp"
#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"
#include "peer_api.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);
/** Peers that have no identity after this long are not waited for. */
constexpr Duration kIdentityTimeout = std::chrono::seconds(10);

/** What the peers with a disk answered. */
struct ProbeSummary
{
  bool mAllAnswered = true;
  bool mAllHaveIdentity = true;
  bool mAnyHistory = false;
};

awaitable<void> Pause(Duration aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

awaitable<ProbeSummary> ProbePeers(DaemonContext& aContext)
{
  ProbeSummary summary;
  BootstrapProbe probe;
  probe.mFrom = aContext.mSettings.mName;
  const std::string payload = Encode(probe);
  constexpr auto kType = static_cast<std::uint16_t>(PeerMessageType::Bootstrap);
  for (const PeerSettings& peer : aContext.mSettings.mPeers) {
    if (!peer.mHasDisk) {
      continue;
    }
    auto calling =
      aContext.mNetwork.Call(peer.mAddress, kType, payload, kProbeTimeout);
    const auto reply = co_await std::move(calling);
    const auto status = reply ? Decode<BootstrapStatus>(*reply)
                              : Result<BootstrapStatus>(reply.GetError());
    summary.mAllAnswered &= status.HasValue();
    summary.mAllHaveIdentity &= status && status->mHasIdentity;
    summary.mAnyHistory |= status && status->mHasHistory;
  }
  co_return summary;
}

ReplicaId NewReplicaId()
{
  std::random_device source;
  const std::uint64_t high = source();
  constexpr unsigned kHalfBits = 32;
  return ReplicaId((high << kHalfBits) | source() | 1U);
}

/** Decides under which identity an empty disk joins. */
awaitable<ReplicaId> ChooseIdentity(DaemonContext& aContext)
{
  while (true) {
    auto probing = ProbePeers(aContext);
    const ProbeSummary summary = co_await std::move(probing);
    if (summary.mAnyHistory) {
      co_return NewReplicaId();
    }
    if (summary.mAllAnswered) {
      co_return FirstReplicaOf(aContext.mSettings.mName);
    }
    co_await Pause(kProbeInterval);
  }
}

awaitable<void> WaitForPeers(DaemonContext& aContext)
{
  const Instant startedAt = SteadyNow();
  while (SteadyNow() - startedAt < kIdentityTimeout) {
    auto probing = ProbePeers(aContext);
    const ProbeSummary summary = co_await std::move(probing);
    if (summary.mAllHaveIdentity) {
      co_return;
    }
    co_await Pause(kProbeInterval);
  }
}

} // namespace

awaitable<void> BootstrapReplica(DaemonContext& aContext)
{
  if (!aContext.mControl.GetBootstrapStatus().mHasIdentity) {
    auto choosing = ChooseIdentity(aContext);
    const ReplicaId replica = co_await std::move(choosing);
    const auto stored = aContext.mControl.SetIdentity(replica);
    if (!stored) {
      LogError(stored.GetError());
      co_return;
    }
    auto waiting = WaitForPeers(aContext);
    co_await std::move(waiting);
  }
  aContext.mControl.StartReplica();
}

awaitable<void> FetchInitialBundle(DaemonContext& aContext)
{
  for (const PeerSettings& peer : aContext.mSettings.mPeers) {
    auto fetching = FetchBundleFrom(aContext, peer.mAddress);
    co_await std::move(fetching);
  }
}

} // namespace carobtide
