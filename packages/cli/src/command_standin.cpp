#include "carobtide/cli/command_line.hpp"
#include "carobtide/cli/engine_target.hpp"
#include "carobtide/cli/option_units.hpp"
#include "carobtide/cli/service_target.hpp"
#include "carobtide/cli/standin_host.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <memory>
#include <ostream>

namespace carobtide {

namespace json = boost::json;

namespace {

/** Memory of each model that --resident names. */
constexpr Bytes kPreloadedMemory = kMiB;

/** What both kinds of stand-in have in common. */
struct GroupOptions
{
  std::uint32_t mCount = 1;
  std::string mPool;
  /** Prefix of the targets' names; the pool if empty. */
  std::string mNamePrefix;
  std::vector<std::string> mFailureDomains{ "a" };
  std::vector<Endpoint> mDaemons;
  std::string mHost = "127.0.0.1";
  std::uint16_t mPort = 0;
  std::uint64_t mSeed = 1;
  Duration mAnnounceInterval = std::chrono::seconds(1);
  StandinHostOptions mProcess;

  TargetName NameOf(std::uint32_t aIndex) const
  {
    const std::string& prefix = mNamePrefix.empty() ? mPool : mNamePrefix;
    return TargetName(prefix + "-" + std::to_string(aIndex));
  }

  FailureDomain DomainOf(std::uint32_t aIndex) const
  {
    return FailureDomain(mFailureDomains[aIndex % mFailureDomains.size()]);
  }

