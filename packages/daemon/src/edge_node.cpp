#include "edge_node.hpp"
#include "carobtide/base/codec.hpp"
#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"
#include "edge_request.hpp"
#include "metrics.hpp"
#include "server_close.hpp"
#include "tasks.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <numeric>
#include <random>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kUnauthorized = 401;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kUnavailable = 503;
constexpr Duration kStopPoll = std::chrono::milliseconds(50);
/** Pause asked of callers while no catalog is known. */
constexpr Duration kNoCatalogPause = std::chrono::milliseconds(500);
/** A target that restarts in place is heard of within so many heartbeats. */
constexpr int kMissedHeartbeats = 3;
constexpr std::size_t kMostIdlePerTarget = 64;
/** Targets close idle connections; ours end sooner. */
constexpr Duration kMaxIdleTime = std::chrono::seconds(4);
/** Callers without a key must not be able to fill the log. */
constexpr Duration kKeyLineInterval = std::chrono::milliseconds(50);
/** Added to the limit of a caller's head by the daemon before. */
constexpr Bytes kMaxRelayHeaderBytes = 32 * kKiB;

HttpLimits MakeLimits(std::shared_ptr<MemoryRoom> aMemory)
{
  HttpLimits limits;
  limits.mMemory = std::move(aMemory);
  return limits;
}

HttpLimits RelayLimits(std::shared_ptr<MemoryRoom> aMemory)
{
  HttpLimits limits = MakeLimits(std::move(aMemory));
  limits.mMaxHeaderBytes += kMaxRelayHeaderBytes;
  return limits;
}

DispatcherOptions MakeDispatcherOptions(
  const NodeSettings& aSettings, std::uint64_t aSeed,
  std::function<bool(const Endpoint&)> aHasIdleConnection)
{
  DispatcherOptions options;
  options.mFailureDomain = aSettings.mFailureDomain;
  options.mRetryBudget = { aSettings.mRetryShare, aSettings.mRetrySlack,
                           aSettings.mRetryWindow };
  options.mSeed = aSeed;
  options.mHasIdleConnection = std::move(aHasIdleConnection);
  options.mProcessDoubt = kMissedHeartbeats * aSettings.mHeartbeatInterval;
  options.mUsesSpeeds = aSettings.mUnevenTargets == FunctionUse::Automatic;
  options.mUsesFailures = aSettings.mSharedFailures == FunctionUse::Automatic;
  options.mWaitingOrder = aSettings.mWaitingOrder;
  options.mSharesFailuresIfUneven = true;
  options.mSettlesAtStart = true;
  if (aSettings.mConnectionSubset == FunctionUse::Automatic) {
    options.mSubsetId = ComputeChecksum(aSettings.mPeerAddress.ToString());
  }
  options.mIdleTime = kMaxIdleTime;
  return options;
}

} // namespace

