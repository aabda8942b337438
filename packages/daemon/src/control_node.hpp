#pragma once

/**
 * @file
 * A daemon with control duties. Its sources are split by topic.
 */

#include "carobtide/allowance.hpp"
#include "carobtide/consensus/membership_manager.hpp"
#include "carobtide/daemon/node.hpp"
#include "carobtide/placement/residency_planner.hpp"
#include "carobtide/transport.hpp"
#include "connection_shares.hpp"
#include "control_messages.hpp"
#include "control_metrics.hpp"
#include "engine_rates.hpp"
#include "memory_log.hpp"
#include "metrics_endpoint.hpp"
#include "replica_host.hpp"
#include "software_store.hpp"
#include "stop_schedule.hpp"
#include "watch_board.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace carobtide {

/**
 * Takes heartbeats and catalogs, keeps a replica of the control log, tells
 * routing daemons what changes, and as leader decides on residency.
 */
class ControlNode final : public Node
{
public:
  ControlNode(NodeSettings aSettings, std::unique_ptr<Dialect> aDialect);

  Result<Unit> Start() override;
  void Run() override;
  void RequestStop() override;
  void Reload(NodeSettings aSettings) override;

private:
  /** A routing daemon that watches this daemon. */
  struct Watcher
  {
    Instant mAskedAt;
    Instant mAnsweredAt;
    /** This daemon relays residency and loads to it. */
    bool mIsHome = false;
  };

  using Executor = boost::asio::any_io_executor;

  // control_node.cpp: start, stop, timers.
  Result<Unit> OpenReplica();
  Membership InitialMembership() const;
  std::vector<Endpoint> SeedPeers() const;
  /** Shares out the descriptors that the process may have now. */
  void ShareDescriptors();
  boost::asio::awaitable<void> TickLoop();
  boost::asio::awaitable<void> GreetingLoop();
  boost::asio::awaitable<void> LoadLoop();
  void SendLoads(Duration aInterval);
  // control_node_rates.cpp
  /** Sends the sums of observations of targets if that is due. */
  void SendSums();
  /** Passes the speeds of engines to the planner if that is due. */
  void PassSpeeds(Instant aNow);
  boost::asio::awaitable<void> StopWhenAsked();
  void RunMembership(Instant aNow);

  // control_node_software.cpp: what has served and what began open streams.
  void RestoreSoftware(bool aIsFirstStart);
  void UpdateSoftware(Instant aNow);
  void ObserveSoftware(const FleetRecord& aRecord);
  /** Writes what changed since it was last written. */
  void KeepSoftware(Instant aNow);
  /** Asks the other control daemons, on a disk that holds no record. */
  boost::asio::awaitable<void> CatchUpSoftware();
  void OnStreamNotice(const StreamNotice& aNotice);
  std::string OnStreamQuery(const StreamQuery& aQuery) const;

  // control_node_calls.cpp: operators, targets and other daemons.
  boost::asio::awaitable<void> HandleCall(HttpExchange& aExchange);
  boost::asio::awaitable<HttpResponse> Answer(const HttpRequest& aRequest);
  HttpResponse OnHeartbeatCall(const TargetName& aTarget,
                               const HttpRequest& aRequest);
  HttpResponse OnLeaveCall(const TargetName& aTarget,
                           const HttpRequest& aRequest);
  /**
   * The version of a sound catalog. What was read is freed again: it may take
   * many times the text.
   */
  Result<std::uint64_t> CheckedVersion(std::string_view aText) const;
  /** Precondition: the text lives until the call ends. */
  boost::asio::awaitable<HttpResponse> OnPutCatalog(const std::string& aText);
  boost::asio::awaitable<HttpResponse> OnGetCatalog();
  boost::asio::awaitable<std::string> OnPeerCall(std::uint16_t aType,
                                                 std::string aPayload,
                                                 std::string aPeer);
  void OnPeerMessage(std::uint16_t aType, const std::string& aPayload,
                     const std::string& aPeer);
  std::string CatalogReply(CatalogEncoding aEncoding);
  boost::asio::awaitable<std::string> OnWatch(WatchRequest aRequest);
  boost::asio::awaitable<std::string> OnEnsureAdapter(EnsureAdapter aWanted);
  boost::asio::awaitable<ProposeReply> Execute(CatalogCommand aCommand);
  boost::asio::awaitable<ProposeReply> ExecuteHere(std::string aCommand);
  WatchReply MakeWatchReply(const WatchRequest& aRequest) const;
  /** The control daemons that routing daemons watch and count majorities of. */
  std::vector<Endpoint> MentionedCores() const;
  /** Asks the leader for the residency changes that were missed, if any. */
  void RequestResidency();
  void OnResidencyRequest(const ResidencyRequest& aRequest);
  void OnCrashNotice(const CrashNotice& aNotice);
  void OnDrainNotice(DrainNotice aNotice);
  void OnLimitNotice(LimitNotice aNotice);
  /** Number of routing daemons that this daemon relays to. */
  std::size_t CountHomeWatchers() const;
  bool HasNews(const WatchRequest& aRequest) const;
  template<class Message>
  void SendToPeers(FleetMessageType aType, const Message& aMessage);

