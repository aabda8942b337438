#pragma once

/**
 * @file
 * A stand-in engine on HTTP: the shell around EngineCore.
 */

#include "carobtide/cli/announce_poster.hpp"
#include "carobtide/cli/engine_core.hpp"
#include "carobtide/cli/standin_target.hpp"
#include "carobtide/transport/http_server.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace carobtide {

/** Options of one stand-in engine beside those of its core. */
struct EngineTargetOptions
{
  EngineCoreOptions mCore;
  Endpoint mListen{ "127.0.0.1", 0 };
  std::vector<Endpoint> mDaemons;
  Duration mAnnounceInterval = std::chrono::seconds(1);
  /** A crashed engine comes back after this time, with empty memory. */
  Duration mRestartDelay = std::chrono::seconds(3);
  /** Share of orders that are lost, before or after they took effect. */
  double mOrderLoss = 0.0;
  /** Cache events are published after this time. */
  Duration mCacheEventDelay = std::chrono::seconds(1);
  /** Share of cache events that are never published. */
  double mCacheEventLoss = 0.1;
};

/**
 * Serves the engines' API, executes orders and announces itself.
 *
 * Thread safety: none; everything runs on the executor's only thread. Must
 * outlive the executor's work.
 */
class EngineTarget : public StandinTarget
{
public:
  /** aStore is shared by the targets of a process and must outlive them. */
  EngineTarget(boost::asio::any_io_executor aExecutor,
               EngineTargetOptions aOptions, WeightStore& aStore);

  Result<Unit> Start() override;
  void Leave() override;
  void StopAccepting() override;
  std::size_t OpenExchanges() const override;
  Endpoint Address() const override { return mAddress; }
  const TargetName& Name() const override { return mOptions.mCore.mName; }

private:
  /** A request in the engine; lives in its handler's frame. */
  struct Running
  {
    explicit Running(const boost::asio::any_io_executor& aExecutor);

    SequenceId mId;
    std::uint32_t mTokens = 0;
    bool mFinished = false;
    /** The caller went away or the engine crashed. */
    bool mLost = false;
    boost::asio::steady_timer mWake;
  };

  Result<Unit> Listen(const Endpoint& aAddress);
  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);
  boost::asio::awaitable<void> HandleCompletion(HttpExchange& aExchange);
  boost::asio::awaitable<void> HandleOrder(HttpExchange& aExchange);
  boost::asio::awaitable<void> Run(HttpExchange& aExchange,
                                   const Completion& aCompletion);
  boost::asio::awaitable<void> AnswerWhole(HttpExchange& aExchange,
                                           const Completion& aCompletion,
                                           const Answer& aAnswer,
                                           Running& aRunning);
  boost::asio::awaitable<void> AnswerStream(HttpExchange& aExchange,
                                            const Completion& aCompletion,
                                            const Answer& aAnswer,
                                            Running& aRunning);
  boost::asio::awaitable<void> WaitForProgress(Running& aRunning,
                                               std::uint32_t aSeenTokens);
  std::string RenderStats() const;
  void Pump();
  void ArmPumpTimer();
  void Announce();
  void ArmAnnounceTimer();
  void PublishCacheEvents();
  void Crash();
  void Restart();
  bool Draw(double aShare);

  boost::asio::any_io_executor mExecutor;
  EngineTargetOptions mOptions;
  WeightStore& mStore;
  AnnouncePoster mPoster;
  RandomEngine mRandom;
  std::unique_ptr<EngineCore> mCore;
  std::unique_ptr<HttpServer> mServer;
  Endpoint mAddress;
  boost::asio::steady_timer mPumpTimer;
  boost::asio::steady_timer mAnnounceTimer;
  boost::asio::steady_timer mRestartTimer;
  std::map<SequenceId, Running*> mRunning;
  std::set<HttpExchange*> mExchanges;
  bool mLeaving = false;
  bool mIsDown = false;
  std::uint64_t mCrashes = 0;
};

} // namespace carobtide
