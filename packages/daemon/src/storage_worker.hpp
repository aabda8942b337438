#pragma once

/**
 * @file
 * The thread that makes the control log durable.
 */

#include "carobtide/consensus.hpp"
#include "timing_histogram.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace carobtide {

/** Appends a later batch to an earlier one, as if both were written. */
void MergeBatches(PersistBatch& aInto, PersistBatch aLater);

/**
 * Writes batches in order on a thread of its own. Batches that queue up while
 * the disk is busy are written as one. A batch that a full disk refuses is
 * reported as failed once and written again until there is room.
 *
 * Thread safety: Enqueue from any thread. The callbacks run on the worker's
 * thread without its mutex.
 */
class StorageWorker
{
public:
  using DurableHandler = std::function<void(std::uint64_t aSequence)>;
  using FailureHandler = std::function<void(const Error& aError)>;

  StorageWorker(std::unique_ptr<LogStorage> aStorage, DurableHandler aOnDurable,
                FailureHandler aOnFailure);
  /** Writes what is queued, unless the disk is full, then joins. */
  ~StorageWorker();
  StorageWorker(const StorageWorker&) = delete;
  StorageWorker& operator=(const StorageWorker&) = delete;

  void Enqueue(PersistBatch aBatch);

  /** How long the disk took for each batch. */
  const TimingHistogram& Times() const { return mTimes; }

private:
  void Run();
  /** Reports what becomes of a batch. False if it was not written. */
  bool Write(const PersistBatch& aBatch);
  /** True if the worker stops within the time between two tries. */
  bool WaitForRoom();
  PersistBatch TakeMerged();

  std::unique_ptr<LogStorage> mStorage;
  TimingHistogram mTimes;
  DurableHandler mOnDurable;
  FailureHandler mOnFailure;
  /** Guards mQueue and mStopping. */
  std::mutex mMutex;
  std::condition_variable mWake;
  std::deque<PersistBatch> mQueue;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace carobtide
