#include "control_node.hpp"

#include "carobtide/base/codec.hpp"
#include "carobtide/consensus/damaged_log.hpp"
#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"
#include "metrics.hpp"
#include "server_close.hpp"
#include "tasks.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/** Timers of the log are looked at this often. */
constexpr Duration kTickInterval = std::chrono::milliseconds(25);
constexpr Duration kGreetingInterval = std::chrono::milliseconds(250);
/** A daemon not heard of for four greetings is no candidate for the log. */
constexpr Duration kCandidateTimeout = std::chrono::milliseconds(1000);
constexpr Duration kMembershipInterval = std::chrono::milliseconds(200);
constexpr Duration kExpiryInterval = std::chrono::milliseconds(200);
/** Targets that ended hold descriptors of this daemon for that long. */
constexpr Duration kSweepInterval = std::chrono::seconds(1);
/** Blocks are repeated to control daemons that restarted or were cut off. */
constexpr Duration kBlockInterval = std::chrono::seconds(2);
/** Between handing leadership over and the end of the process. */
constexpr Duration kHandOverTime = std::chrono::milliseconds(500);
/** A routing daemon is forgotten after this long without a watch. */
constexpr Duration kEdgeTimeout = std::chrono::seconds(5);
/** Heartbeats missed before a target counts as silent. */
constexpr int kMissedHeartbeats = 3;
/** What is read from a body takes many times its size until it is checked. */
constexpr Bytes kMaxBodyBytes = 4 * kMiB;

/**
 * A lease and elections that a core at a third of its speed, stopped for a
 * tenth of a second at a time, does not trip.
 */
ReplicatedLogOptions MakeLogOptions()
{
  ReplicatedLogOptions options;
  options.mHeartbeatInterval = std::chrono::milliseconds(100);
  options.mElectionTimeout = std::chrono::milliseconds(800);
  options.mLeaseDuration = std::chrono::milliseconds(600);
  // A catalog may take 100 KB, the disk 100 MB.
  options.mSnapshotInterval = 64;
  options.mTrailingEntries = 32;
  // A catalog may also take 4 MiB, and a daemon has 256 MB.
  options.mSnapshotBytes = 16 * kMiB;
  options.mTrailingBytes = 8 * kMiB;
  return options;
}

HttpLimits MakeLimits(std::shared_ptr<MemoryRoom> aMemory)
{
  HttpLimits limits;
  limits.mMemory = std::move(aMemory);
  limits.mMaxBodyBytes = kMaxBodyBytes;
  return limits;
}

MembershipPolicy MakePolicy(const NodeSettings& aSettings)
{
  MembershipPolicy policy;
  policy.mTargetVoters =
    2 * static_cast<std::size_t>(aSettings.mToleratedLosses) + 1;
  // A lost voter is replaced before a second loss may follow.
  policy.mDeadVoterTimeout = std::chrono::milliseconds(2000);
  policy.mAliveTimeout = std::chrono::milliseconds(800);
  policy.mEveryoneLearns = true;
  return policy;
}

TargetDirectoryOptions MakeDirectoryOptions(const NodeSettings& aSettings)
{
  TargetDirectoryOptions options;
  options.mSilenceTimeout = kMissedHeartbeats * aSettings.mHeartbeatInterval;
  options.mKeepsAddresses = true;
  return options;
}

DaemonName NameOf(const Endpoint& aPeer)
{
  return DaemonName(aPeer.ToString());
}

std::string SoftwareFolder(const NodeSettings& aSettings)
{
  return aSettings.mDataDir + "/software";
}

/** The same identity on every daemon for the founders of a deployment. */
ReplicaId FounderId(const Endpoint& aPeer)
{
  return ReplicaId(ComputeChecksum("founder " + aPeer.ToString()) | 1U);
}

} // namespace

