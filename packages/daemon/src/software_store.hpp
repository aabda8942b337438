#pragma once

/**
 * @file
 * What a control daemon keeps on disk of software versions and open streams.
 */

#include "carobtide/consensus/file_system.hpp"
#include "carobtide/fleet.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace carobtide {

/** What is found on disk at a start. */
struct StoredSoftware
{
  /** Nothing on an empty disk, or if it cannot be read. */
  std::optional<SoftwareRecord> mRecord;
  /** In the order in which they were appended. */
  std::vector<StreamNotice> mNotices;
};

/**
 * Keeps the versions that have served and what began open streams over a kill
 * or a loss of power, in files of its own beside the control log. Nobody waits
 * for the disk: a thread of its own writes and syncs, what comes meanwhile is
 * written together. Callers whose stream was not written in time are refused
 * later; a record that cannot be written is removed, so that an outdated one is
 * never found, also after a loss of power.
 *
 * Streams go into numbered files. A new one begins with each window, and those
 * before the last window are removed: their streams are over.
 *
 * Thread safety: Load before Start; Save, Append and Rotate from any thread.
 */
class SoftwareStore
{
public:
  using FailureHandler = std::function<void(const Error&)>;

  /** Bytes of the streams of one window; what goes beyond is not kept. */
  static constexpr std::uint64_t kMaxWindowBytes = std::uint64_t{ 8 } << 20;
  /** Least time from one sync to the next: the control log needs the disk. */
  static constexpr Duration kSyncInterval = std::chrono::milliseconds(100);

  /** The handler runs on the store's thread. */
  SoftwareStore(std::unique_ptr<FileSystem> aFiles, std::string aFolder,
                FailureHandler aOnFailure);
  /** Writes what waits, once, and joins. */
  ~SoftwareStore();
  SoftwareStore(const SoftwareStore&) = delete;
  SoftwareStore& operator=(const SoftwareStore&) = delete;

  /**
   * Reads the disk. What cannot be read is reported and left out: a daemon
   * starts without it, and does not know what served. Blocks.
   */
  StoredSoftware Load();
  /** Starts the thread. Precondition: Load was called. */
  void Start();

  /** Replaces the record. */
  void Save(const SoftwareRecord& aRecord);
  /** Keeps streams that have begun. */
  void Append(const StreamNotice& aNotice);
  /** A window has passed since the last call. */
  void Rotate();

private:
  struct Work
  {
    std::optional<std::string> mRecord;
    std::string mStreams;
    bool mRotates = false;

    bool IsEmpty() const { return !mRecord && mStreams.empty() && !mRotates; }
  };

  void Run();
  /** What could not be written and has to be tried again. */
  Work Perform(Work aWork);
  Result<Unit> WriteRecord(const std::string& aBytes);
  /** Null if there is none or it cannot be opened. */
  std::unique_ptr<AppendFile> OpenRecord();
  /**
   * An outdated record would vouch for versions that it lacks. Takes the file
   * that was the record before a write failed, or null.
   */
  void DiscardRecord(AppendFile* aOutdated);
  Result<Unit> WriteStreams(const std::string& aBytes);
  /** What is appended next goes into a new file. */
  void BeginFile();
  Result<Unit> RemoveBefore(std::uint64_t aNumber);
  std::string PathOf(std::uint64_t aNumber) const;

  std::unique_ptr<FileSystem> mFiles;
  const std::string mFolder;
  FailureHandler mOnFailure;
  /** Number of the file that streams are appended to, which may not exist. */
  std::uint64_t mNumber = 1;
  std::unique_ptr<AppendFile> mFile;
  /** First file of this window, and what went into its files. */
  std::uint64_t mWindowNumber = 1;
  std::uint64_t mWindowBytes = 0;
  /** The last failure was reported, and nothing was written since. */
  bool mIsFailing = false;
  /** Guards mWaiting and mStopping. */
  std::mutex mMutex;
  std::condition_variable mWake;
  Work mWaiting;
  bool mStopping = false;
  /** Last, since it uses all of the above. */
  std::thread mThread;
};

} // namespace carobtide
