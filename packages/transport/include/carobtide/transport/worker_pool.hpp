#pragma once

/**
 * @file
 * The pool of worker threads. Each worker runs its own event loop, so that a
 * connection lives on one thread and needs no strand; tables that workers
 * share are guarded by their owners' mutexes.
 */

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <memory>

namespace carobtide {

/**
 * A fixed number of worker threads.
 *
 * Thread safety: Next, At and Size from any thread; the rest from the owner.
 */
class WorkerPool
{
public:
  /** Makes the event loops; no thread starts yet. Precondition: count > 0. */
  explicit WorkerPool(std::size_t aCount);
  /** Stops and joins. */
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /** Starts the threads. */
  void Start();

  /** Ends the event loops at once; work still queued there is dropped. */
  void Stop();

  /** Waits for the threads to end. */
  void Join();

  std::size_t Size() const;

  /** The executor of the next worker, in turn. */
  boost::asio::any_io_executor Next();

  /** The executor of one worker. Precondition: index < Size(). */
  boost::asio::any_io_executor At(std::size_t aIndex);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace carobtide
