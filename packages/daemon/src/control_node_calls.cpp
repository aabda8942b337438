// Calls to a control daemon: from operators, targets and other daemons.
#include "block_log.hpp"
#include "carobtide/base/codec.hpp"
#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"
#include "control_node.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kUnavailable = 503;

/** Operators move on to another daemon after a second without an answer. */
constexpr Duration kCommitTimeout = std::chrono::milliseconds(900);
/** A watch without news is answered after this, which shows that both live. */
constexpr Duration kWatchTimeout = std::chrono::milliseconds(1000);
/** Least time between two answers to one watcher, for each home watcher. */
constexpr Duration kAnswerIntervalPerWatcher = std::chrono::milliseconds(1);
constexpr Duration kMinAnswerInterval = std::chrono::milliseconds(20);
/** An adapter that takes longer is not waited for. */
constexpr Duration kAdapterTimeout = std::chrono::milliseconds(250);

HttpResponse MakeAnswer(std::uint16_t aStatus, std::string aBody = "{}")
{
  return MakeResponse(aStatus, "application/json", std::move(aBody));
}

} // namespace

template<class Message>
void ControlNode::SendToPeers(FleetMessageType aType, const Message& aMessage)
{
  const std::string payload = Encode(aMessage);
  for (const Endpoint& peer : mPeers.Addresses()) {
    mNetwork.Send(peer, static_cast<std::uint16_t>(aType), payload);
  }
}

template void ControlNode::SendToPeers(FleetMessageType, const Greeting&);
template void ControlNode::SendToPeers(FleetMessageType, const ResidencyMap&);
template void ControlNode::SendToPeers(FleetMessageType, const CrashNotice&);
template void ControlNode::SendToPeers(FleetMessageType, const DrainNotice&);

awaitable<void> ControlNode::HandleCall(HttpExchange& aExchange)
{
  auto answering = Answer(aExchange.Request());
  auto response = co_await std::move(answering);
  auto sending = aExchange.Respond(std::move(response));
  const auto sent = co_await std::move(sending);
  if (!sent) {
    LogError(sent.GetError());
  }
}

awaitable<HttpResponse> ControlNode::Answer(const HttpRequest& aRequest)
{
  const ControlCall call = mDialect->ReadControlCall(aRequest);
  switch (call.mKind) {
    case ControlCallKind::Heartbeat:
      co_return OnHeartbeatCall(call.mTarget, aRequest);
    case ControlCallKind::Leave:
      co_return OnLeaveCall(call.mTarget, aRequest);
    case ControlCallKind::PutCatalog: {
      auto putting = OnPutCatalog(aRequest.mBody);
      auto response = co_await std::move(putting);
      co_return response;
    }
    case ControlCallKind::GetCatalog: {
      auto getting = OnGetCatalog();
      auto response = co_await std::move(getting);
      co_return response;
    }
    case ControlCallKind::Unknown:
      break;
  }
  co_return MakeAnswer(kNotFound);
}

HttpResponse ControlNode::OnHeartbeatCall(const TargetName& aTarget,
                                          const HttpRequest& aRequest)
{
  const auto heartbeat = mDialect->ReadHeartbeat(aTarget, aRequest.mBody);
  if (!heartbeat) {
    LogError(heartbeat.GetError());
    return MakeAnswer(kBadRequest);
  }
  mMetrics.Add(ControlCounter::HeartbeatsTaken);
  const auto effect = mTargets.OnHeartbeat(SteadyNow(), *heartbeat);
  if (effect != HeartbeatEffect::Stale) {
    SendToPeers(FleetMessageType::HeartbeatNotice, *heartbeat);
    OnDirectoryChange(aTarget);
  }
  return MakeAnswer(kOk);
}

