#pragma once

/**
 * @file
 * A daemon that takes callers' requests. Its sources are split by topic.
 */

#include "carobtide/daemon/node.hpp"
#include "carobtide/transport.hpp"
#include "connection_shares.hpp"
#include "edge_allowance.hpp"
#include "edge_context.hpp"
#include "memory_log.hpp"
#include "metrics.hpp"
#include "metrics_endpoint.hpp"
#include "stop_schedule.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace carobtide {

class EdgeRequest;

/**
 * Forwards requests to targets as the dispatcher decides; learns of targets
 * and catalogs from the control daemons.
 */
class EdgeNode final : public Node
{
public:
  EdgeNode(NodeSettings aSettings, std::unique_ptr<Dialect> aDialect);

  Result<Unit> Start() override;
  void Run() override;
  void RequestStop() override;
  void Reload(NodeSettings aSettings) override;

private:
  /** Control daemons are asked what began a stream. */
  struct OpenQuery
  {
    explicit OpenQuery(OriginSearch aSearch)
      : mSearch(std::move(aSearch))
    {
    }

    OriginSearch mSearch;
    std::size_t mUnanswered = 0;
    WatchBoard mReplied;
  };

  // edge_node.cpp: callers, start and stop.
  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);
  /** Runs a request, which a planned stop may give up. */
  boost::asio::awaitable<void> RunRequest(
    std::shared_ptr<EdgeRequest> aRequest);
  std::size_t OpenExchanges() const;
  boost::asio::awaitable<void> HandleReadiness(HttpExchange& aExchange);
  ServiceName PickService(const Route& aRoute);
  /** Answers a request that goes no further. */
  static boost::asio::awaitable<void> Reject(HttpExchange& aExchange,
                                             HttpResponse aResponse);
  // edge_node_fleet.cpp: what control daemons say, what others are told.
  boost::asio::awaitable<void> WatchCore(Endpoint aCore);
  /** A control daemon answered a watch that was sent then. */
  void OnWatchReply(Instant aSentAt, const Endpoint& aCore,
                    const WatchReply& aReply);
  void WatchNewCores(const std::vector<Endpoint>& aCores);
  std::vector<Endpoint> SeedPeers() const;
  void TakeTargets(const std::vector<TargetName>& aChanged);
  boost::asio::awaitable<void> EnsureAdapterAt(EnsureAdapter aWanted);
  boost::asio::awaitable<void> LoadLoop();
  void ReportLoad(const Endpoint& aHome);
  // edge_node_rates.cpp
  /** Sends new samples about targets to the home if that is due. */
  void ReportSamples(const Endpoint& aHome);
  void OnSums(const std::string& aPayload, const std::string& aPeer);
  void OnMessage(std::uint16_t aType, const std::string& aPayload,
                 const std::string& aPeer);
  boost::asio::awaitable<void> DemandLoop();
  /** Probes a target that lost a connection, later once more if need be. */
  boost::asio::awaitable<void> ProbeTarget(TargetProcess aProcess,
                                           Endpoint aAddress);
  boost::asio::awaitable<void> ProbeLater(TargetProcess aProcess,
                                          Endpoint aAddress);
  /** True if it is still open whether the target crashed. */
  boost::asio::awaitable<bool> ProbeOnce(TargetProcess aProcess,
                                         Endpoint aAddress);
  void OnTargetLeaves(const TargetProcess& aProcess);
  void OnTargetLimited(const TargetProcess& aProcess, const RateLimit& aLimit,
                       std::string_view aCall);
  /** Logs what the guard found and sends it to the home. */
  void ReportCrashes();
  /** Repeats an encoded notice until a home has confirmed it. */
  boost::asio::awaitable<void> SendNotice(FleetMessageType aType,
                                          std::string aNotice);
  // edge_node_catalog.cpp: the catalog that control daemons announce.
  void OnCatalogVersion(Instant aSentAt, const Endpoint& aCore,
                        std::uint64_t aVersion);
  /** Fetches a newer catalog if one is known of and that is due. */
  void AdvanceCatalog();
  boost::asio::awaitable<void> CatalogLoop();
  boost::asio::awaitable<void> FetchCatalog(Endpoint aCore);
  /** Puts a catalog into force that a daemon sent after so long. */
  Result<Unit> TakeCatalog(const CatalogText& aText, const Endpoint& aFrom,
                           Duration aTook);
  /** Writes that the catalog is behind or unconfirmed, or no longer. */
  void CheckCatalogAge(Instant aNow);
  /** Since when no majority of control daemons has confirmed the catalog. */
  Duration CatalogAge(Instant aNow) const;
  std::vector<Gauge> CatalogGauges(Instant aNow) const;
  // edge_node_paths.cpp: which targets this daemon reaches, and requests of
  // daemons that reach fewer.
  boost::asio::awaitable<void> HandleRelayed(HttpExchange& aExchange);
  boost::asio::awaitable<void> RefuseRelayed(HttpExchange& aExchange,
                                             std::string_view aReason);
  boost::asio::awaitable<void> PathLoop();
  boost::asio::awaitable<void> CheckPath(PathCheck aCheck);
  void OnPathChange(const PathCheck& aCheck, PathState aState);
  /** Where this daemon takes requests of others now; no host if nowhere. */
  Endpoint RelayAddress() const;
  // edge_node_streams.cpp: what began the streams that callers take up.
  void OnStreamBegun(StreamKey aStream, const StreamOrigin& aOrigin);
  boost::asio::awaitable<std::optional<StreamOrigin>> FindOrigin(
    StreamQuery aQuery);
  /**
   * Waits until a target of the version that began a stream has been seen here,
   * or until a time.
   */
  boost::asio::awaitable<void> AwaitVersion(StreamOrigin aOrigin,
                                            Instant aUntil);
  /** Asks all control daemons once. */
  boost::asio::awaitable<OriginSearch> AskForOrigin(StreamQuery aQuery);
  boost::asio::awaitable<void> QueryOrigin(Endpoint aCore, std::string aQuery,
                                           std::shared_ptr<OpenQuery> aOpen);
  void UpdateStreams();
  /** Tells the dispatcher which versions few control daemons know. */
  void UpdateUnestablished();
  /** Sends soon what control daemons have to be told. */
  void ReportStreams();
  boost::asio::awaitable<void> SendStreams();
  boost::asio::awaitable<void> StopWhenDone();
  /** Tells what is open when the daemon decides to end. */
  void LogStopEnd() const;
  std::string RenderMetrics() const;
  /** Shares out the descriptors that the process may have now. */
  void ShareDescriptors();
  /** Counts the refusal and writes it, at most once per kKeyLineInterval. */
  void OnKeyRefused(Instant aNow, const CallerRequest& aCaller,
                    const Route& aRoute);
  bool IsReady() const { return mRoutes != nullptr && !mStop.IsStopping(); }

  NodeSettings mSettings;
  std::unique_ptr<Dialect> mDialect;
  RandomEngine mRandom;
  WorkerPool mWorkers;
  boost::asio::any_io_executor mExecutor;
  StopSchedule mStop;
  FleetView mFleet;
  Dispatcher mDispatcher;
  ContentGuard mGuard;
  SoftwareHistory mSoftware;
  /** When the software of all targets is next observed. */
  Instant mNextSoftware;
  StreamReporter mStreams;
  bool mSendsStreams = false;
  std::shared_ptr<const RouteMap> mRoutes;
  /** Refused keys that were not written since the last log line. */
  std::uint64_t mKeysNotWritten = 0;
  /** When the next refused key is written at the earliest. */
  Instant mNextKeyLine;
  std::uint64_t mCatalogVersion = 0;
  CatalogProgress mCatalogProgress;
  /** When the daemon started, for the age of what it never had. */
  const Instant mStartedAt;
  bool mIsCatalogUnconfirmed = false;
  /** When a catalog that is behind is next written about. */
  Instant mNextLagLine;
  CatalogFetchPlan mFetchPlan;
  std::set<Endpoint> mCores;
  /** Addresses that were mentioned, and when last. */
  std::map<Endpoint, Instant> mMentioned;
  ControlWatch mControl;
  HomeSelector mHomes;
  std::optional<Endpoint> mHome;
  /** Routing daemons, as the control daemons count them. */
  std::uint32_t mEdges = 1;
  /** As the home states it. */
  Duration mReportInterval = std::chrono::milliseconds(25);
  /** When the last load report was sent, and whether it had any load. */
  Instant mReportedAt;
  bool mHadLoad = false;
  /** When idle connections are next looked through. */
  Instant mNextSweep;
  Instant mSamplesSentAt;
  PeerNetwork mNetwork;
  HttpPool mPool;
  WatchBoard mRoom;
  RequestMetrics mMetrics;
  std::shared_ptr<MemoryRoom> mMemory = MakeMemoryRoom();
  EdgeAllowance mAllowance;
  EdgeContext mContext;
  /** Requests that other daemons handed to this one. */
  std::uint64_t mTakenForOthers = 0;
  /** Requests whose callers have no final answer yet. */
  std::map<const EdgeRequest*, std::weak_ptr<EdgeRequest>> mOpen;
  HttpServer mCallers;
  HttpServer mRelayed;
  HttpServer mReadiness;
  MetricsEndpoint mMetricsServer;
  ConnectionShares mConnections;
};

} // namespace carobtide
