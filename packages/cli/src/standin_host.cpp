#include "carobtide/cli/standin_host.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <cassert>
#include <csignal>
#include <cstdlib>
#include <future>
#include <thread>

namespace carobtide {

namespace asio = boost::asio;

struct StandinHost::Worker
{
  asio::io_context mContext{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> mGuard{
    mContext.get_executor()
  };
  std::vector<std::unique_ptr<StandinTarget>> mTargets;
  std::thread mThread;
};

StandinHost::StandinHost(StandinHostOptions aOptions)
  : mOptions(aOptions)
{
  assert(mOptions.mThreads > 0);
  for (std::size_t i = 0; i < mOptions.mThreads; ++i) {
    mWorkers.push_back(std::make_unique<Worker>());
  }
}

StandinHost::~StandinHost()
{
  for (const auto& worker : mWorkers) {
    worker->mContext.stop();
    if (worker->mThread.joinable()) {
      worker->mThread.join();
    }
  }
}

Result<Endpoint> StandinHost::Add(const Factory& aFactory)
{
  Worker& worker = *mWorkers[mNext++ % mWorkers.size()];
  auto target = aFactory(worker.mContext.get_executor());
  const auto started = target->Start();
  if (!started) {
    return started.GetError();
  }
  const Endpoint address = target->Address();
  worker.mTargets.push_back(std::move(target));
  return address;
}

void StandinHost::Run()
{
  for (const auto& worker : mWorkers) {
    worker->mThread =
      std::thread([context = &worker->mContext] { context->run(); });
  }
  asio::io_context control{ 1 };
  asio::signal_set signals(control, SIGTERM, SIGINT);
  signals.async_wait([](const boost::system::error_code&, int) {});
  control.run();
  control.restart();
  signals.async_wait([](const boost::system::error_code& aError, int) {
    if (!aError) {
      std::_Exit(EXIT_FAILURE);
    }
  });
  std::thread watcher([&control] { control.run(); });
  Drain();
  control.stop();
  watcher.join();
}

void StandinHost::Drain()
{
  constexpr std::chrono::milliseconds kPollInterval{ 20 };
  ForEachTarget([](StandinTarget& aTarget) { aTarget.Leave(); });
  std::this_thread::sleep_for(mOptions.mLeaveGrace);
  ForEachTarget([](StandinTarget& aTarget) { aTarget.StopAccepting(); });
  while (OpenExchanges() > 0) {
    std::this_thread::sleep_for(kPollInterval);
  }
}

void StandinHost::ForEachTarget(
  const std::function<void(StandinTarget&)>& aAction)
{
  for (const auto& worker : mWorkers) {
    std::promise<void> done;
    asio::post(worker->mContext, [&] {
      for (const auto& target : worker->mTargets) {
        aAction(*target);
      }
      done.set_value();
    });
    done.get_future().wait();
  }
}

std::size_t StandinHost::OpenExchanges()
{
  std::size_t open = 0;
  ForEachTarget(
    [&](StandinTarget& aTarget) { open += aTarget.OpenExchanges(); });
  return open;
}

} // namespace carobtide