HttpResponse ControlNode::OnLeaveCall(const TargetName& aTarget,
                                      const HttpRequest& aRequest)
{
  const auto incarnation = mDialect->ReadLeave(aRequest.mBody);
  if (!incarnation) {
    LogError(incarnation.GetError());
    return MakeAnswer(kBadRequest);
  }
  if (mTargets.OnLeave(SteadyNow(), aTarget, *incarnation)) {
    Log(LogLevel::Info, { "target.left", aTarget.Text(), {}, {}, {} });
    LeaveNotice notice;
    notice.mTarget = aTarget;
    notice.mIncarnation = mTargets.Find(aTarget)->mLast.mIncarnation;
    SendToPeers(FleetMessageType::LeaveNotice, notice);
    OnDirectoryChange(aTarget);
  }
  return MakeAnswer(kOk);
}

awaitable<HttpResponse> ControlNode::OnPutCatalog(std::string aText)
{
  const auto catalog = mDialect->ReadCatalog(aText);
  const auto checked =
    catalog ? CheckCatalog(*catalog) : Result<Unit>(catalog.GetError());
  if (!checked) {
    LogError(checked.GetError());
    mMetrics.Add(ControlCounter::CatalogsRefused);
    co_return MakeAnswer(kBadRequest);
  }
  PutCatalog put;
  put.mCatalog = CatalogText{ catalog->mVersion, std::move(aText) };
  auto executing = Execute(std::move(put));
  const auto reply = co_await std::move(executing);
  const auto outcome = static_cast<CommitOutcome>(reply.mOutcome);
  const bool isCommitted = outcome == CommitOutcome::Committed;
  if (isCommitted) {
    mMetrics.Add(ControlCounter::CatalogsAcknowledged);
  }
  LogFields fields;
  fields.mStep = "catalog.put";
  const std::string message =
    "version " + std::to_string(catalog->mVersion) +
    (isCommitted ? " committed" : " not known to be committed");
  fields.mMessage = message;
  Log(LogLevel::Info, fields);
  co_return MakeAnswer(isCommitted ? kOk : kUnavailable);
}

awaitable<HttpResponse> ControlNode::OnGetCatalog()
{
  auto executing = Execute(ReadBarrier{});
  auto reply = co_await std::move(executing);
  const auto outcome = static_cast<CommitOutcome>(reply.mOutcome);
  const bool isKnown =
    outcome == CommitOutcome::Committed && reply.mCatalog.mVersion > 0;
  co_return isKnown ? MakeAnswer(kOk, std::move(reply.mCatalog.mText))
                    : MakeAnswer(kUnavailable);
}

awaitable<ProposeReply> ControlNode::ExecuteHere(std::string aCommand)
{
  const Instant startedAt = SteadyNow();
  auto committing = mReplica.Commit(std::move(aCommand), kCommitTimeout);
  const CommitOutcome outcome = co_await std::move(committing);
  if (outcome == CommitOutcome::Committed) {
    mMetrics.OnCommit(SteadyNow() - startedAt);
  }
  ProposeReply reply;
  reply.mOutcome = static_cast<std::uint8_t>(outcome);
  if (outcome == CommitOutcome::Committed) {
    reply.mCatalog = mCatalogs.Current();
  }
  co_return reply;
}

awaitable<ProposeReply> ControlNode::Execute(CatalogCommand aCommand)
{
  std::string command = Encode(aCommand);
  if (mReplica.IsLeading()) {
    auto executing = ExecuteHere(std::move(command));
    auto reply = co_await std::move(executing);
    co_return reply;
  }
  ProposeReply unknown;
  unknown.mOutcome = static_cast<std::uint8_t>(CommitOutcome::Unknown);
  const Endpoint leader = LeaderAddress();
  if (leader.mHost.empty() || leader == mSettings.mPeerAddress) {
    co_return unknown;
  }
  auto calling =
    mNetwork.Call(leader, static_cast<std::uint16_t>(FleetMessageType::Propose),
                  std::move(command), kCommitTimeout);
  const auto answer = co_await std::move(calling);
  if (!answer) {
    LogError(answer.GetError());
    co_return unknown;
  }
  auto reply = Decode<ProposeReply>(*answer, leader.ToString());
  if (!reply) {
    LogError(reply.GetError());
    co_return unknown;
  }
  co_return std::move(*reply);
}

