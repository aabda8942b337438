// What an edge hears of the fleet, and what it tells others.
#include "block_log.hpp"
#include "carobtide/base/codec.hpp"
#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"
#include "edge_node.hpp"
#include "target_log.hpp"
#include "tasks.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <chrono>
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
constexpr Duration kAdapterTimeout = std::chrono::milliseconds(350);
/** A daemon without load reports this often that it has none. */
constexpr Duration kIdleReportInterval = std::chrono::milliseconds(250);
/** Bounds for the report interval that a home asks for. */
constexpr Duration kMinReportInterval = std::chrono::milliseconds(25);
constexpr Duration kMaxReportInterval = std::chrono::milliseconds(500);
constexpr Duration kDemandInterval = std::chrono::milliseconds(250);
/** Targets that ended hold descriptors of this daemon for that long. */
constexpr Duration kSweepInterval = std::chrono::seconds(1);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(400);
/** A notice that no home confirms is given up after about ten seconds. */
constexpr int kMaxNoticeSends = 20;
constexpr Duration kNoticeTimeout = std::chrono::milliseconds(300);
constexpr Duration kNoticePause = std::chrono::milliseconds(200);

WatchLoss LossOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::ConnectionLost:
      return WatchLoss::Closed;
    case ErrorCode::ConnectRefused:
      return WatchLoss::Refused;
    default:
      return WatchLoss::Unclear;
  }
}