EdgeNode::EdgeNode(NodeSettings aSettings, std::unique_ptr<Dialect> aDialect)
  : mSettings(std::move(aSettings))
  , mDialect(std::move(aDialect))
  , mRandom(static_cast<std::uint64_t>(WallMicros()) ^
            ComputeChecksum(mSettings.mName.Text()))
  , mWorkers(1)
  , mExecutor(mWorkers.At(0))
  , mStop(mSettings.mGracePeriod)
  , mDispatcher(MakeDispatcherOptions(
      mSettings, mRandom(),
      [this](const Endpoint& aAddress) { return mPool.HasIdle(aAddress); }))
  , mStartedAt(SteadyNow())
  , mHomes(mSettings.mPeerAddress, mSettings.mFailureDomain)
  , mNetwork(
      mWorkers,
      [](std::uint16_t, std::string, std::string) -> awaitable<std::string> {
        std::string nothing;
        co_return nothing;
      },
      [this](std::uint16_t aType, const std::string& aPayload,
             const std::string& aPeer) { OnMessage(aType, aPayload, aPeer); })
  , mPool(HttpPoolOptions{ kMostIdlePerTarget, kMaxIdleTime,
                           [this](const Endpoint& aAddress) {
                             return mDispatcher.IdleToKeep(aAddress);
                           } })
  , mAllowance(mExecutor, mSettings.mPeerAddress, mSettings.mAllowanceSlack,
               static_cast<std::uint64_t>(WallMicros()) ^
                 ComputeChecksum(mSettings.mPeerAddress.ToString()),
               [this](const Endpoint& aHome, const CreditReport& aReport) {
                 mNetwork.Send(
                   aHome,
                   static_cast<std::uint16_t>(FleetMessageType::CreditReport),
                   Encode(aReport));
               })
  , mContext{
    *mDialect,
    mDispatcher,
    mGuard,
    mPool,
    mRoom,
    [this](EnsureAdapter aWanted) {
      return EnsureAdapterAt(std::move(aWanted));
    },
    [this](TargetProcess aProcess, Endpoint aAddress) {
      return ProbeTarget(std::move(aProcess), std::move(aAddress));
    },
    [this] { ReportCrashes(); },
    [this](const TargetProcess& aProcess) { OnTargetLeaves(aProcess); },
    [this](const TargetProcess& aProcess, const RateLimit& aLimit,
           std::string_view aCall) {
      OnTargetLimited(aProcess, aLimit, aCall);
    },
    [this](StreamQuery aQuery) { return FindOrigin(std::move(aQuery)); },
    [this](StreamKey aStream, const StreamOrigin& aOrigin) {
      OnStreamBegun(aStream, aOrigin);
    },
    mMetrics,
    mMemory,
    0,
    0,
    &mStop,
    nullptr,
    &mAllowance
  }
  , mCallers(mWorkers, MakeLimits(mMemory),
             [this](HttpExchange& aExchange) { return Handle(aExchange); })
  , mRelayed(
      mWorkers, RelayLimits(mMemory),
      [this](HttpExchange& aExchange) { return HandleRelayed(aExchange); })
  , mReadiness(
      mWorkers, HttpLimits::ForSmallRequests(),
      [this](HttpExchange& aExchange) { return HandleReadiness(aExchange); })
  , mMetricsServer(mWorkers, [this] { return RenderMetrics(); })
  , mConnections({ { "callers", [this] { return mCallers.Counts(); } },
                   { "relayed", [this] { return mRelayed.Counts(); } },
                   { "readiness", [this] { return mReadiness.Counts(); } },
                   { "targets", [this] { return mPool.Counts(); } } })
{
  ShareDescriptors();
  // The route's deadline bounds what this daemon waits for; a VM of the edge
  // shares the budget with at least as many others as there are seeds.
  mDispatcher.SetDaemons(static_cast<std::uint32_t>(mSettings.mSeeds.size()) +
                         1);
}

Result<Unit> EdgeNode::Start()
{
  auto started = mNetwork.Listen(mSettings.mPeerAddress);
  if (started) {
    started = mReadiness.Listen(mSettings.mReadinessAddress);
  }
  if (started) {
    started = mCallers.Listen(mSettings.mCallerAddress);
  }
  if (started && mSettings.mRelayAddress) {
    started = mRelayed.Listen(*mSettings.mRelayAddress);
  }
  if (started) {
    started = mMetricsServer.Listen(mSettings.mMetricsAddress);
  }
  if (!started) {
    return started;
  }
  Log(LogLevel::Info, { "edge.start", {}, {}, {}, "watching the seeds" });
  asio::post(mExecutor, [this] { WatchNewCores(SeedPeers()); });
  SpawnLoop(mExecutor, "edge.load", [this] { return LoadLoop(); });
  SpawnLoop(mExecutor, "edge.demand", [this] { return DemandLoop(); });
  SpawnLoop(mExecutor, "edge.paths", [this] { return PathLoop(); });
  SpawnLoop(mExecutor, "edge.catalog", [this] { return CatalogLoop(); });
  SpawnLoop(mExecutor, "edge.allowance", [this] { return mAllowance.Run(); });
  return Success();
}

void EdgeNode::Run()
{
  mWorkers.Start();
  mWorkers.Join();
}

void EdgeNode::ShareDescriptors()
{
  const DescriptorShares shares = ShareForEdge(DescriptorLimit());
  mCallers.SetMaxConnections(shares.mClients);
  mRelayed.SetMaxConnections(shares.mRelayed);
  mReadiness.SetMaxConnections(shares.mChecks);
  mMetricsServer.SetMaxConnections(shares.mChecks);
  mPool.SetMaxOpen(shares.mTargets);
}