awaitable<std::string> ControlNode::OnPeerCall(std::uint16_t aType,
                                               std::string aPayload,
                                               std::string aPeer)
{
  switch (static_cast<FleetMessageType>(aType)) {
    case FleetMessageType::Watch: {
      auto request = Decode<WatchRequest>(aPayload, aPeer);
      if (request) {
        auto watching = OnWatch(std::move(*request));
        auto reply = co_await std::move(watching);
        co_return reply;
      }
      LogError(request.GetError());
      break;
    }
    case FleetMessageType::GetCatalog: {
      std::string reply = Encode(mCatalogs.Current());
      co_return reply;
    }
    case FleetMessageType::EnsureAdapter: {
      auto wanted = Decode<EnsureAdapter>(aPayload, aPeer);
      if (wanted) {
        auto ensuring = OnEnsureAdapter(std::move(*wanted));
        auto reply = co_await std::move(ensuring);
        co_return reply;
      }
      LogError(wanted.GetError());
      break;
    }
    case FleetMessageType::CrashNotice: {
      const auto notice = Decode<CrashNotice>(aPayload, aPeer);
      if (notice) {
        OnCrashNotice(*notice);
      } else {
        LogError(notice.GetError());
      }
      break;
    }
    case FleetMessageType::StreamQuery: {
      const auto query = Decode<StreamQuery>(aPayload, aPeer);
      if (query) {
        std::string reply = Encode(OnStreamQuery(*query));
        co_return reply;
      }
      LogError(query.GetError());
      break;
    }
    case FleetMessageType::Propose: {
      auto executing = ExecuteHere(std::move(aPayload));
      const auto reply = co_await std::move(executing);
      std::string encoded = Encode(reply);
      co_return encoded;
    }
    default:
      break;
  }
  std::string nothing;
  co_return nothing;
}

void ControlNode::OnPeerMessage(std::uint16_t aType,
                                const std::string& aPayload,
                                const std::string& aPeer)
{
  const auto take = [&]<class Message>(Message, auto aHandler) {
    const auto message = Decode<Message>(aPayload, aPeer);
    if (message) {
      aHandler(*message);
    } else {
      LogError(message.GetError());
    }
  };
  const Instant now = SteadyNow();
  switch (static_cast<FleetMessageType>(aType)) {
    case FleetMessageType::Consensus:
      take(ConsensusEnvelope{}, [&](const ConsensusEnvelope& aEnvelope) {
        mReplica.OnMessage(aEnvelope);
      });
      break;
    case FleetMessageType::Greeting:
      take(Greeting{}, [&](const Greeting& aGreeting) {
        mPeers.OnGreeting(now, aGreeting.mFrom);
        for (const Endpoint& peer : aGreeting.mKnown) {
          mPeers.OnMention(now, peer);
        }
      });
      break;
    case FleetMessageType::HeartbeatNotice:
      take(Heartbeat{}, [&](const Heartbeat& aHeartbeat) {
        if (mTargets.OnHeartbeat(now, aHeartbeat) != HeartbeatEffect::Stale) {
          OnDirectoryChange(aHeartbeat.mTarget);
        }
      });
      break;
    case FleetMessageType::LeaveNotice:
      take(LeaveNotice{}, [&](const LeaveNotice& aNotice) {
        if (mTargets.OnLeave(now, aNotice.mTarget, aNotice.mIncarnation)) {
          OnDirectoryChange(aNotice.mTarget);
        }
      });
      break;
    case FleetMessageType::Load:
      take(InFlightReport{}, [&](const InFlightReport& aReport) {
        mLoads.OnReport(now, aReport);
      });
      break;
    case FleetMessageType::Residency:
      take(ResidencyMap{}, [&](const ResidencyMap& aMap) {
        if (mResidency.OnMap(now, aMap)) {
          mNews.Notify();
        } else {
          RequestResidency();
        }
      });
      break;
    case FleetMessageType::ResidencyRequest:
      take(ResidencyRequest{}, [&](const ResidencyRequest& aRequest) {
        OnResidencyRequest(aRequest);
      });
      break;
    case FleetMessageType::CrashNotice:
      take(CrashNotice{},
           [&](const CrashNotice& aNotice) { OnCrashNotice(aNotice); });
      break;
    case FleetMessageType::StreamNotice:
      take(StreamNotice{},
           [&](const StreamNotice& aNotice) { mStreams.Put(now, aNotice); });
      break;
    case FleetMessageType::DrainNotice:
      take(DrainNotice{},
           [&](const DrainNotice& aNotice) { OnDrainNotice(aNotice); });
      break;
    case FleetMessageType::Demand:
      take(DemandReport{}, [&](const DemandReport& aReport) {
        if (mPlanner) {
          mPlanner->OnDemand(now, aReport);
        }
      });
      break;
    default:
      break;
  }
}

