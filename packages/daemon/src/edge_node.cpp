#include "carobtide/daemon/edge_node.hpp"

#include "carobtide/base/codec.hpp"
#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"
#include "edge_request.hpp"
#include "stop_schedule.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kUnavailable = 503;

/** A watch is answered within a second; this much later it is lost. */
constexpr Duration kWatchTimeout = std::chrono::milliseconds(1600);
constexpr Duration kWatchPause = std::chrono::milliseconds(200);
/** A control daemon that has been lost this long says nothing any more. */
constexpr Duration kSourceTimeout = std::chrono::milliseconds(4000);
/** An address that nobody mentions and that does not answer is dropped. */
constexpr Duration kForgetCore = std::chrono::seconds(30);
constexpr Duration kFetchTimeout = std::chrono::milliseconds(800);
constexpr Duration kAdapterTimeout = std::chrono::milliseconds(350);
constexpr Duration kLoadInterval = std::chrono::milliseconds(50);
constexpr Duration kDemandInterval = std::chrono::milliseconds(250);
constexpr Duration kStopPoll = std::chrono::milliseconds(50);
/** Pause asked of callers while no catalog is known. */
constexpr Duration kNoCatalogPause = std::chrono::milliseconds(500);
/** Loads that fit one datagram. */
constexpr std::size_t kMostLoads = 24;
constexpr std::size_t kMostIdlePerTarget = 64;
/** Targets close idle connections; ours end sooner. */
constexpr Duration kMaxIdleTime = std::chrono::seconds(4);

} // namespace

class EdgeNode::Impl
{
public:
  Impl(NodeSettings aSettings, std::unique_ptr<Dialect> aDialect);

  Result<Unit> Start();
  void Run();
  void RequestStop();
  void Reload(NodeSettings aSettings);

private:
  awaitable<void> Handle(HttpExchange& aExchange);
  awaitable<void> HandleReadiness(HttpExchange& aExchange);
  ServiceName PickService(const Route& aRoute);
  awaitable<void> WatchCore(Endpoint aCore);
  void OnWatchReply(const Endpoint& aCore, const WatchReply& aReply);
  void WatchNewCores(const std::vector<Endpoint>& aCores);
  std::vector<Endpoint> SeedPeers() const;
  awaitable<void> FetchCatalog(Endpoint aCore);
  void TakeCatalog(const CatalogText& aText);
  void TakeTargets(const std::vector<TargetName>& aChanged);
  awaitable<void> EnsureAdapterAt(EnsureAdapter aWanted);
  awaitable<void> LoadLoop();
  awaitable<void> DemandLoop();
  awaitable<void> StopWhenDone();
  bool IsReady() const { return mRoutes != nullptr && !mStop.IsStopping(); }

  NodeSettings mSettings;
  std::unique_ptr<Dialect> mDialect;
  RandomEngine mRandom;
  WorkerPool mWorkers;
  asio::any_io_executor mExecutor;
  StopSchedule mStop;
  FleetView mFleet;
  Dispatcher mDispatcher;
  std::shared_ptr<const RouteMap> mRoutes;
  std::uint64_t mCatalogVersion = 0;
  bool mFetching = false;
  std::set<Endpoint> mCores;
  /** Addresses that were mentioned, and when last. */
  std::map<Endpoint, Instant> mMentioned;
  std::vector<Endpoint> mEdges;
  std::uint64_t mLoadSequence = 0;
  bool mHadLoad = false;
  PeerNetwork mNetwork;
  HttpPool mPool;
  WatchBoard mRoom;
  EdgeContext mContext;
  HttpServer mCallers;
  HttpServer mReadiness;
};