ControlNode::ControlNode(NodeSettings aSettings,
                         std::unique_ptr<Dialect> aDialect)
  : mSettings(std::move(aSettings))
  , mDialect(std::move(aDialect))
  , mEpoch(static_cast<std::uint64_t>(WallMicros()))
  , mRandom(mEpoch ^ ComputeChecksum(mSettings.mName.Text()))
  , mWorkers(1)
  , mExecutor(mWorkers.At(0))
  , mStop(mSettings.mGracePeriod)
  , mPeers(mSettings.mPeerAddress)
  , mTargets(MakeDirectoryOptions(mSettings))
  , mReplica(
      mExecutor,
      ReplicaHandlers{
        [this](const ConsensusEnvelope& aEnvelope) {
          const Member* member =
            mReplica.Log().CurrentMembership().Find(aEnvelope.mTo);
          std::optional<Endpoint> to;
          if (member != nullptr) {
            to = ParseEndpoint(member->mDaemon.Text());
          } else {
            for (const PeerInfo& peer :
                 mPeers.HeardWithin(SteadyNow(), kEdgeTimeout)) {
              if (peer.mReplica == aEnvelope.mTo) {
                to = peer.mAddress;
              }
            }
          }
          if (to) {
            mNetwork.Send(
              *to, static_cast<std::uint16_t>(FleetMessageType::Consensus),
              Encode(aEnvelope));
          }
        },
        [this](const LogEntry& aEntry) { ApplyCommand(aEntry); },
        [this](const std::string& aState) {
          const auto loaded = mCatalogs.Load(aState);
          if (!loaded) {
            LogError(loaded.GetError());
          }
          OnCatalogChange();
        },
        [this] { return mCatalogs.Save(); }, [this] { OnReplicaChange(); } })
  , mMembers(MakePolicy(mSettings))
  , mSoftwareStore(MakePosixFileSystem(), SoftwareFolder(mSettings),
                   [](const Error& aError) { LogError(aError); })
  , mAllowance(
      SteadyNow(), mSettings.mPeerAddress, mEpoch, mSettings.mAllowanceSlack,
      { [this](const Endpoint& aTo, const CreditReport& aReport) {
         mNetwork.Send(
           aTo, static_cast<std::uint16_t>(FleetMessageType::CreditReport),
           Encode(aReport));
       },
        [this](const Endpoint& aTo, const CreditReply& aReply) {
          mNetwork.Send(
            aTo, static_cast<std::uint16_t>(FleetMessageType::CreditReply),
            Encode(aReply));
        } })
  , mNetwork(
      mWorkers,
      [this](std::uint16_t aType, std::string aPayload, std::string aPeer) {
        return OnPeerCall(aType, std::move(aPayload), std::move(aPeer));
      },
      [this](std::uint16_t aType, const std::string& aPayload,
             const std::string& aPeer) {
        OnPeerMessage(aType, aPayload, aPeer);
      })
  , mServer(mWorkers, MakeLimits(mMemory),
            [this](HttpExchange& aExchange) { return HandleCall(aExchange); })
  , mMetricsServer(mWorkers, [this] { return RenderMetrics(); })
  , mConnections({ { "clients", [this] { return mServer.Counts(); } },
                   { "engines", [this] { return mPool.Counts(); } } })
{
  ShareDescriptors();
  mPeers.SetSeeds(SeedPeers());
}

void ControlNode::ShareDescriptors()
{
  const DescriptorShares shares = ShareForControl(DescriptorLimit());
  mServer.SetMaxConnections(shares.mClients);
  mMetricsServer.SetMaxConnections(shares.mChecks);
  mPool.SetMaxOpen(shares.mTargets);
}

std::vector<Endpoint> ControlNode::SeedPeers() const
{
  std::vector<Endpoint> peers;
  std::ranges::transform(
    mSettings.mSeeds, std::back_inserter(peers), [this](const Endpoint& aSeed) {
      return Endpoint{ aSeed.mHost, mSettings.mPeerAddress.mPort };
    });
  return peers;
}