void ControlNode::RequestResidency()
{
  const Endpoint leader = LeaderAddress();
  if (leader.mHost.empty() || leader == mSettings.mPeerAddress) {
    return;
  }
  mNetwork.Send(
    leader, static_cast<std::uint16_t>(FleetMessageType::ResidencyRequest),
    Encode(ResidencyRequest{ mSettings.mPeerAddress, mResidency.Term(),
                             mResidency.Version() }));
}

void ControlNode::OnResidencyRequest(const ResidencyRequest& aRequest)
{
  if (mPlanner && mResidency.Term() == mPlannerTerm &&
      mResidency.IsNewerThan(aRequest.mTerm, aRequest.mVersion)) {
    mNetwork.Send(
      aRequest.mFrom, static_cast<std::uint16_t>(FleetMessageType::Residency),
      Encode(mResidency.Since(SteadyNow(), aRequest.mTerm, aRequest.mVersion)));
  }
}

void ControlNode::OnCrashNotice(const CrashNotice& aNotice)
{
  mMetrics.Add(ControlCounter::CrashReportsTaken, aNotice.mCrashes.size());
  LogCrashReports(aNotice.mCrashes);
  LogBlockChanges(mContents.OnNotice(SteadyNow(), aNotice));
  mNews.Notify();
  if (!aNotice.mIsRelayed) {
    CrashNotice relayed = aNotice;
    relayed.mIsRelayed = true;
    SendToPeers(FleetMessageType::CrashNotice, relayed);
  }
}

void ControlNode::OnDrainNotice(DrainNotice aNotice)
{
  if (!mTargets.OnDraining(aNotice.mTarget, aNotice.mIncarnation)) {
    return;
  }
  Log(LogLevel::Info, { "target.draining",
                        aNotice.mTarget.Text(),
                        {},
                        {},
                        "it said so in an answer" });
  if (!std::exchange(aNotice.mIsRelayed, true)) {
    SendToPeers(FleetMessageType::DrainNotice, aNotice);
  }
  OnDirectoryChange(aNotice.mTarget);
}

StreamReply ControlNode::OnStreamQuery(const StreamQuery& aQuery) const
{
  return { mStreams.Find(aQuery.mStream),
           mSoftware.Seen(SteadyNow(), aQuery.mService) };
}

bool ControlNode::HasNews(const WatchRequest& aRequest) const
{
  return aRequest.mEpoch != mEpoch ||
         aRequest.mChange < mTargets.RoutingChange() ||
         aRequest.mCatalogVersion < mCatalogs.Current().mVersion ||
         aRequest.mBlockVersion < mContents.Blocks().Version() ||
         (aRequest.mIsHome &&
          mResidency.IsNewerThan(aRequest.mResidencyTerm,
                                 aRequest.mResidencyVersion));
}

