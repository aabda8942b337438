#include "storage_worker.hpp"

#include "clock.hpp"

#include <algorithm>
#include <iterator>

namespace carobtide {

namespace {

void AppendEntries(std::vector<LogEntry>& aInto, std::vector<LogEntry> aLater)
{
  if (aLater.empty()) {
    return;
  }
  const std::uint64_t first = aLater.front().mIndex;
  const auto overlap = std::ranges::find_if(
    aInto, [&](const LogEntry& aEntry) { return aEntry.mIndex >= first; });
  aInto.erase(overlap, aInto.end());
  std::ranges::move(aLater, std::back_inserter(aInto));
}

} // namespace

void MergeBatches(PersistBatch& aInto, PersistBatch aLater)
{
  aInto.mSequence = aLater.mSequence;
  if (aLater.mHardState) {
    aInto.mHardState = aLater.mHardState;
  }
  AppendEntries(aInto.mEntries, std::move(aLater.mEntries));
}

StorageWorker::StorageWorker(std::unique_ptr<LogStorage> aStorage,
                             DurableHandler aOnDurable,
                             FailureHandler aOnFailure)
  : mStorage(std::move(aStorage))
  , mOnDurable(std::move(aOnDurable))
  , mOnFailure(std::move(aOnFailure))
  , mThread([this] { Run(); })
{
}

StorageWorker::~StorageWorker()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  mThread.join();
}

void StorageWorker::Enqueue(PersistBatch aBatch)
{
  {
    const std::lock_guard lock(mMutex);
    mQueue.push_back(std::move(aBatch));
  }
  mWake.notify_one();
}

PersistBatch StorageWorker::TakeMerged()
{
  PersistBatch batch = std::move(mQueue.front());
  mQueue.pop_front();
  // A snapshot replaces the log, so nothing is merged across it.
  while (!mQueue.empty() && !batch.mSnapshot && !mQueue.front().mSnapshot) {
    MergeBatches(batch, std::move(mQueue.front()));
    mQueue.pop_front();
  }
  return batch;
}

void StorageWorker::Run()
{
  std::unique_lock lock(mMutex);
  while (true) {
    mWake.wait(lock, [this] { return mStopping || !mQueue.empty(); });
    if (mQueue.empty()) {
      return;
    }
    const PersistBatch batch = TakeMerged();
    lock.unlock();
    const Instant startedAt = SteadyNow();
    const auto persisted = mStorage->Persist(batch);
    mTimes.Record(SteadyNow() - startedAt);
    if (persisted) {
      mOnDurable(batch.mSequence);
    } else {
      mOnFailure(persisted.GetError());
    }
    lock.lock();
  }
}

} // namespace carobtide
