#pragma once

/**
 * @file
 * Writes log lines on a thread of its own.
 */

#include "carobtide/base.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace carobtide {

/**
 * A bounded queue of lines and the thread that writes them. Whoever reads the
 * log may stall for as long as it likes: Push never waits, it drops the line
 * and counts it. The count is written as a line of its own as soon as there
 * is room again.
 *
 * Thread safety: all methods from any thread.
 */
class LogWriter
{
public:
  /** Writes all of it, however long that takes; false if that fails. */
  using Sink = std::function<bool(std::string_view)>;
  /** Makes the line that tells how many were dropped. */
  using LossLine = std::function<std::string(std::uint64_t)>;

  /** Lines that wait take this much at most: a few seconds of failures. */
  static constexpr std::size_t kCapacityBytes = 256 * 1024;
  /** Lines that come within this time are written together. */
  static constexpr Duration kBatchPause = std::chrono::milliseconds(10);

  LogWriter(Sink aSink, LossLine aLossLine,
            std::size_t aCapacityBytes = kCapacityBytes);

  /** Writes what waits, then ends: waits for as long as the sink does. */
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /** Takes a line without its line feed; false if there was no room. */
  bool Push(std::string_view aLine);

  /** Waits until all is written, this long at most; false if it is not. */
  bool Flush(Duration aTimeout);

  /** Lines dropped since the start. */
  std::uint64_t Dropped() const;

private:
  void Run();

  const Sink mSink;
  const LossLine mLossLine;
  const std::size_t mCapacityBytes;
  mutable std::mutex mMutex;
  std::condition_variable mHasLines;
  std::condition_variable mIsWritten;
  /** Lines that wait, each with its line feed. */
  std::string mWaiting;
  bool mIsWriting = false;
  bool mIsEnding = false;
  /** The sink failed: nobody reads any more, so that lines are dropped. */
  bool mIsBroken = false;
  std::uint64_t mDropped = 0;
  /** Dropped lines that a line has told of. */
  std::uint64_t mToldOf = 0;
  /** Last, since it uses all of the above. */
  std::thread mThread;
};

} // namespace carobtide
