#include "carobtide/daemon/daemon.hpp"

#include "bootstrap.hpp"
#include "caller_api.hpp"
#include "carobtide/base/codec.hpp"
#include "carobtide/consensus/dissemination.hpp"
#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"
#include "context.hpp"
#include "operator_api.hpp"
#include "peer_api.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <thread>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr std::size_t kEventCapacity = 16384;
constexpr Duration kTickInterval = std::chrono::milliseconds(5);
constexpr Duration kHintInterval = std::chrono::milliseconds(100);
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration kExpiryInterval = std::chrono::milliseconds(100);
/** Between /readyz saying no and the end of accepting connections. */
constexpr Duration kDrainDelay = std::chrono::milliseconds(500);
constexpr Duration kDrainPoll = std::chrono::milliseconds(10);
constexpr std::size_t kMaxHintsPerDatagram = 24;
/** Peers that are sent the hints each time, in turn. */
constexpr std::size_t kHintReceivers = 8;

RouterOptions MakeRouterOptions(const DaemonSettings& aSettings,
                                std::uint64_t aSeed)
{
  RouterOptions options;
  options.mPolicy = aSettings.mRoutingPolicy;
  options.mFailureDomain = aSettings.mFailureDomain;
  options.mSeed = aSeed;
  options.mDaemons = static_cast<std::uint32_t>(aSettings.mPeers.size() + 1);
  return options;
}

HttpLimits MakeLimits(const DaemonSettings& aSettings)
{
  HttpLimits limits;
  limits.mMaxHeaderBytes = aSettings.mMaxHeaderBytes;
  limits.mMaxBodyBytes = aSettings.mMaxBodyBytes;
  HoldAccountOptions memory;
  for (Bytes* bytes :
       { &memory.mTierBytes.back(), &memory.mRequestRoom.back() }) {
    *bytes = std::max(*bytes, aSettings.mMaxBodyBytes);
  }
  limits.mMemory = std::make_shared<MemoryRoom>(memory);
  limits.mReadTimeout = aSettings.mReadTimeout;
  return limits;
}

/** Request ids of two processes or two starts do not overlap in practice. */
std::uint64_t FirstRequestId(const DaemonName& aName,
                             std::uint64_t aIncarnation)
{
  constexpr unsigned kCounterBits = 24;
  constexpr std::uint64_t kPrefixMask = (std::uint64_t{ 1 } << 29U) - 1;
  const std::uint64_t prefix =
    ComputeChecksum(aName.Text(), aIncarnation) & kPrefixMask;
  return (prefix << kCounterBits) + 1;
}

} // namespace

class Daemon::Impl
{
public:
  explicit Impl(DaemonSettings aSettings);

  Result<Unit> Start();
  void RequestStop();
  void Wait();

  const HttpServer& CallerServer() const { return mCallerServer; }
  const HttpServer& OperatorServer() const { return mOperatorServer; }
  const PeerNetwork& Network() const { return mNetwork; }

private:
  awaitable<void> Join();
  awaitable<void> TickLoop();
  awaitable<void> GossipLoop();
  void OnBundle(const BundleChange& aChange);
  void SendEpoch(const DaemonName& aTo, Epoch aEpoch,
                 const DaemonName& aLeader);
  void SendHints();
  void SendHeartbeat();
  void ExpireTargets();

  DaemonSettings mSettings;
  const std::uint64_t mIncarnation;
  std::atomic<bool> mReady{ false };
  std::atomic<bool> mStopRequested{ false };
  std::atomic<std::uint64_t> mClaimIncarnation;
  std::atomic<std::uint64_t> mNextRequest;
  EventLog mEvents;
  Metrics mMetrics;
  WorkerPool mWorkers;
  /** Used by the gossip loop only. */
  Dissemination mDissemination;
  std::size_t mNextHint = 0;
  std::size_t mHintsLeft = 0;
  /** Used under the control mutex only. */
  Dissemination mEpochTree;
  RouterShell mRouter;
  ControlPlane mControl;
  HttpPool mPool;
  PeerNetwork mNetwork;
  AnnouncementGossip mGossip;
  DaemonContext mContext;
  PeerApi mPeerApi;
  CallerApi mCallerApi;
  OperatorApi mOperatorApi;
  HttpServer mCallerServer;
  HttpServer mOperatorServer;
};

