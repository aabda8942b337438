#pragma once

/**
 * @file
 * One thread of the load tool.
 */

#include "carobtide/cli/load_request.hpp"
#include "carobtide/transport/http_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <optional>
#include <vector>

namespace carobtide {

/** How a load run is sent. */
struct LoadRunOptions
{
  /** Callers' addresses; requests are spread over them. */
  std::vector<Endpoint> mDaemons;
  std::uint64_t mSeed = 1;
  std::size_t mThreads = 2;
  /** Requests open at once on a thread; more count as unreachable. */
  std::size_t mMaxOpen = 20'000;
  /** API key of each organisation, in the order of the scenario. */
  std::vector<std::string> mKeys;
};

/** Counts that the progress line reads while the run goes on. */
struct LoadProgress
{
  std::atomic<std::uint64_t> mSent{ 0 };
  std::atomic<std::uint64_t> mOpen{ 0 };
  std::atomic<std::uint64_t> mWhole{ 0 };
  std::atomic<std::uint64_t> mNotRun{ 0 };
  std::atomic<std::uint64_t> mOther{ 0 };
  std::atomic<std::uint64_t> mEvents{ 0 };
};

/**
 * Sends its share of a scenario's arrivals, each at its intended time,
 * whether or not earlier ones have been answered.
 *
 * Thread safety: Run on one thread; mProgress may be read from others.
 */
class LoadWorker
{
public:
  /** Takes the arrivals whose number is aIndex modulo the thread count. */
  LoadWorker(const LoadScenario& aScenario, const LoadRunOptions& aOptions,
             std::size_t aIndex);

  /** Sends everything and waits for every answer. */
  void Run(Instant aStart);

  const LoadStats& Stats() const { return mStats; }
  const LoadProgress& Progress() const { return mProgress; }

private:
  /** What one try came to. */
  struct Try
  {
    LoadOutcome mOutcome = LoadOutcome::Unreachable;
    std::uint16_t mStatus = 0;
    Instant mFirstByte;
    std::uint64_t mEvents = 0;
    /** What the answer asks for. */
    std::optional<Duration> mRetryAfter;
  };

  /** How often a request was sent again, and how often it was refused. */
  struct Tries
  {
    std::uint32_t mResends = 0;
    std::uint32_t mRefusals = 0;
  };

  /** A connection with the daemon that it leads to. */
  struct OpenDaemon
  {
    Endpoint mDaemon;
    std::unique_ptr<HttpConnection> mConnection;
  };

  boost::asio::awaitable<void> SendAll();
  boost::asio::awaitable<void> Serve(Arrival aArrival, bool aIsDuplicate);
  /**
   * Connects to a daemon, and to the next ones if it takes no connection, as
   * the platform's balancer would.
   */
  boost::asio::awaitable<Result<OpenDaemon>> Connect(const LoadClass& aClass,
                                                     std::uint64_t aFirst);
  boost::asio::awaitable<Try> TryOnce(const LoadClass& aClass,
                                      const LoadRequest& aRequest,
                                      std::uint64_t aFirst);
  boost::asio::awaitable<void> Exchange(HttpConnection& aConnection,
                                        const LoadClass& aClass,
                                        const LoadRequest& aRequest,
                                        const HttpResponseHead& aHead,
                                        Try& aTry);
  boost::asio::awaitable<void> ReadStream(HttpConnection& aConnection,
                                          const LoadClass& aClass,
                                          const LoadRequest& aRequest,
                                          const HttpResponseHead& aHead,
                                          Try& aTry);
  void Launch(const Arrival& aArrival, bool aIsDuplicate);
  void Record(const Arrival& aArrival, const Try& aTry, const Tries& aTries);
  /** Pause before the next try; nothing if there is none. */
  std::optional<Duration> PauseBefore(const Arrival& aArrival, const Try& aTry,
                                      std::uint32_t aResends) const;

  const LoadScenario& mScenario;
  const LoadRunOptions& mOptions;
  std::size_t mIndex;
  boost::asio::io_context mContext{ 1 };
  HttpPool mPool;
  ArrivalGenerator mArrivals;
  LoadStats mStats;
  LoadProgress mProgress;
  Instant mStart;
};

} // namespace carobtide