Membership ControlNode::InitialMembership() const
{
  Membership membership;
  for (const Endpoint& peer : SeedPeers()) {
    // The founders' failure domains are not known yet; each counts as its own.
    membership.mMembers.push_back({ FounderId(peer), NameOf(peer),
                                    FailureDomain(peer.mHost),
                                    MemberRole::Voter });
  }
  std::ranges::sort(membership.mMembers, {}, &Member::mReplica);
  return membership;
}

Result<Unit> ControlNode::OpenReplica()
{
  const auto files = MakePosixFileSystem();
  // Durably: a folder that is lost takes the log along.
  if (auto made = files->MakeFolder(mSettings.mDataDir); !made) {
    return made;
  }
  auto found = mReplica.Open(mSettings.mDataDir);
  if (found.Code() == ErrorCode::Corrupt) {
    LogError(found.GetError());
    if (auto moved = SetLogAside(*files, mSettings.mDataDir); !moved) {
      return moved;
    }
    Log(LogLevel::Error, { "log.set-aside",
                           mSettings.mDataDir,
                           {},
                           {},
                           "the replica starts as one without a log" });
    found = mReplica.Open(mSettings.mDataDir);
  }
  if (!found) {
    return found.GetError();
  }
  const auto wasDamaged = HasSetLogAside(*files, mSettings.mDataDir);
  if (!wasDamaged) {
    return wasDamaged.GetError();
  }
  mReplicaId = *found;
  const bool isFirstStart = mSettings.mFirstStart && !*wasDamaged;
  RestoreSoftware(isFirstStart);
  const auto seeds = SeedPeers();
  const bool isSeed =
    std::ranges::find(seeds, mSettings.mPeerAddress) != seeds.end();
  if (mReplicaId == ReplicaId()) {
    // Only the very first start founds a group; an empty disk later on is a
    // lost one and joins as somebody new.
    mReplicaId = isFirstStart && isSeed ? FounderId(mSettings.mPeerAddress)
                                        : ReplicaId(mRandom() | 1U);
    if (auto stored = mReplica.SetIdentity(mReplicaId); !stored) {
      return stored;
    }
  }
  const bool isFounder = mReplicaId == FounderId(mSettings.mPeerAddress);
  mReplica.Start(isFounder && isSeed ? InitialMembership() : Membership{},
                 MakeLogOptions(), mRandom());
  return Success();
}

Result<Unit> ControlNode::Start()
{
  auto started = mNetwork.Listen(mSettings.mPeerAddress);
  if (started) {
    started = OpenReplica();
  }
  if (started) {
    started = mServer.Listen(mSettings.mControlAddress);
  }
  if (started) {
    started = mMetricsServer.Listen(mSettings.mMetricsAddress);
  }
  if (!started) {
    return started;
  }
  LogFields fields;
  fields.mStep = "control.start";
  const std::string message = "replica " + std::to_string(mReplicaId.Value()) +
                              ", first start " +
                              (mSettings.mFirstStart ? "yes" : "no");
  fields.mMessage = message;
  Log(LogLevel::Info, fields);
  SpawnLoop(mExecutor, "control.tick", [this] { return TickLoop(); });
  SpawnLoop(mExecutor, "control.greeting", [this] { return GreetingLoop(); });
  SpawnLoop(mExecutor, "control.load", [this] { return LoadLoop(); });
  SpawnLoop(mExecutor, "control.software",
            [this] { return CatchUpSoftware(); });
  return Success();
}

void ControlNode::Run()
{
  mWorkers.Start();
  mWorkers.Join();
}

void ControlNode::RequestStop()
{
  SpawnTask(mExecutor, "control.stop", [this] { return StopWhenAsked(); });
}

