#pragma once

/**
 * @file
 * A stand-in plain service that counts how often each call ran.
 */

#include "carobtide/cli/announce_poster.hpp"
#include "carobtide/cli/standin_target.hpp"
#include "carobtide/placement/announcement.hpp"
#include "carobtide/transport/http_server.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carobtide {

/** What a stand-in service is and how it fails. */
struct ServiceTargetOptions
{
  TargetName mName;
  FailureDomain mFailureDomain;
  std::string mPool;
  Endpoint mListen{ "127.0.0.1", 0 };
  std::vector<Endpoint> mDaemons;
  Duration mAnnounceInterval = std::chrono::seconds(1);
  /** Time that a call takes. */
  Duration mDelay{ 0 };
  /** Share of calls whose connection drops before the call runs. */
  double mDropBefore = 0.0;
  /** Share of calls that run and whose connection then drops. */
  double mDropAfter = 0.0;
  /** Share of calls answered with mFailStatus; these count as run. */
  double mFailShare = 0.0;
  std::uint16_t mFailStatus = 500;
  std::uint64_t mSeed = 1;
};

/** How often calls ran, by key and by content. */
class RunCounts
{
public:
  /** Counts one run; returns how often this key has run now. */
  std::uint64_t Record(const std::string& aKey, const std::string& aBody);

  /** JSON: total, keys, highest count of a key, and both tables. */
  std::string Render() const;

private:
  std::uint64_t mTotal = 0;
  std::map<std::string, std::uint64_t> mByKey;
  std::map<std::string, std::uint64_t> mByBody;
};

/**
 * Serves any method and path, and GET /counts.
 *
 * Thread safety: none; everything runs on the executor's only thread. Must
 * outlive the executor's work.
 */
class ServiceTarget : public StandinTarget
{
public:
  ServiceTarget(boost::asio::any_io_executor aExecutor,
                ServiceTargetOptions aOptions);

  Result<Unit> Start() override;
  void Leave() override;
  void StopAccepting() override;
  std::size_t OpenExchanges() const override;
  Endpoint Address() const override { return mServer->Address(); }
  const TargetName& Name() const override { return mOptions.mName; }

private:
  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);
  boost::asio::awaitable<void> Call(HttpExchange& aExchange);
  HttpResponse MakeAnswer(const HttpRequest& aRequest, std::uint64_t aRuns);
  void Announce();
  void ArmAnnounceTimer();
  bool Draw(double aShare);

  boost::asio::any_io_executor mExecutor;
  ServiceTargetOptions mOptions;
  AnnouncePoster mPoster;
  RandomEngine mRandom;
  std::unique_ptr<HttpServer> mServer;
  boost::asio::steady_timer mAnnounceTimer;
  Incarnation mIncarnation;
  std::uint64_t mSequence = 0;
  RunCounts mCounts;
  std::size_t mOpen = 0;
  bool mLeaving = false;
};

} // namespace carobtide
