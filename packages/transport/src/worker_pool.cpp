#include "carobtide/transport/worker_pool.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <atomic>
#include <cassert>
#include <thread>
#include <vector>

namespace carobtide {

namespace asio = boost::asio;

namespace {

/** An event loop whose pending work can be destroyed before itself. */
class EventLoop : public asio::io_context
{
public:
  EventLoop()
    : asio::io_context(1)
  {
  }

  void DestroyPendingWork() { shutdown(); }
};

/** One event loop that stays alive while it has no work. */
struct Worker
{
  EventLoop mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mGuard{
    mContext.get_executor()
  };
};

} // namespace

class WorkerPool::Impl
{
public:
  explicit Impl(std::size_t aCount)
  {
    assert(aCount > 0);
    mWorkers.resize(aCount);
    std::ranges::generate(mWorkers, std::make_unique<Worker>);
  }

  /**
   * Work pending on one loop may own sockets of another, so that all of it is
   * destroyed before the first loop is.
   */
  ~Impl()
  {
    std::ranges::for_each(
      mWorkers, [](auto& aWorker) { aWorker->mContext.DestroyPendingWork(); });
  }

  std::vector<std::unique_ptr<Worker>> mWorkers;
  std::vector<std::thread> mThreads;
  std::atomic<std::size_t> mNext{ 0 };
};

WorkerPool::WorkerPool(std::size_t aCount)
  : mImpl(std::make_unique<Impl>(aCount))
{
}

WorkerPool::~WorkerPool()
{
  Stop();
  Join();
}

void WorkerPool::Start()
{
  for (auto& worker : mImpl->mWorkers) {
    mImpl->mThreads.emplace_back([&worker] { worker->mContext.run(); });
  }
}

void WorkerPool::Stop()
{
  std::ranges::for_each(mImpl->mWorkers,
                        [](auto& aWorker) { aWorker->mContext.stop(); });
}

void WorkerPool::Join()
{
  for (auto& thread : mImpl->mThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

std::size_t WorkerPool::Size() const
{
  return mImpl->mWorkers.size();
}

asio::any_io_executor WorkerPool::Next()
{
  return At(mImpl->mNext.fetch_add(1, std::memory_order_relaxed) % Size());
}

asio::any_io_executor WorkerPool::At(std::size_t aIndex)
{
  assert(aIndex < Size());
  return mImpl->mWorkers[aIndex]->mContext.get_executor();
}

} // namespace carobtide