WatchReply ControlNode::MakeWatchReply(const WatchRequest& aRequest) const
{
  WatchReply reply;
  reply.mEpoch = mEpoch;
  reply.mChange = mTargets.RoutingChange();
  const bool isKnown =
    aRequest.mEpoch == mEpoch && !mTargets.HasForgottenSince(aRequest.mChange);
  reply.mReset = !isKnown;
  reply.mTargets = mTargets.RoutingChangedSince(isKnown ? aRequest.mChange : 0);
  reply.mCatalogVersion = mCatalogs.Current().mVersion;
  reply.mLeader = LeaderAddress();
  if (aRequest.mIsHome && mResidency.IsNewerThan(aRequest.mResidencyTerm,
                                                 aRequest.mResidencyVersion)) {
    reply.mResidency.push_back(mResidency.Since(
      SteadyNow(), aRequest.mResidencyTerm, aRequest.mResidencyVersion));
  }
  reply.mFailureDomain = mSettings.mFailureDomain;
  reply.mCores = mPeers.Addresses();
  reply.mCores.push_back(mSettings.mPeerAddress);
  reply.mEdges = static_cast<std::uint32_t>(mEdges.size());
  reply.mBlocks = mContents.Blocks().Since(
    SteadyNow(), aRequest.mEpoch == mEpoch ? aRequest.mBlockVersion : 0);
  return reply;
}

std::size_t ControlNode::CountHomeWatchers() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mEdges, [](const auto& aEdge) { return aEdge.second.mIsHome; }));
}

awaitable<std::string> ControlNode::OnWatch(WatchRequest aRequest)
{
  const Endpoint from = aRequest.mFrom;
  Watcher& watcher = mEdges[from];
  watcher.mAskedAt = SteadyNow();
  watcher.mIsHome = aRequest.mIsHome;
  const Instant answeredAt = watcher.mAnsweredAt;
  const Instant until = SteadyNow() + kWatchTimeout;
  while (!HasNews(aRequest) && SteadyNow() < until) {
    auto waiting = mNews.Wait(until - SteadyNow());
    co_await std::move(waiting);
  }
  // Changes in quick succession share one answer.
  const Duration interval = std::max<Duration>(
    kMinAnswerInterval, kAnswerIntervalPerWatcher *
                          static_cast<Duration::rep>(CountHomeWatchers()));
  if (const Instant now = SteadyNow(); now < answeredAt + interval) {
    asio::steady_timer timer(mExecutor, answeredAt + interval - now);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (const auto it = mEdges.find(from); it != mEdges.end()) {
    it->second.mAnsweredAt = SteadyNow();
  }
  std::string reply = Encode(MakeWatchReply(aRequest));
  co_return reply;
}

awaitable<std::string> ControlNode::OnEnsureAdapter(EnsureAdapter aWanted)
{
  const ModelKey key{ aWanted.mService, aWanted.mModel, aWanted.mAdapter };
  const Instant deadline = SteadyNow() + kAdapterTimeout;
  EnsureAdapterReply reply;
  if (mPlanner && mReplica.IsLeading()) {
    reply.mTargets = mPlanner->HoldersOf(key);
    const std::size_t before = reply.mTargets.size();
    if (before == 0 || aWanted.mOneMore) {
      mPlanner->RequestAdapter(SteadyNow(), aWanted);
      StepPlanner();
      while (mPlanner && reply.mTargets.size() <= before &&
             SteadyNow() < deadline) {
        auto waiting = mAdapterNews.Wait(deadline - SteadyNow());
        co_await std::move(waiting);
        if (mPlanner) {
          reply.mTargets = mPlanner->HoldersOf(key);
        }
      }
    }
  }
  std::string encoded = Encode(reply);
  co_return encoded;
}

} // namespace carobtide