std::vector<Endpoint> EdgeNode::SeedPeers() const
{
  std::vector<Endpoint> peers;
  std::ranges::transform(
    mSettings.mSeeds, std::back_inserter(peers), [this](const Endpoint& aSeed) {
      return Endpoint{ aSeed.mHost, mSettings.mPeerAddress.mPort };
    });
  return peers;
}

void EdgeNode::Reload(NodeSettings aSettings)
{
  asio::post(mExecutor, [this, settings = std::move(aSettings)] {
    mSettings.mSeeds = settings.mSeeds;
    WatchNewCores(SeedPeers());
    Log(LogLevel::Info, { "edge.reload", {}, {}, {}, "seeds taken" });
  });
}

awaitable<void> EdgeNode::HandleReadiness(HttpExchange& aExchange)
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

std::string EdgeNode::RenderMetrics() const
{
  const Instant now = SteadyNow();
  const DispatcherStats stats = mDispatcher.Stats();
  const FleetAges ages = mDispatcher.Ages(now);
  const RateStats rates = mDispatcher.Rates(now);
  const HttpReadStats read = GetHttpReadStats();
  const auto seconds = [](Duration aTime) {
    return std::chrono::duration<double>(aTime).count();
  };
  const auto waiting = [this](WaitingClass aClass) {
    return static_cast<double>(mDispatcher.Waiting().Count(aClass));
  };
  return mMetrics.Render() + mConnections.Render() +
         RenderGauges(MemoryGauges(*mMemory)) +
         RenderGauges(CatalogGauges(now)) +
         RenderGauges({
           { "ready", IsReady() ? 1.0 : 0.0 },
           { "oversized_requests",
             static_cast<double>(read.mOversizedRequests) },
           { "oversized_answers",
             static_cast<double>(read.mOversizedResponses) },
           { "malformed_answers",
             static_cast<double>(read.mMalformedResponses) },
           { "idle_connections", static_cast<double>(mPool.IdleCount()) },
           { "requests_waiting_for_credit",
             static_cast<double>(mAllowance.Waiting()) },
           { "open_requests", static_cast<double>(mCallers.OpenExchanges()) },
           { "waiting_requests", static_cast<double>(mRoom.Waiting()) },
           { "waiting_in_time", waiting(WaitingClass::InTime) },
           { "waiting_tolerant", waiting(WaitingClass::Tolerant) },
           { "waiting_late", waiting(WaitingClass::Late) },
           { "refused_by_forecast",
             static_cast<double>(stats.mRefusedByForecast) },
           { "sends", static_cast<double>(stats.mSent) },
           { "repeats", static_cast<double>(stats.mRetried) },
           { "repeats_denied", static_cast<double>(stats.mRetriesDenied) },
           { "handed_on", static_cast<double>(stats.mRelayed) },
           { "taken_for_others", static_cast<double>(mTakenForOthers) },
           { "turned_away", static_cast<double>(stats.mRejected) },
           { "retry_budget_left", mDispatcher.RetriesLeft() },
           { "blocked_contents", static_cast<double>(mGuard.Blocks()) },
           { "target_crashes", static_cast<double>(mGuard.Stats().mCrashes) },
           { "crash_reports_dropped",
             static_cast<double>(mGuard.Stats().mReportsDropped) },
           { "targets", static_cast<double>(ages.mTargets) },
           { "targets_leaving", static_cast<double>(ages.mLeaving) },
           { "targets_paused", static_cast<double>(ages.mPaused) },
           { "targets_limited", static_cast<double>(ages.mLimited) },
           { "targets_unreachable", static_cast<double>(ages.mUnreachable) },
           { "targets_of_known_speed", static_cast<double>(rates.mKnown) },
           { "targets_avoided", static_cast<double>(rates.mAvoided) },
           { "services_of_uneven_targets", static_cast<double>(rates.mUneven) },
           { "oldest_target_sums_seconds", seconds(rates.mAge) },
           { "connection_subset_size", static_cast<double>(rates.mSubset) },
           { "new_connections", static_cast<double>(mPool.Connects()) },
           { "targets_silent", static_cast<double>(ages.mSilent) },
           { "oldest_target_belief_seconds", seconds(ages.mOldestTarget) },
           { "oldest_peer_load_seconds", seconds(ages.mPeerLoads) },
           { "log_lines_dropped", static_cast<double>(DroppedLogLines()) },
         });
}