Daemon::Impl::Impl(DaemonSettings aSettings)
  : mSettings(std::move(aSettings))
  , mIncarnation(static_cast<std::uint64_t>(WallMicros()))
  , mClaimIncarnation(mIncarnation)
  , mNextRequest(FirstRequestId(mSettings.mName, mIncarnation))
  , mEvents(mSettings.mName.Text(), kEventCapacity)
  , mWorkers(static_cast<std::size_t>(mSettings.mThreads))
  , mDissemination(MakeDissemination(mSettings, mIncarnation))
  , mEpochTree(MakeDissemination(mSettings, mIncarnation + 1))
  , mRouter(
      MakeRouterOptions(mSettings,
                        mSettings.mSeed != 0 ? mSettings.mSeed : mIncarnation),
      [this](const CrashReport& aStrike) {
        Broadcast(mContext, PeerMessageType::Strike, Encode(aStrike));
      },
      [this](const Digest& aFingerprint) {
        Broadcast(mContext, PeerMessageType::Quarantine, Encode(aFingerprint));
      })
  , mControl(mSettings, mIncarnation, mWorkers, mEvents, mMetrics,
             [this](const BundleChange& aChange) { OnBundle(aChange); })
  , mNetwork(
      mWorkers,
      [this](std::uint16_t aType, std::string aPayload, std::string aPeer) {
        return mPeerApi.HandleCall(aType, std::move(aPayload),
                                   std::move(aPeer));
      },
      [this](std::uint16_t aType, const std::string& aPayload,
             const std::string& aPeer) {
        mPeerApi.HandleMessage(aType, aPayload, aPeer);
      })
  , mGossip(mSettings, mIncarnation + 2)
  , mContext{ mSettings,         mWorkers,    mEvents,  mMetrics, mControl,
              mRouter,           mPool,       mNetwork, mGossip,  mReady,
              mClaimIncarnation, mNextRequest }
  , mPeerApi(mContext)
  , mCallerApi(mContext)
  , mOperatorApi(mContext)
  , mCallerServer(
      mWorkers, MakeLimits(mSettings),
      [this](HttpExchange& aExchange) { return mCallerApi.Handle(aExchange); })
  , mOperatorServer(mWorkers, MakeLimits(mSettings),
                    [this](HttpExchange& aExchange) {
                      return mOperatorApi.Handle(aExchange);
                    })
{
}

Result<Unit> Daemon::Impl::Start()
{
  mControl.Attach(mNetwork);
  if (!mSettings.mDataDir.empty()) {
    auto opened = mControl.OpenStorage();
    if (!opened) {
      return opened;
    }
  }
  auto bound = mNetwork.Listen(mSettings.mPeerAddress);
  if (bound) {
    bound = mOperatorServer.Listen(mSettings.mOperatorAddress);
  }
  if (bound) {
    bound = mCallerServer.Listen(mSettings.mCallerAddress);
  }
  if (!bound) {
    return bound;
  }
  EventFacts facts;
  facts.mStep = EventStep::ProcessStarted;
  facts.mDetail = "callers " + mCallerServer.Address().ToString() +
                  ", operators " + mOperatorServer.Address().ToString() +
                  ", peers " + mNetwork.Address().ToString();
  mEvents.Record(std::move(facts));
  asio::co_spawn(
    mWorkers.At(0), [this] { return Join(); }, asio::detached);
  asio::co_spawn(
    mWorkers.At(0), [this] { return TickLoop(); }, asio::detached);
  asio::co_spawn(
    mWorkers.Next(), [this] { return GossipLoop(); }, asio::detached);
  mWorkers.Start();
  return Success();
}

awaitable<void> Daemon::Impl::Join()
{
  if (!mSettings.mDataDir.empty()) {
    auto starting = BootstrapReplica(mContext);
    co_await std::move(starting);
  }
  auto fetching = FetchInitialBundle(mContext);
  co_await std::move(fetching);
  mReady = !mStopRequested;
}

awaitable<void> Daemon::Impl::TickLoop()
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    mControl.Tick();
    mRouter.Tick();
    timer.expires_after(kTickInterval);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

