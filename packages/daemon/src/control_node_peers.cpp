// Messages and calls of other daemons to a control daemon.
#include "block_log.hpp"
#include "carobtide/base/codec.hpp"
#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"
#include "control_node.hpp"
#include "target_log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/** A watch without news is answered after this, which shows that both live. */
constexpr Duration kWatchTimeout = std::chrono::milliseconds(1000);
/** Least time between two answers to one watcher, for each home watcher. */
constexpr Duration kAnswerIntervalPerWatcher = std::chrono::milliseconds(1);
constexpr Duration kMinAnswerInterval = std::chrono::milliseconds(20);
/** A daemon that is no member yet is mentioned while it is heard of. */
constexpr Duration kMentionTimeout = std::chrono::milliseconds(1500);
/** An adapter that takes longer is not waited for. */
constexpr Duration kAdapterTimeout = std::chrono::milliseconds(250);

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
template void ControlNode::SendToPeers(FleetMessageType, const Heartbeat&);
template void ControlNode::SendToPeers(FleetMessageType, const LeaveNotice&);
template void ControlNode::SendToPeers(FleetMessageType, const ResidencyMap&);
template void ControlNode::SendToPeers(FleetMessageType, const CrashNotice&);
template void ControlNode::SendToPeers(FleetMessageType, const DrainNotice&);
template void ControlNode::SendToPeers(FleetMessageType, const LimitNotice&);

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
      std::string reply = CatalogReply(ReadCatalogCall(aPayload));
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
    case FleetMessageType::LimitNotice: {
      const auto notice = Decode<LimitNotice>(aPayload, aPeer);
      if (notice) {
        OnLimitNotice(*notice);
      } else {
        LogError(notice.GetError());
      }
      break;
    }
    case FleetMessageType::StreamQuery: {
      const auto query = Decode<StreamQuery>(aPayload, aPeer);
      if (query) {
        std::string reply = OnStreamQuery(*query);
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

std::string ControlNode::CatalogReply(CatalogEncoding aEncoding)
{
  const CatalogText& text = mCatalogs.Current();
  if (aEncoding == CatalogEncoding::Plain) {
    return EncodeCatalogReply(text, aEncoding);
  }
  if (mDeflatedVersion != text.mVersion) {
    mDeflatedCatalog = EncodeCatalogReply(text, aEncoding);
    mDeflatedVersion = text.mVersion;
  }
  return mDeflatedCatalog;
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
        mTargets.OnHeartbeat(now, aHeartbeat);
        PassDirectoryUpdates();
      });
      break;
    case FleetMessageType::LeaveNotice:
      take(LeaveNotice{}, [&](const LeaveNotice& aNotice) {
        mTargets.OnLeave(now, aNotice.mTarget, aNotice.mIncarnation);
        PassDirectoryUpdates();
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
           [&](const StreamNotice& aNotice) { OnStreamNotice(aNotice); });
      break;
    case FleetMessageType::DrainNotice:
      take(DrainNotice{},
           [&](const DrainNotice& aNotice) { OnDrainNotice(aNotice); });
      break;
    case FleetMessageType::LimitNotice:
      take(LimitNotice{},
           [&](const LimitNotice& aNotice) { OnLimitNotice(aNotice); });
      break;
    case FleetMessageType::TargetSamples:
      take(SampleReport{}, [&](const SampleReport& aReport) {
        mObservations.OnReport(now, aReport);
      });
      break;
    case FleetMessageType::TargetSums:
      take(SumsReport{}, [&](const SumsReport& aReport) {
        mObservations.OnSums(now, aReport);
      });
      break;
    case FleetMessageType::CreditReport:
      take(CreditReport{}, [&](const CreditReport& aReport) {
        mAllowance.OnReport(now, aReport);
      });
      break;
    case FleetMessageType::CreditReply:
      take(CreditReply{},
           [&](const CreditReply& aReply) { mAllowance.OnReply(now, aReply); });
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
  PassDirectoryUpdates();
}

void ControlNode::OnLimitNotice(LimitNotice aNotice)
{
  if (!mTargets.OnLimit(aNotice.mTarget, aNotice.mIncarnation,
                        aNotice.mLimit)) {
    return;
  }
  LogLimit(aNotice.mTarget, aNotice.mLimit);
  if (!std::exchange(aNotice.mIsRelayed, true)) {
    SendToPeers(FleetMessageType::LimitNotice, aNotice);
  }
  PassDirectoryUpdates();
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

std::vector<Endpoint> ControlNode::MentionedCores() const
{
  const auto members = MemberAddresses();
  if (members.empty()) {
    std::vector<Endpoint> known = mPeers.Addresses();
    known.push_back(mSettings.mPeerAddress);
    return known;
  }
  // Seeds that were replaced stay in settings for long.
  std::set<Endpoint> cores(members.begin(), members.end());
  cores.insert(mSettings.mPeerAddress);
  for (const PeerInfo& peer :
       mPeers.HeardWithin(SteadyNow(), kMentionTimeout)) {
    cores.insert(peer.mAddress);
  }
  return { cores.begin(), cores.end() };
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
  reply.mCores = MentionedCores();
  reply.mEdges = static_cast<std::uint32_t>(mEdges.size());
  if (aRequest.mIsHome) {
    reply.mRelays = mRelays.Select(aRequest.mFrom, aRequest.mFailureDomain);
  }
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
  mRelays.OnDaemon(from, { aRequest.mRelay, aRequest.mFailureDomain },
                   aRequest.mUnreachable);
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
