#include "log_writer.hpp"

#include <utility>

namespace carobtide {

LogWriter::LogWriter(Sink aSink, LossLine aLossLine, std::size_t aCapacityBytes)
  : mSink(std::move(aSink))
  , mLossLine(std::move(aLossLine))
  , mCapacityBytes(aCapacityBytes)
  , mThread([this] { Run(); })
{
}

LogWriter::~LogWriter()
{
  {
    const std::lock_guard lock(mMutex);
    mIsEnding = true;
  }
  mHasLines.notify_all();
  mThread.join();
}

bool LogWriter::Push(std::string_view aLine)
{
  bool isFirst = false;
  {
    const std::lock_guard lock(mMutex);
    if (mIsBroken || mWaiting.size() + aLine.size() + 1 > mCapacityBytes) {
      ++mDropped;
      return false;
    }
    isFirst = mWaiting.empty();
    mWaiting += aLine;
    mWaiting += '\n';
  }
  if (isFirst) {
    mHasLines.notify_one();
  }
  return true;
}

bool LogWriter::Flush(Duration aTimeout)
{
  std::unique_lock lock(mMutex);
  return mIsWritten.wait_for(
    lock, aTimeout, [this] { return mWaiting.empty() && !mIsWriting; });
}

std::uint64_t LogWriter::Dropped() const
{
  const std::lock_guard lock(mMutex);
  return mDropped;
}

void LogWriter::Run()
{
  std::unique_lock lock(mMutex);
  while (true) {
    mHasLines.wait(lock, [this] { return mIsEnding || !mWaiting.empty(); });
    if (mWaiting.empty()) {
      return;
    }
    if (!mIsEnding) {
      mHasLines.wait_for(lock, kBatchPause, [this] { return mIsEnding; });
    }
    std::string lines = std::exchange(mWaiting, {});
    if (const auto lost = mDropped - std::exchange(mToldOf, mDropped);
        lost > 0) {
      lines += mLossLine(lost);
      lines += '\n';
    }
    mIsWriting = true;
    lock.unlock();
    const bool isWritten = mSink(lines);
    lock.lock();
    mIsWriting = false;
    mIsWritten.notify_all();
    if (!isWritten) {
      mIsBroken = true;
      mWaiting.clear();
      mIsWritten.notify_all();
      return;
    }
  }
}

} // namespace carobtide