ServiceName EdgeNode::PickService(const Route& aRoute)
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

awaitable<void> EdgeNode::Reject(HttpExchange& aExchange,
                                 HttpResponse aResponse)
{
  auto sending = aExchange.Respond(std::move(aResponse));
  const auto sent = co_await std::move(sending);
  if (!sent) {
    LogError(sent.GetError());
  }
}

void EdgeNode::OnKeyRefused(Instant aNow, const CallerRequest& aCaller,
                            const Route& aRoute)
{
  mMetrics.Organisations().OnKeyRefused(aCaller.mKeyHeader);
  if (aNow < mNextKeyLine) {
    ++mKeysNotWritten;
    return;
  }
  mNextKeyLine = aNow + kKeyLineInterval;
  RequestTrail::WriteKeyRefused(aCaller, aRoute,
                                std::exchange(mKeysNotWritten, 0));
}

awaitable<void> EdgeNode::Handle(HttpExchange& aExchange)
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
    auto rejecting = Reject(aExchange, std::move(response));
    co_await std::move(rejecting);
    co_return;
  }
  CallerIdentity identity =
    IdentifyCaller(*mContext.mOrganisations, caller, *route);
  if (!identity.mIsAccepted) {
    OnKeyRefused(now, caller, *route);
    HttpResponse response = mDialect->MakeAnswer(
      kUnauthorized, caller, Duration::zero(), "unknown key");
    auto rejecting = Reject(aExchange, std::move(response));
    co_await std::move(rejecting);
    co_return;
  }
  auto run = std::make_shared<EdgeRequest>(
    mContext, aExchange, std::move(caller), std::move(identity), *route,
    PickService(*route), now);
  auto running = RunRequest(std::move(run));
  co_await std::move(running);
}

awaitable<void> EdgeNode::RunRequest(std::shared_ptr<EdgeRequest> aRequest)
{
  const EdgeRequest* const key = aRequest.get();
  mOpen.emplace(key, aRequest);
  auto running = aRequest->Run();
  co_await std::move(running);
  mOpen.erase(key);
}

std::size_t EdgeNode::OpenExchanges() const
{
  return mCallers.OpenExchanges() + mRelayed.OpenExchanges();
}

void EdgeNode::RequestStop()
{
  SpawnTask(mExecutor, "edge.stop", [this] { return StopWhenDone(); });
}

void EdgeNode::LogStopEnd() const
{
  const std::array inputs{
    LogInput{ "open", static_cast<std::int64_t>(OpenExchanges()) },
    LogInput{ "in_progress", static_cast<std::int64_t>(mOpen.size()) },
    LogInput{ "connections",
              static_cast<std::int64_t>(mCallers.Connections()) },
  };
  LogFields fields;
  fields.mStep = "edge.stop-ends";
  fields.mMessage =
    SteadyNow() >= mStop.Latest() ? "grace period over" : "idle";
  fields.mInputs = inputs;
  Log(LogLevel::Info, fields);
}

awaitable<void> EdgeNode::StopWhenDone()
{
  if (!mStop.Begin(SteadyNow())) {
    co_return;
  }
  Log(LogLevel::Info, { "edge.stop", {}, {}, {}, "no longer ready" });
  mCallers.EndConnections();
  mRelayed.EndConnections();
  // Waiting requests take the stop into account.
  mRoom.Notify();
  asio::steady_timer timer(mExecutor);
  const auto mayEnd = [this](Instant aNow) {
    const bool isIdle = OpenExchanges() == 0;
    return aNow >= mStop.Latest() || (isIdle && aNow >= mStop.IdleUntil());
  };
  while (!mayEnd(SteadyNow())) {
    timer.expires_after(kStopPoll);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  LogStopEnd();
  mStop.End();
  for (const auto& [key, request] : mOpen) {
    if (const auto open = request.lock()) {
      open->GiveUp();
    }
  }
  mRoom.Notify();
  auto closing = CloseServers({ &mCallers, &mRelayed });
  co_await std::move(closing);
  Log(LogLevel::Info, { "edge.stopped", {}, {}, {}, {} });
  mWorkers.Stop();
}

} // namespace carobtide