EdgeNode::Impl::Impl(NodeSettings aSettings, std::unique_ptr<Dialect> aDialect)
  : mSettings(std::move(aSettings))
  , mDialect(std::move(aDialect))
  , mRandom(static_cast<std::uint64_t>(WallMicros()) ^
            ComputeChecksum(mSettings.mName.Text()))
  , mWorkers(1)
  , mExecutor(mWorkers.At(0))
  , mStop(mSettings.mGracePeriod)
  , mDispatcher(DispatcherOptions{ mSettings.mFailureDomain,
                                   RetryBudget{ mSettings.mRetryShare,
                                                mSettings.mRetrySlack,
                                                mSettings.mRetryWindow },
                                   mRandom() })
  , mNetwork(
      mWorkers,
      [](std::uint16_t, std::string, std::string) -> awaitable<std::string> {
        std::string nothing;
        co_return nothing;
      },
      [this](std::uint16_t aType, const std::string& aPayload,
             const std::string& aPeer) {
        if (aType != static_cast<std::uint16_t>(FleetMessageType::Load)) {
          return;
        }
        const auto load = Decode<EdgeLoad>(aPayload, aPeer);
        if (load) {
          mDispatcher.OnPeerLoad(SteadyNow(), *load);
        } else {
          LogError(load.GetError());
        }
      })
  , mPool(HttpPoolOptions{ kMostIdlePerTarget, kMaxIdleTime })
  , mContext{ *mDialect, mDispatcher, mPool, mRoom,
              [this](EnsureAdapter aWanted) {
                return EnsureAdapterAt(std::move(aWanted));
              } }
  , mCallers(mWorkers, HttpLimits{},
             [this](HttpExchange& aExchange) { return Handle(aExchange); })
  , mReadiness(mWorkers, HttpLimits{}, [this](HttpExchange& aExchange) {
    return HandleReadiness(aExchange);
  })
{
  // The route's deadline bounds what this daemon waits for; a VM of the edge
  // shares the budget with at least as many others as there are seeds.
  mDispatcher.SetDaemons(static_cast<std::uint32_t>(mSettings.mSeeds.size()) +
                         1);
}

Result<Unit> EdgeNode::Impl::Start()
{
  auto started = mNetwork.Listen(mSettings.mPeerAddress);
  if (started) {
    started = mReadiness.Listen(mSettings.mReadinessAddress);
  }
  if (started) {
    started = mCallers.Listen(mSettings.mCallerAddress);
  }
  if (!started) {
    return started;
  }
  Log(LogLevel::Info, { "edge.start", {}, {}, {}, "watching the seeds" });
  asio::post(mExecutor, [this] { WatchNewCores(SeedPeers()); });
  asio::co_spawn(
    mExecutor, [this] { return LoadLoop(); }, asio::detached);
  asio::co_spawn(
    mExecutor, [this] { return DemandLoop(); }, asio::detached);
  return Success();
}

void EdgeNode::Impl::Run()
{
  mWorkers.Start();
  mWorkers.Join();
}

std::vector<Endpoint> EdgeNode::Impl::SeedPeers() const
{
  std::vector<Endpoint> peers;
  std::ranges::transform(
    mSettings.mSeeds, std::back_inserter(peers), [this](const Endpoint& aSeed) {
      return Endpoint{ aSeed.mHost, mSettings.mPeerAddress.mPort };
    });
  return peers;
}

void EdgeNode::Impl::Reload(NodeSettings aSettings)
{
  asio::post(mExecutor, [this, settings = std::move(aSettings)] {
    mSettings.mSeeds = settings.mSeeds;
    WatchNewCores(SeedPeers());
    Log(LogLevel::Info, { "edge.reload", {}, {}, {}, "seeds taken" });
  });
}

// ---- What the control daemons say.

void EdgeNode::Impl::WatchNewCores(const std::vector<Endpoint>& aCores)
{
  for (const Endpoint& core : aCores) {
    mMentioned[core] = SteadyNow();
    if (mCores.insert(core).second) {
      asio::co_spawn(
        mExecutor, [this, core] { return WatchCore(core); }, asio::detached);
    }
  }
}