awaitable<void> Daemon::Impl::GossipLoop()
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  Instant nextHeartbeat = SteadyNow();
  while (true) {
    ExpireTargets();
    SendHints();
    if (SteadyNow() >= nextHeartbeat) {
      nextHeartbeat = SteadyNow() + kHeartbeatInterval;
      SendHeartbeat();
    }
    timer.expires_after(std::min(kHintInterval, kExpiryInterval));
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

void Daemon::Impl::SendHints()
{
  HintsMessage message;
  message.mFrom = mSettings.mName;
  message.mHints = mRouter.Hints();
  std::ranges::sort(message.mHints, std::ranges::greater{},
                    &InFlightHint::mInFlight);
  if (message.mHints.size() > kMaxHintsPerDatagram) {
    message.mHints.resize(kMaxHintsPerDatagram);
  }
  // An empty list is sent once, to take back what was said before.
  const bool isNews = !message.mHints.empty() || mHintsLeft > 0;
  if (message.mHints.empty()) {
    mHintsLeft -= std::min(mHintsLeft, kHintReceivers);
  } else {
    mHintsLeft = mSettings.mPeers.size();
  }
  if (!isNews) {
    return;
  }
  const std::string payload = Encode(message);
  const std::size_t count = std::min(kHintReceivers, mSettings.mPeers.size());
  for (std::size_t i = 0; i < count; ++i) {
    const auto& peer = mSettings.mPeers[mNextHint++ % mSettings.mPeers.size()];
    SendDatagramTo(mContext, peer.mName, PeerMessageType::Hints, payload);
  }
}

void Daemon::Impl::SendHeartbeat()
{
  HeartbeatMessage heartbeat;
  heartbeat.mFrom = mSettings.mName;
  heartbeat.mIncarnation = mClaimIncarnation;
  heartbeat.mStamp = mEvents.Stamp();
  heartbeat.mDemand = mRouter.Demand();
  const ControlStatus status = mControl.Status();
  heartbeat.mReplica = status.mReplica;
  mControl.OnHeartbeat(heartbeat);
  SendToDisks(mContext, PeerMessageType::Heartbeat, Encode(heartbeat));
  const DaemonName peer = mDissemination.NextExchange();
  SendEpoch(peer, status.mEpoch, status.mLeader);
}

void Daemon::Impl::SendEpoch(const DaemonName& aTo, Epoch aEpoch,
                             const DaemonName& aLeader)
{
  EpochNotice notice;
  notice.mFrom = mSettings.mName;
  notice.mEpoch = aEpoch;
  notice.mLeader = aLeader;
  SendDatagramTo(mContext, aTo, PeerMessageType::EpochNotice, Encode(notice));
}

void Daemon::Impl::OnBundle(const BundleChange& aChange)
{
  mRouter.SetBundle(aChange.mBundle);
  // The control plane calls this under its mutex, which guards the tree.
  for (const DaemonName& name :
       mEpochTree.Receivers(aChange.mEpoch, aChange.mFromLog)) {
    SendEpoch(name, aChange.mEpoch, DaemonName());
  }
}

void Daemon::Impl::ExpireTargets()
{
  for (const TargetName& name : mControl.ExpireTargets()) {
    EventFacts facts;
    facts.mStep = EventStep::TargetLost;
    facts.mPeer = name.Text();
    mEvents.Record(std::move(facts));
    mRouter.OnTargetSilent(name);
  }
}

void Daemon::Impl::RequestStop()
{
  mStopRequested = true;
  mReady = false;
}

void Daemon::Impl::Wait()
{
  while (!mStopRequested) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  EventFacts facts;
  facts.mStep = EventStep::ProcessStopping;
  mEvents.Record(std::move(facts));
  mControl.HandOverLeadership();
  // The balancer sees /readyz fail before connections are refused.
  std::this_thread::sleep_for(kDrainDelay);
  mCallerServer.StopAccepting();
  // Idle connections are still being closed: a request may come first.
  while (mCallerServer.Connections() > 0) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  mOperatorServer.StopAccepting();
  mNetwork.Stop();
  mWorkers.Stop();
  mWorkers.Join();
}

Daemon::Daemon(DaemonSettings aSettings)
  : mImpl(std::make_unique<Impl>(std::move(aSettings)))
{
}

Daemon::~Daemon() = default;

Result<Unit> Daemon::Start()
{
  return mImpl->Start();
}

void Daemon::RequestStop()
{
  mImpl->RequestStop();
}

void Daemon::Wait()
{
  mImpl->Wait();
}

Endpoint Daemon::CallerAddress() const
{
  return mImpl->CallerServer().Address();
}

Endpoint Daemon::OperatorAddress() const
{
  return mImpl->OperatorServer().Address();
}

Endpoint Daemon::PeerAddress() const
{
  return mImpl->Network().Address();
}

} // namespace carobtide
