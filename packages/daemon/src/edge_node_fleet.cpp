// What an edge hears of the fleet, and what it tells others.
#include "carobtide/base/codec.hpp"
#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"
#include "edge_node.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

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
/** Loads that fit one datagram. */
constexpr std::size_t kMostLoads = 24;

void LogNews(TargetTransition aNews, const Heartbeat& aLast)
{
  const std::array inputs{
    LogInput{ "incarnation",
              static_cast<std::int64_t>(aLast.mIncarnation.Value()) },
    LogInput{ "heartbeat", static_cast<std::int64_t>(aLast.mSequence) },
  };
  LogFields fields;
  fields.mStep = kTargetTransitions.Name(aNews);
  fields.mPeer = aLast.mTarget.Text();
  fields.mInputs = inputs;
  Log(LogLevel::Info, fields);
}

} // namespace

void EdgeNode::WatchNewCores(const std::vector<Endpoint>& aCores)
{
  for (const Endpoint& core : aCores) {
    mMentioned[core] = SteadyNow();
    if (mCores.insert(core).second) {
      asio::co_spawn(
        mExecutor, [this, core] { return WatchCore(core); }, asio::detached);
    }
  }
}

awaitable<void> EdgeNode::WatchCore(Endpoint aCore)
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

void EdgeNode::OnWatchReply(const Endpoint& aCore, const WatchReply& aReply)
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

void EdgeNode::TakeTargets(const std::vector<TargetName>& aChanged)
{
  const Instant now = SteadyNow();
  for (const TargetName& name : aChanged) {
    if (const auto state = mFleet.Find(name)) {
      const TargetTransition news = mDispatcher.OnTarget(now, *state);
      if (news != TargetTransition::None) {
        LogNews(news, state->mLast);
      }
    }
  }
  if (!aChanged.empty()) {
    mRoom.Notify();
  }
}

awaitable<void> EdgeNode::FetchCatalog(Endpoint aCore)
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

void EdgeNode::TakeCatalog(const CatalogText& aText)
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

awaitable<void> EdgeNode::EnsureAdapterAt(EnsureAdapter aWanted)
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

awaitable<void> EdgeNode::LoadLoop()
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

awaitable<void> EdgeNode::DemandLoop()
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

} // namespace carobtide
