#pragma once

/**
 * @file
 * Runs many stand-in targets in one process until it is told to stop.
 */

#include "carobtide/cli/standin_target.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace carobtide {

/** Options of the process. */
struct StandinHostOptions
{
  std::size_t mThreads = 1;
  /** After SIGTERM, new requests are still served for this time. */
  Duration mLeaveGrace = std::chrono::seconds(4);
};

/**
 * Spreads targets over threads, each with its own executor, so that a
 * target's code needs no locks.
 *
 * Thread safety: none; used from one thread.
 */
class StandinHost
{
public:
  explicit StandinHost(StandinHostOptions aOptions);
  ~StandinHost();
  StandinHost(const StandinHost&) = delete;
  StandinHost& operator=(const StandinHost&) = delete;

  using Factory = std::function<std::unique_ptr<StandinTarget>(
    boost::asio::any_io_executor aExecutor)>;

  /** Makes and starts a target on the next thread in turn. */
  Result<Endpoint> Add(const Factory& aFactory);

  /**
   * Serves until SIGTERM or SIGINT; then announces leaving, finishes every
   * request and returns. A second signal ends the process at once.
   */
  void Run();

private:
  struct Worker;

  void ForEachTarget(const std::function<void(StandinTarget&)>& aAction);
  std::size_t OpenExchanges();
  void Drain();

  StandinHostOptions mOptions;
  std::vector<std::unique_ptr<Worker>> mWorkers;
  std::size_t mNext = 0;
};

} // namespace carobtide