awaitable<void> EdgeNode::Impl::WatchCore(Endpoint aCore)
{
  Instant heardAt = SteadyNow();
  bool isLost = false;
  while (true) {
    WatchRequest request;
    request.mFrom = mSettings.mPeerAddress;
    request.mFailureDomain = mSettings.mFailureDomain;
    mFleet.FillRequest(aCore, request);
    request.mCatalogVersion = mCatalogVersion;
    std::string encoded = Encode(request);
    auto calling =
      mNetwork.Call(aCore, static_cast<std::uint16_t>(FleetMessageType::Watch),
                    std::move(encoded), kWatchTimeout);
    const auto answer = co_await std::move(calling);
    const auto reply = answer ? Decode<WatchReply>(*answer, aCore.ToString())
                              : Result<WatchReply>(answer.GetError());
    const Instant now = SteadyNow();
    if (reply) {
      heardAt = now;
      if (std::exchange(isLost, false)) {
        Log(LogLevel::Info, { "core.regained", aCore.ToString(), {}, {}, {} });
      }
      OnWatchReply(aCore, *reply);
      continue;
    }
    if (!isLost && now - heardAt > kSourceTimeout) {
      isLost = true;
      mFleet.DropSource(aCore);
      LogError(reply.GetError());
    }
    const auto seeds = SeedPeers();
    const bool isSeed = std::ranges::find(seeds, aCore) != seeds.end();
    if (!isSeed && now - mMentioned[aCore] > kForgetCore) {
      mCores.erase(aCore);
      mMentioned.erase(aCore);
      co_return;
    }
    asio::steady_timer timer(mExecutor, kWatchPause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void EdgeNode::Impl::OnWatchReply(const Endpoint& aCore,
                                  const WatchReply& aReply)
{
  TakeTargets(mFleet.OnReply(SteadyNow(), aCore, aReply));
  WatchNewCores(aReply.mCores);
  if (!aReply.mEdges.empty()) {
    mEdges = aReply.mEdges;
    std::erase(mEdges, mSettings.mPeerAddress);
    mDispatcher.SetDaemons(static_cast<std::uint32_t>(mEdges.size()) + 1);
  }
  if (aReply.mCatalogVersion > mCatalogVersion && !mFetching) {
    mFetching = true;
    asio::co_spawn(
      mExecutor, [this, aCore] { return FetchCatalog(aCore); }, asio::detached);
  }
}

void EdgeNode::Impl::TakeTargets(const std::vector<TargetName>& aChanged)
{
  const Instant now = SteadyNow();
  for (const TargetName& name : aChanged) {
    if (const auto state = mFleet.Find(name)) {
      mDispatcher.OnTarget(now, *state);
    }
  }
  if (!aChanged.empty()) {
    mRoom.Notify();
  }
}

awaitable<void> EdgeNode::Impl::FetchCatalog(Endpoint aCore)
{
  auto calling = mNetwork.Call(
    aCore, static_cast<std::uint16_t>(FleetMessageType::GetCatalog), "",
    kFetchTimeout);
  const auto answer = co_await std::move(calling);
  mFetching = false;
  if (!answer) {
    LogError(answer.GetError());
    co_return;
  }
  auto text = Decode<CatalogText>(*answer, aCore.ToString());
  if (text) {
    TakeCatalog(*text);
  } else {
    LogError(text.GetError());
  }
}

void EdgeNode::Impl::TakeCatalog(const CatalogText& aText)
{
  if (aText.mVersion <= mCatalogVersion) {
    return;
  }
  auto catalog = mDialect->ReadCatalog(aText.mText);
  if (!catalog) {
    LogError(catalog.GetError());
    return;
  }
  mCatalogVersion = aText.mVersion;
  const auto shared = std::make_shared<const Catalog>(std::move(*catalog));
  mRoutes = std::make_shared<const RouteMap>(shared);
  mDispatcher.SetCatalog(shared);
  LogFields fields;
  fields.mStep = "catalog.in-force";
  const std::string message = "version " + std::to_string(mCatalogVersion);
  fields.mMessage = message;
  Log(LogLevel::Info, fields);
}

awaitable<void> EdgeNode::Impl::EnsureAdapterAt(EnsureAdapter aWanted)
{
  const Endpoint leader = mFleet.Leader();
  if (leader.mHost.empty()) {
    co_return;
  }
  std::string encoded = Encode(aWanted);
  auto calling = mNetwork.Call(
    leader, static_cast<std::uint16_t>(FleetMessageType::EnsureAdapter),
    std::move(encoded), kAdapterTimeout);
  const auto answer = co_await std::move(calling);
  const auto reply = answer
                       ? Decode<EnsureAdapterReply>(*answer, leader.ToString())
                       : Result<EnsureAdapterReply>(answer.GetError());
  if (!reply) {
    LogError(reply.GetError());
    co_return;
  }
  for (const TargetName& target : reply->mTargets) {
    mFleet.NoteAdapter(target, aWanted.mModel, aWanted.mAdapter);
  }
  TakeTargets(reply->mTargets);
}

// ---- What other daemons are told.

awaitable<void> EdgeNode::Impl::LoadLoop()
{
  asio::steady_timer timer(mExecutor);
  while (true) {
    EdgeLoad load;
    load.mFrom = mSettings.mPeerAddress;
    load.mSequence = ++mLoadSequence;
    load.mTargets = mDispatcher.Loads();
    std::ranges::sort(load.mTargets, std::ranges::greater{},
                      &TargetLoad::mInFlight);
    if (load.mTargets.size() > kMostLoads) {
      load.mTargets.resize(kMostLoads);
    }
    // An empty report is sent once, to take back the one before.
    if (std::exchange(mHadLoad, !load.mTargets.empty()) || mHadLoad) {
      const std::string payload = Encode(load);
      for (const Endpoint& edge : mEdges) {
        mNetwork.SendDatagram(
          edge, static_cast<std::uint16_t>(FleetMessageType::Load), payload);
      }
    }
    timer.expires_after(kLoadInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

awaitable<void> EdgeNode::Impl::DemandLoop()
{
  asio::steady_timer timer(mExecutor);
  while (true) {
    DemandReport report;
    report.mFrom = mSettings.mPeerAddress;
    report.mModels = mDispatcher.TakeDemand();
    const Endpoint leader = mFleet.Leader();
    if (!leader.mHost.empty()) {
      mNetwork.Send(leader,
                    static_cast<std::uint16_t>(FleetMessageType::Demand),
                    Encode(report));
    }
    timer.expires_after(kDemandInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

// ---- Callers.

awaitable<void> EdgeNode::Impl::HandleReadiness(HttpExchange& aExchange)
{
  const bool isCheck = mDialect->IsReadinessCheck(aExchange.Request());
  const std::uint16_t status = !isCheck    ? kNotFound
                               : IsReady() ? kOk
                                           : kUnavailable;
  auto sending = aExchange.Respond(MakeResponse(status, "text/plain", ""));
  const auto sent = co_await std::move(sending);
  if (!sent) {
    LogError(sent.GetError());
  }
}

ServiceName EdgeNode::Impl::PickService(const Route& aRoute)
{
  if (aRoute.mServices.size() == 1) {
    return aRoute.mServices.front().mService;
  }
  const auto total = std::accumulate(
    aRoute.mServices.begin(), aRoute.mServices.end(), std::uint64_t{ 0 },
    [](std::uint64_t aSum, const ServiceShare& aShare) {
      return aSum + aShare.mWeight;
    });
  auto at = std::uniform_int_distribution<std::uint64_t>(1, total)(mRandom);
  for (const ServiceShare& share : aRoute.mServices) {
    if (at <= share.mWeight) {
      return share.mService;
    }
    at -= share.mWeight;
  }
  return aRoute.mServices.back().mService;
}

awaitable<void> EdgeNode::Impl::Handle(HttpExchange& aExchange)
{
  const Instant now = SteadyNow();
  const HttpRequest& request = aExchange.Request();
  CallerRequest caller = mDialect->ReadCaller(request);
  // Keeps the routes while the request is open, whatever comes into force.
  const auto routes = mRoutes;
  const Route* route =
    routes ? routes->Find(caller.mHost, request.Path()) : nullptr;
  if (route == nullptr || mStop.IsTooLateFor(now, *route)) {
    const bool isUnknown = routes && route == nullptr;
    HttpResponse response =
      mDialect->MakeAnswer(isUnknown ? kNotFound : kUnavailable, caller,
                           isUnknown ? Duration::zero() : kNoCatalogPause,
                           isUnknown ? "no route"
                           : routes  ? "stopping"
                                     : "no catalog yet");
    auto sending = aExchange.Respond(std::move(response));
    const auto sent = co_await std::move(sending);
    if (!sent) {
      LogError(sent.GetError());
    }
    co_return;
  }
  auto run = std::make_shared<EdgeRequest>(
    mContext, aExchange, std::move(caller), *route, PickService(*route), now);
  auto running = run->Run();
  co_await std::move(running);
}

// ---- The end.

void EdgeNode::Impl::RequestStop()
{
  asio::co_spawn(
    mExecutor, [this] { return StopWhenDone(); }, asio::detached);
}

awaitable<void> EdgeNode::Impl::StopWhenDone()
{
  if (!mStop.Begin(SteadyNow())) {
    co_return;
  }
  Log(LogLevel::Info, { "edge.stop", {}, {}, {}, "no longer ready" });
  mCallers.EndConnections();
  asio::steady_timer timer(mExecutor);
  const auto mayEnd = [this](Instant aNow) {
    const bool isIdle = mCallers.OpenExchanges() == 0;
    return aNow >= mStop.Latest() || (isIdle && aNow >= mStop.IdleUntil());
  };
  while (!mayEnd(SteadyNow())) {
    timer.expires_after(kStopPoll);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  mCallers.StopAccepting();
  timer.expires_after(kStopPoll);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  Log(LogLevel::Info, { "edge.stopped", {}, {}, {}, {} });
  mWorkers.Stop();
}

EdgeNode::EdgeNode(NodeSettings aSettings, std::unique_ptr<Dialect> aDialect)
  : mImpl(std::make_unique<Impl>(std::move(aSettings), std::move(aDialect)))
{
}

EdgeNode::~EdgeNode() = default;

Result<Unit> EdgeNode::Start()
{
  return mImpl->Start();
}

void EdgeNode::Run()
{
  mImpl->Run();
}

void EdgeNode::RequestStop()
{
  mImpl->RequestStop();
}

void EdgeNode::Reload(NodeSettings aSettings)
{
  mImpl->Reload(std::move(aSettings));
}

} // namespace carobtide