  /** Consecutive ports from mPort, or a free one each. */
  Endpoint ListenOf(std::uint32_t aIndex) const
  {
    const std::uint32_t port = mPort == 0 ? 0 : mPort + aIndex;
    return Endpoint{ mHost, static_cast<std::uint16_t>(port) };
  }
};

struct EngineGroup
{
  GroupOptions mGroup;
  EngineTargetOptions mTarget;
  WeightStoreOptions mStore;
};

struct ServiceGroup
{
  GroupOptions mGroup;
  ServiceTargetOptions mTarget;
};

void AddGroupOptions(CLI::App& aApp, GroupOptions& aGroup)
{
  aApp.add_option("--count", aGroup.mCount, "Targets in this process")
    ->check(CLI::Range(1, 10'000))
    ->capture_default_str();
  aApp.add_option("--pool", aGroup.mPool, "Pool they belong to")
    ->capture_default_str();
  aApp.add_option("--name", aGroup.mNamePrefix,
                  "Prefix of their names; the pool by default");
  aApp
    .add_option("--failure-domains", aGroup.mFailureDomains,
                "Failure domains, taken in turn")
    ->delimiter(',')
    ->capture_default_str();
  AddEndpointsOption(aApp, "--daemons", aGroup.mDaemons,
                     "Daemons that they announce themselves to");
  aApp.add_option("--host", aGroup.mHost, "IP number to listen on")
    ->capture_default_str();
  aApp
    .add_option("--port", aGroup.mPort,
                "First of consecutive ports; 0 takes free ones")
    ->capture_default_str();
  aApp.add_option("--seed", aGroup.mSeed, "Seed of all random choices")
    ->capture_default_str();
  AddDurationOption(aApp, "--announce-interval", aGroup.mAnnounceInterval,
                    "Time between announcements");
  AddDurationOption(aApp, "--leave-grace", aGroup.mProcess.mLeaveGrace,
                    "After SIGTERM, serve new requests for this time");
  aApp.add_option("--threads", aGroup.mProcess.mThreads, "Threads")
    ->check(CLI::Range(1, 64))
    ->capture_default_str();
}

void AddEngineSpeedOptions(CLI::App& aApp, EngineGroup& aGroup)
{
  EngineOptions& engine = aGroup.mTarget.mCore.mEngine;
  aApp
    .add_option("--tokens-per-second", engine.mTokensPerSecond,
                "Decode rate of one sequence; 0 answers at once")
    ->check(CLI::NonNegativeNumber)
    ->capture_default_str();
  aApp
    .add_option("--prefill-tokens-per-second", engine.mPrefillTokensPerSecond,
                "Prefill rate of the engine; 0 takes no time")
    ->check(CLI::NonNegativeNumber)
    ->capture_default_str();
  aApp
    .add_option("--slots", engine.mSlots,
                "Sequences at full rate; beyond, they share it")
    ->check(CLI::PositiveNumber)
    ->capture_default_str();
  aApp
    .add_option("--max-running", engine.mMaxRunning,
                "Sequences in the batch; others wait")
    ->check(CLI::PositiveNumber)
    ->capture_default_str();
  aApp.add_option("--kv-tokens", engine.mKvTokens, "Tokens of KV cache")
    ->capture_default_str();
  SlowDownOptions& slow = aGroup.mTarget.mCore.mSlowDowns;
  aApp
    .add_option("--slow-share", slow.mShare,
                "Share of time in which each target is slowed")
    ->check(CLI::Range(0.0, 0.95))
    ->capture_default_str();
  aApp.add_option("--slow-factor", slow.mFactor, "By how much it is slowed")
    ->check(CLI::Range(1.0, 1000.0))
    ->capture_default_str();
  AddDurationOption(aApp, "--slow-duration", slow.mDuration,
                    "Length of one slow-down");
}

void AddEngineOrderOptions(CLI::App& aApp, EngineGroup& aGroup)
{
  EngineTargetOptions& target = aGroup.mTarget;
  AddSizeOption(aApp, "--memory", target.mCore.mMemory,
                "Accelerator memory for weights of each target");
  aApp
    .add_option("--accelerators", target.mCore.mAccelerators,
                "Accelerators of each target")
    ->capture_default_str();
  const auto preload = [&target](const std::vector<std::string>& aNames) {
    for (const std::string& name : aNames) {
      const auto colon = std::min(name.find(':'), name.size());
      const bool hasAdapter = colon < name.size();
      target.mCore.mPreloaded.push_back(
        { ModelName(name.substr(0, colon)),
          AdapterName(hasAdapter ? name.substr(colon + 1) : std::string()), 1,
          kPreloadedMemory, OrderId() });
    }
  };
  aApp
    .add_option_function<std::vector<std::string>>(
      "--resident", preload,
      "MODEL or MODEL:ADAPTER that is resident from the start")
    ->delimiter(',');
  aApp.add_flag("--checks-fencing", target.mCore.mChecksFencing,
                "Refuse orders with an old fencing number");
  AddDurationOption(aApp, "--load-time", aGroup.mStore.mLoadTime,
                    "Time to load weights");
  AddDurationOption(aApp, "--adapter-load-time", aGroup.mStore.mAdapterLoadTime,
                    "Time to load an adapter");
  aApp
    .add_option("--store-loads-per-second", aGroup.mStore.mLoadsPerSecond,
                "Loads begun per second over all targets; 0 is unlimited")
    ->capture_default_str();
  aApp
    .add_option("--store-concurrency", aGroup.mStore.mMaxConcurrentLoads,
                "Loads at full speed over all targets; 0 is unlimited")
    ->capture_default_str();
  aApp
    .add_option("--adapter-concurrency", aGroup.mStore.mAdapterConcurrency,
                "Adapter loads at full speed; 0 is unlimited")
    ->capture_default_str();
  aApp.add_option("--order-loss", target.mOrderLoss, "Share of orders lost")
    ->check(CLI::Range(0.0, 1.0))
    ->capture_default_str();
}

void AddEngineReportOptions(CLI::App& aApp, EngineGroup& aGroup)
{
  EngineTargetOptions& target = aGroup.mTarget;
  AddDurationOption(aApp, "--report-lag", target.mCore.mReportLag,
                    "Age of the load figures in announcements");
  AddDurationOption(aApp, "--restart-delay", target.mRestartDelay,
                    "Time until a crashed target comes back");
  AddDurationOption(aApp, "--cache-event-delay", target.mCacheEventDelay,
                    "Delay of cache events");
  aApp
    .add_option("--cache-event-loss", target.mCacheEventLoss,
                "Share of cache events lost")
    ->check(CLI::Range(0.0, 1.0))
    ->capture_default_str();
  aApp
    .add_option("--cache-blocks", target.mCore.mCacheBlocks,
                "Blocks of the prefix cache")
    ->capture_default_str();
}

/** Adds each target to the host; prints one JSON line for each. */
bool AddTargets(StandinHost& aHost, const GroupOptions& aGroup,
                const std::function<StandinHost::Factory(std::uint32_t)>& aMake,
                CommandContext& aContext)
{
  for (std::uint32_t i = 0; i < aGroup.mCount; ++i) {
    const auto address = aHost.Add(aMake(i));
    if (!address) {
      aContext.mErr << address.GetError().ToString() << '\n';
      aContext.mExit = ExitCode::Refused;
      return false;
    }
    aContext.mOut << json::serialize(json::object{
                       { "target", aGroup.NameOf(i).Text() },
                       { "address", address->ToString() },
                       { "failure_domain", aGroup.DomainOf(i).Text() } })
                  << std::endl;
  }
  return true;
}

void RunEngines(const EngineGroup& aGroup, CommandContext& aContext)
{
  const GroupOptions& group = aGroup.mGroup;
  WeightStore store(aGroup.mStore);
  StandinHost host(group.mProcess);
  const auto make = [&](std::uint32_t aIndex) -> StandinHost::Factory {
    return [&, aIndex](boost::asio::any_io_executor aExecutor) {
      EngineTargetOptions options = aGroup.mTarget;
      options.mCore.mName = group.NameOf(aIndex);
      options.mCore.mFailureDomain = group.DomainOf(aIndex);
      options.mCore.mPool = group.mPool;
      options.mCore.mSeed = group.mSeed + aIndex;
      options.mListen = group.ListenOf(aIndex);
      options.mDaemons = group.mDaemons;
      options.mAnnounceInterval = group.mAnnounceInterval;
      return std::make_unique<EngineTarget>(std::move(aExecutor),
                                            std::move(options), store);
    };
  };
  if (AddTargets(host, group, make, aContext)) {
    host.Run();
  }
}

void RunServices(const ServiceGroup& aGroup, CommandContext& aContext)
{
  const GroupOptions& group = aGroup.mGroup;
  StandinHost host(group.mProcess);
  const auto make = [&](std::uint32_t aIndex) -> StandinHost::Factory {
    return [&, aIndex](boost::asio::any_io_executor aExecutor) {
      ServiceTargetOptions options = aGroup.mTarget;
      options.mName = group.NameOf(aIndex);
      options.mFailureDomain = group.DomainOf(aIndex);
      options.mPool = group.mPool;
      options.mSeed = group.mSeed + aIndex;
      options.mListen = group.ListenOf(aIndex);
      options.mDaemons = group.mDaemons;
      options.mAnnounceInterval = group.mAnnounceInterval;
      return std::make_unique<ServiceTarget>(std::move(aExecutor),
                                             std::move(options));
    };
  };
  if (AddTargets(host, group, make, aContext)) {
    host.Run();
  }
}

} // namespace

void AddStandinCommands(CLI::App& aApp, CommandContext& aContext)
{
  CLI::App* standin =
    aApp.add_subcommand("standin", "Fake targets for trials and tests");
  standin->require_subcommand(1);

  auto engines = std::make_shared<EngineGroup>();
  engines->mGroup.mPool = "engines";
  CLI::App* target =
    standin->add_subcommand("target", "Fake model engines on HTTP");
  AddGroupOptions(*target, engines->mGroup);
  AddEngineSpeedOptions(*target, *engines);
  AddEngineOrderOptions(*target, *engines);
  AddEngineReportOptions(*target, *engines);
  target->callback([engines, &aContext] { RunEngines(*engines, aContext); });

  auto services = std::make_shared<ServiceGroup>();
  services->mGroup.mPool = "services";
  CLI::App* service =
    standin->add_subcommand("service", "Fake plain services on HTTP");
  AddGroupOptions(*service, services->mGroup);
  ServiceTargetOptions& options = services->mTarget;
  AddDurationOption(*service, "--delay", options.mDelay, "Time of one call");
  service
    ->add_option("--drop-before", options.mDropBefore,
                 "Share of calls dropped before they run")
    ->check(CLI::Range(0.0, 1.0))
    ->capture_default_str();
  service
    ->add_option("--drop-after", options.mDropAfter,
                 "Share of calls dropped after they ran")
    ->check(CLI::Range(0.0, 1.0))
    ->capture_default_str();
  service
    ->add_option("--fail-share", options.mFailShare,
                 "Share of calls answered with --fail-status")
    ->check(CLI::Range(0.0, 1.0))
    ->capture_default_str();
  service
    ->add_option("--fail-status", options.mFailStatus, "Status of failures")
    ->check(CLI::Range(400, 599))
    ->capture_default_str();
  service->callback(
    [services, &aContext] { RunServices(*services, aContext); });
}

} // namespace carobtide