awaitable<void> ControlNode::StopWhenAsked()
{
  if (!mStop.Begin(SteadyNow())) {
    co_return;
  }
  Log(LogLevel::Info, { "control.stop", {}, {}, {}, "leadership handed over" });
  mReplica.HandOver();
  mServer.EndConnections();
  const Instant handedOver = SteadyNow() + kHandOverTime;
  asio::steady_timer timer(mExecutor);
  do {
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  } while (SteadyNow() < mStop.Latest() &&
           (SteadyNow() < handedOver || mServer.OpenExchanges() > 0));
  mStop.End();
  auto closing = CloseServers({ &mServer });
  co_await std::move(closing);
  Log(LogLevel::Info, { "control.stopped", {}, {}, {}, {} });
  mWorkers.Stop();
}

void ControlNode::Reload(NodeSettings aSettings)
{
  asio::post(mExecutor, [this, settings = std::move(aSettings)] {
    mSettings.mSeeds = settings.mSeeds;
    mPeers.SetSeeds(SeedPeers());
    Log(LogLevel::Info, { "control.reload", {}, {}, {}, "seeds taken" });
  });
}

awaitable<void> ControlNode::TickLoop()
{
  asio::steady_timer timer(mExecutor);
  while (true) {
    const Instant now = SteadyNow();
    mReplica.Tick();
    StepAllowance(now);
    if (now >= mNextExpiry) {
      mNextExpiry = now + kExpiryInterval;
      for (const TargetName& target : mTargets.Expire(now)) {
        mMetrics.Add(ControlCounter::TargetsSilent);
        Log(LogLevel::Info, { "target.silent", target.Text(), {}, {}, {} });
      }
      PassDirectoryUpdates();
      ReconcilePlanner(now);
      if (now >= mNextSweep) {
        mNextSweep = now + kSweepInterval;
        mPool.Sweep();
        ShareDescriptors();
        mConnections.Check();
      }
      std::erase_if(mEdges, [&](const auto& aEdge) {
        const bool isLost = now - aEdge.second.mAskedAt > kEdgeTimeout;
        if (isLost) {
          mRelays.Forget(aEdge.first);
        }
        return isLost;
      });
      mContents.Expire(now);
      UpdateSoftware(now);
      if (now >= mNextBlocks && mContents.Blocks().Size() > 0) {
        mNextBlocks = now + kBlockInterval;
        SendToPeers(FleetMessageType::CrashNotice, mContents.AllBlocks(now));
      }
    }
    if (mReplica.IsLeading() && !mStop.IsStopping()) {
      StepPlanner();
      if (now >= mNextMembership) {
        mNextMembership = now + kMembershipInterval;
        RunMembership(now);
      }
    }
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void ControlNode::RunMembership(Instant aNow)
{
  std::vector<ReplicaCandidate> candidates;
  candidates.push_back(
    { mReplicaId, NameOf(mSettings.mPeerAddress), mSettings.mFailureDomain });
  for (const PeerInfo& peer : mPeers.HeardWithin(aNow, kCandidateTimeout)) {
    if (peer.mReplica != ReplicaId()) {
      candidates.push_back(
        { peer.mReplica, NameOf(peer.mAddress), peer.mFailureDomain });
    }
  }
  const auto proposal = mMembers.Next(aNow, ViewOf(mReplica.Log()), candidates);
  if (!proposal) {
    return;
  }
  LogFields fields;
  fields.mStep = "member.change";
  fields.mPeer = proposal->mMember.mDaemon.Text();
  const std::string message =
    std::string(kMembershipSteps.Name(proposal->mStep)) + " replica " +
    std::to_string(proposal->mMember.mReplica.Value());
  fields.mMessage = message;
  Log(LogLevel::Info, fields);
  mReplica.ProposeMembership(proposal->mNext);
}

std::string ControlNode::RenderMetrics() const
{
  const ReplicatedLog& log = mReplica.Log();
  const MissingModels missing =
    mPlanner ? mPlanner->Missing(SteadyNow()) : MissingModels{};
  const HttpReadStats read = GetHttpReadStats();
  std::ostringstream disk;
  disk << "# TYPE carobtide_disk_seconds histogram\n";
  mReplica.DiskTimes().Render(disk, "disk_seconds", "");
  return mMetrics.Render() + disk.str() + RenderCapacities() +
         mConnections.Render() + RenderGauges(MemoryGauges(*mMemory)) +
         RenderGauges({
           { "leading", mReplica.IsLeading() ? 1.0 : 0.0 },
           { "term", static_cast<double>(log.Term()) },
           { "members",
             static_cast<double>(log.CurrentMembership().mMembers.size()) },
           { "catalog_version",
             static_cast<double>(mCatalogs.Current().mVersion) },
           { "targets", static_cast<double>(mTargets.All().size()) },
           { "edges", static_cast<double>(mEdges.size()) },
           { "orders_under_way",
             mPlanner ? static_cast<double>(mPlanner->OrdersUnderWay()) : 0.0 },
           { "models_missing", static_cast<double>(missing.mCount) },
           { "longest_missing_model_seconds",
             std::chrono::duration<double>(missing.mLongest).count() },
           { "load_evaluations",
             mPlanner ? static_cast<double>(mPlanner->LoadEvaluations())
                      : 0.0 },
           { "engines_of_known_speed",
             mPlanner ? static_cast<double>(mPlanner->KnownSpeeds()) : 0.0 },
           { "oversized_requests",
             static_cast<double>(read.mOversizedRequests) },
           { "oversized_answers",
             static_cast<double>(read.mOversizedResponses) },
           { "malformed_answers",
             static_cast<double>(read.mMalformedResponses) },
           { "idle_connections", static_cast<double>(mPool.IdleCount()) },
           { "streams_known", static_cast<double>(mStreams.Size()) },
           { "watches_waiting", static_cast<double>(mNews.Waiting()) },
           { "log_lines_dropped", static_cast<double>(DroppedLogLines()) },
         });
}

awaitable<void> ControlNode::GreetingLoop()
{
  asio::steady_timer timer(mExecutor);
  while (true) {
    const Instant now = SteadyNow();
    mPeers.Expire(now);
    Greeting greeting;
    greeting.mFrom = { mSettings.mPeerAddress, mSettings.mFailureDomain,
                       mReplicaId };
    for (const PeerInfo& peer : mPeers.HeardWithin(now, kEdgeTimeout)) {
      greeting.mKnown.push_back(peer.mAddress);
    }
    SendToPeers(FleetMessageType::Greeting, greeting);
    RequestResidency();
    timer.expires_after(kGreetingInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void ControlNode::SendLoads(Duration aInterval)
{
  const auto type = static_cast<std::uint16_t>(FleetMessageType::Load);
  ++mTotalSequence;
  const auto reporters = mLoads.Reporters();
  if (!reporters.empty()) {
    for (LoadSection& section :
         MakeSections(mLoads.OwnSum(), mLoads.OwnSends())) {
      const std::string report = Encode(InFlightReport{
        mSettings.mPeerAddress, true, mTotalSequence, std::move(section) });
      for (const Endpoint& peer : mPeers.Addresses()) {
        mNetwork.SendDatagram(peer, type, report);
      }
    }
  }
  LoadTotal total;
  total.mFrom = mSettings.mPeerAddress;
  total.mSequence = mTotalSequence;
  total.mIntervalMs = static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aInterval).count());
  for (LoadSection& section :
       MakeSections(mLoads.Total(), mLoads.TotalSends())) {
    total.mSection = std::move(section);
    for (const auto& [edge, sequence] : reporters) {
      total.mIncluded = sequence;
      mNetwork.SendDatagram(
        edge, static_cast<std::uint16_t>(FleetMessageType::LoadTotal),
        Encode(total));
    }
  }
}

awaitable<void> ControlNode::LoadLoop()
{
  asio::steady_timer timer(mExecutor);
  while (true) {
    mLoads.Expire(SteadyNow());
    const Duration interval =
      LoadInterval({ mLoads.Reporters().size(), mLoads.Total().size() });
    SendLoads(interval);
    SendSums();
    timer.expires_after(interval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

} // namespace carobtide