void LogNews(TargetTransition aNews, const Heartbeat& aLast)
{
  const std::array inputs{
    LogInput{ "incarnation",
              static_cast<std::int64_t>(aLast.mIncarnation.Value()) },
    LogInput{ "heartbeat", static_cast<std::int64_t>(aLast.mSequence) },
    LogInput{ "software", std::string_view(aLast.mSoftware.Text()) },
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
      SpawnLoop(mExecutor, "edge.watch",
                [this, core] { return WatchCore(core); });
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
    // One that is known of is fetched apart from watches.
    request.mCatalogVersion = mCatalogProgress.Known();
    request.mIsHome = mHomes.Select(SteadyNow()) == aCore;
    request.mRelay = RelayAddress();
    request.mUnreachable = mDispatcher.UnreachableShare();
    const bool isHome = request.mIsHome;
    std::string encoded = Encode(request);
    const Instant sentAt = SteadyNow();
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
      OnWatchReply(sentAt, aCore, *reply);
      if (isHome) {
        mDispatcher.SetRelays(reply->mRelays);
      }
      continue;
    }
    mControl.OnLoss(now, aCore, sentAt, LossOf(reply.Code()));
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
      mControl.Forget(aCore);
      mHomes.Forget(aCore);
      mCatalogProgress.Forget(aCore);
      co_return;
    }
    asio::steady_timer timer(mExecutor, kWatchPause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void EdgeNode::OnWatchReply(Instant aSentAt, const Endpoint& aCore,
                            const WatchReply& aReply)
{
  mHomes.OnReply(SteadyNow(), aCore, aReply.mFailureDomain);
  mControl.OnReply(SteadyNow(), aCore, aReply);
  if (mControl.HearsMajority(SteadyNow(), SoftwareHistory::kMaxContactGap)) {
    mSoftware.OnContact(SteadyNow());
  }
  const bool isOtherProcess = mFleet.EpochOf(aCore) != aReply.mEpoch;
  if (isOtherProcess) {
    mStreams.Repeat();
  }
  if (isOtherProcess && mGuard.Blocks() > 0) {
    CrashNotice blocks = mGuard.AllBlocks(SteadyNow());
    blocks.mIsRelayed = true;
    mNetwork.Send(aCore,
                  static_cast<std::uint16_t>(FleetMessageType::CrashNotice),
                  Encode(blocks));
  }
  mGuard.OnBlockChanges(SteadyNow(), aReply.mBlocks);
  ReportCrashes();
  TakeTargets(mFleet.OnReply(SteadyNow(), aCore, aReply));
  UpdateUnestablished();
  WatchNewCores(aReply.mCores);
  if (aReply.mEdges > 0) {
    mEdges = aReply.mEdges;
    mDispatcher.SetDaemons(mEdges);
  }
  OnCatalogVersion(aSentAt, aCore, aReply.mCatalogVersion);
}

void EdgeNode::TakeTargets(const std::vector<TargetName>& aChanged)
{
  const Instant now = SteadyNow();
  for (const TargetName& name : aChanged) {
    if (const auto state = mFleet.Find(name)) {
      mGuard.OnTarget(now, *state);
      mSoftware.Observe(now, state->mLast);
      const TargetTransition news = mDispatcher.OnTarget(now, *state);
      if (news != TargetTransition::None) {
        LogNews(news, state->mLast);
      }
    }
  }
  if (!aChanged.empty()) {
    mContext.NotifyCapacity();
  }
}

void EdgeNode::OnTargetLeaves(const TargetProcess& aProcess)
{
  const std::array inputs{ LogInput{
    "incarnation", static_cast<std::int64_t>(aProcess.mIncarnation.Value()) } };
  LogFields fields;
  fields.mStep = "target.leaving";
  fields.mPeer = aProcess.mTarget.Text();
  fields.mInputs = inputs;
  fields.mMessage = "it said so in an answer";
  Log(LogLevel::Info, fields);
  if (const auto home = mHomes.Select(SteadyNow())) {
    mNetwork.Send(
      *home, static_cast<std::uint16_t>(FleetMessageType::DrainNotice),
      Encode(DrainNotice{ aProcess.mTarget, aProcess.mIncarnation }));
  }
}

void EdgeNode::OnTargetLimited(const TargetProcess& aProcess,
                               const RateLimit& aLimit, std::string_view aCall)
{
  LogLimit(aProcess.mTarget, aLimit, aCall);
  mFleet.NoteLimit(aProcess.mTarget, aProcess.mIncarnation, aLimit);
  std::string notice =
    Encode(LimitNotice{ aProcess.mTarget, aProcess.mIncarnation, aLimit });
  SpawnTask(mExecutor, "edge.limit-notice", [this, notice = std::move(notice)] {
    return SendNotice(FleetMessageType::LimitNotice, notice);
  });
}

awaitable<bool> EdgeNode::ProbeOnce(TargetProcess aProcess, Endpoint aAddress)
{
  auto probing = ProbeAddress(aAddress, kProbeTimeout);
  const ProbeResult result = co_await std::move(probing);
  bool isPending = result == ProbeResult::Unknown;
  if (result == ProbeResult::Refused) {
    mGuard.OnDead(SteadyNow(), aProcess);
  } else if (result == ProbeResult::Accepted) {
    isPending = mGuard.OnAlive(SteadyNow(), aProcess);
  }
  ReportCrashes();
  co_return isPending;
}

awaitable<void> EdgeNode::ProbeTarget(TargetProcess aProcess, Endpoint aAddress)
{
  auto probing = ProbeOnce(aProcess, aAddress);
  const bool isPending = co_await std::move(probing);
  if (isPending) {
    SpawnTask(mExecutor, "edge.probe", [this, aProcess, aAddress] {
      return ProbeLater(aProcess, aAddress);
    });
  }
}

awaitable<void> EdgeNode::ProbeLater(TargetProcess aProcess, Endpoint aAddress)
{
  asio::steady_timer timer(mExecutor, CrashDetector::kStaleEvidenceWindow);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  auto probing = ProbeOnce(aProcess, aAddress);
  co_await std::move(probing);
}

void EdgeNode::ReportCrashes()
{
  const GuardChanges changes = mGuard.TakeChanges();
  for (const TargetProcess& process : changes.mCrashed) {
    const std::array inputs{ LogInput{
      "incarnation",
      static_cast<std::int64_t>(process.mIncarnation.Value()) } };
    LogFields fields;
    fields.mStep = "target.crashed";
    fields.mPeer = process.mTarget.Text();
    fields.mInputs = inputs;
    Log(LogLevel::Warning, fields);
  }
  LogBlockChanges(changes.mBlocks);
  CrashNotice notice = mGuard.TakeNotice();
  if (!notice.IsEmpty()) {
    SpawnTask(mExecutor, "edge.crash-notice", [this, encoded = Encode(notice)] {
      return SendNotice(FleetMessageType::CrashNotice, encoded);
    });
  }
}

awaitable<void> EdgeNode::SendNotice(FleetMessageType aType,
                                     std::string aNotice)
{
  asio::steady_timer timer(mExecutor);
  for (int n = 0; n < kMaxNoticeSends; ++n) {
    if (const auto home = mHomes.Select(SteadyNow())) {
      auto calling = mNetwork.Call(*home, static_cast<std::uint16_t>(aType),
                                   aNotice, kNoticeTimeout);
      const auto answer = co_await std::move(calling);
      if (answer) {
        co_return;
      }
      LogError(answer.GetError());
    }
    timer.expires_after(kNoticePause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  // What this daemon found out itself holds here all the same.
  const bool isCrash = aType == FleetMessageType::CrashNotice;
  Log(LogLevel::Warning,
      { isCrash ? "crash.not-reported" : "limit.not-reported",
        {},
        {},
        {},
        "no home" });
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

void EdgeNode::OnMessage(std::uint16_t aType, const std::string& aPayload,
                         const std::string& aPeer)
{
  if (aType == static_cast<std::uint16_t>(FleetMessageType::CreditReply)) {
    const auto reply = Decode<CreditReply>(aPayload, aPeer);
    if (reply) {
      mAllowance.OnReply(*reply);
    } else {
      LogError(reply.GetError());
    }
    return;
  }
  if (aType == static_cast<std::uint16_t>(FleetMessageType::TargetSums)) {
    OnSums(aPayload, aPeer);
    return;
  }
  if (aType != static_cast<std::uint16_t>(FleetMessageType::LoadTotal)) {
    return;
  }
  const auto total = Decode<LoadTotal>(aPayload, aPeer);
  if (total) {
    mHomes.OnTotal(SteadyNow(), total->mFrom);
    mDispatcher.OnLoadTotal(SteadyNow(), *total);
    mReportInterval =
      std::clamp<Duration>(std::chrono::milliseconds(total->mIntervalMs),
                           kMinReportInterval, kMaxReportInterval);
    mContext.NotifyOffers();
  } else {
    LogError(total.GetError());
  }
}

void EdgeNode::ReportLoad(const Endpoint& aHome)
{
  const Instant now = SteadyNow();
  const auto reports =
    mDispatcher.TakeInFlightReport(now, mSettings.mPeerAddress);
  const LoadSection& first = reports.front().mSection;
  const bool hasLoad = !first.mLoads.empty() || !first.mSends.empty();
  if (!hasLoad && !mHadLoad && now - mReportedAt < kIdleReportInterval) {
    return;
  }
  mHadLoad = hasLoad;
  mReportedAt = now;
  for (const InFlightReport& report : reports) {
    mNetwork.SendDatagram(aHome,
                          static_cast<std::uint16_t>(FleetMessageType::Load),
                          Encode(report));
  }
}

awaitable<void> EdgeNode::LoadLoop()
{
  asio::steady_timer timer(mExecutor);
  while (true) {
    const auto home = mHomes.Select(SteadyNow());
    mAllowance.SetHomes(home, mHomes.SelectBackup(SteadyNow()));
    if (home != mHome) {
      mHome = home;
      const std::string name = home ? home->ToString() : "none";
      Log(LogLevel::Info, { "home.selected", name, {}, {}, {} });
    }
    if (home) {
      ReportLoad(*home);
      ReportSamples(*home);
    }
    // Also while no totals arrive.
    mContext.NotifyOffers();
    timer.expires_after(mReportInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

awaitable<void> EdgeNode::DemandLoop()
{
  asio::steady_timer timer(mExecutor);
  while (true) {
    DemandReport report;
    report.mFrom = mSettings.mPeerAddress;
    report.mModels = mDispatcher.TakeDemand(SteadyNow());
    report.mStreams = mDispatcher.WaitingStreams();
    mGuard.Expire(SteadyNow());
    ReportCrashes();
    UpdateStreams();
    if (SteadyNow() >= mNextSweep) {
      mNextSweep = SteadyNow() + kSweepInterval;
      mPool.Sweep();
      ShareDescriptors();
      mConnections.Check();
    }
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
