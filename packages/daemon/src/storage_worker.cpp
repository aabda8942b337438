#include "storage_worker.hpp"

#include "clock.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace carobtide {

namespace {

constexpr Duration kRoomRetryInterval = std::chrono::milliseconds(250);

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
    Write(batch);
    lock.lock();
  }
}

bool StorageWorker::WaitForRoom()
{
  std::unique_lock lock(mMutex);
  return mWake.wait_for(lock, kRoomRetryInterval, [this] { return mStopping; });
}

bool StorageWorker::Write(const PersistBatch& aBatch)
{
  const Instant startedAt = SteadyNow();
  auto persisted = mStorage->Persist(aBatch);
  mTimes.Record(SteadyNow() - startedAt);
  bool isReported = false;
  while (!persisted) {
    const bool mayFindRoom = persisted.Code() == ErrorCode::DiskFull;
    if (!mayFindRoom || !std::exchange(isReported, true)) {
      mOnFailure(persisted.GetError());
    }
    if (!mayFindRoom || WaitForRoom()) {
      return false;
    }
    persisted = mStorage->Resume();
    persisted = persisted ? mStorage->Persist(aBatch) : std::move(persisted);
  }
  mOnDurable(aBatch.mSequence);
  return true;
}

} // namespace carobtide