  // control_node_leader.cpp: state machine and the leader's decisions.
  void ApplyCommand(const LogEntry& aEntry);
  void OnCatalogChange();
  void OnReplicaChange();
  /** Passes on every target that the directory has updated. */
  void PassDirectoryUpdates();
  void PassTarget(const TargetName& aTarget);
  /** Drops what the planner believes of engines and the directory does not. */
  void ReconcilePlanner(Instant aNow);
  void StepPlanner();
  void Perform(const RequestEngineReport& aEffect);
  void Perform(const IssueOrder& aEffect);
  /** Takes note of what a target's answer says of the target itself. */
  void NoteTarget(const HttpResponseHead& aHead, const TargetName& aTarget,
                  Incarnation aIncarnation);
  boost::asio::awaitable<void> FetchReport(RequestEngineReport aAsk);
  boost::asio::awaitable<void> SendOrder(ResidencyOrder aOrder);
  void PublishResidency();
  Endpoint LeaderAddress() const;
  /**
   * The members of the control log, this daemon included; none before it has
   * heard of any.
   */
  std::vector<Endpoint> MemberAddresses() const;
  /** Grants credit of allowances that has become available. */
  void StepAllowance(Instant aNow);
  std::string RenderMetrics() const;
  /** Speeds and capacities that the planner counts with. */
  std::string RenderCapacities() const;

  NodeSettings mSettings;
  std::unique_ptr<Dialect> mDialect;
  const std::uint64_t mEpoch;
  RandomEngine mRandom;
  WorkerPool mWorkers;
  Executor mExecutor;
  std::shared_ptr<MemoryRoom> mMemory = MakeMemoryRoom();
  StopSchedule mStop;
  PeerDirectory mPeers;
  TargetDirectory mTargets;
  CatalogRegister mCatalogs;
  /** The reply with this version, made once for all that ask. */
  std::string mDeflatedCatalog;
  std::uint64_t mDeflatedVersion = 0;
  std::shared_ptr<const Catalog> mCatalog;
  ReplicaHost mReplica;
  ReplicaId mReplicaId;
  MembershipManager mMembers;
  Instant mNextMembership;
  Instant mNextExpiry;
  std::optional<ResidencyPlanner> mPlanner;
  std::uint64_t mPlannerTerm = 0;
  ResidencyBoard mResidency;
  ContentBoard mContents;
  SoftwareHistory mSoftware;
  /** When the software of all targets is next observed. */
  Instant mNextSoftware;
  /** Streams that routing daemons told of. */
  StreamOrigins mStreams;
  SoftwareStore mSoftwareStore;
  SoftwareRecord mKeptSoftware;
  Instant mNextRotation;
  /** When the blocks are next sent to the other control daemons. */
  Instant mNextBlocks;
  Instant mNextPublish;
  Instant mNextReconcile;
  /** When idle connections are next looked through. */
  Instant mNextSweep;
  /** Routing daemons that watch. */
  std::map<Endpoint, Watcher> mEdges;
  RelayBoard mRelays;
  /** The routing change that watchers were last woken for. */
  std::uint64_t mNotifiedChange = 0;
  LoadAggregator mLoads;
  TargetObservations mObservations;
  EngineRates mEngineRates;
  /** When sums of observations were last sent, and their sequence. */
  Instant mSumsSentAt;
  std::uint64_t mSumsSequence = 0;
  ControlAllowance mAllowance;
  std::uint64_t mTotalSequence = 0;
  WatchBoard mNews;
  WatchBoard mAdapterNews;
  ControlMetrics mMetrics;
  bool mWasLeader = false;
  PeerNetwork mNetwork;
  HttpPool mPool;
  HttpServer mServer;
  MetricsEndpoint mMetricsServer;
  ConnectionShares mConnections;
};

} // namespace carobtide
