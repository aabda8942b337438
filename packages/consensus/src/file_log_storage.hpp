#pragma once

/**
 * @file
 * Log storage in files, over any FileSystem.
 */

#include "carobtide/consensus/file_system.hpp"
#include "carobtide/consensus/storage.hpp"
#include "log_recovery.hpp"

namespace carobtide {

/** Sizes that tests make small. */
struct FileLogStorageOptions
{
  /** A segment that has reached this size is followed by a new one. */
  std::uint64_t mSegmentBytes = std::uint64_t{ 8 } << 20;
};

/**
 * LogStorage in checksummed segment files. One batch is one frame and one
 * sync. A batch counts only once its frame is synced. A failed write is cut
 * off again. After any failure nothing more is accepted until Recover() or
 * Resume(), because the system may have dropped written pages.
 *
 * Thread safety: none.
 */
class FileLogStorage : public LogStorage
{
public:
  FileLogStorage(std::unique_ptr<FileSystem> aFiles, std::string aFolder,
                 FileLogStorageOptions aOptions = {});

  Result<RecoveredState> Recover() override;
  Result<Unit> SetReplica(ReplicaId aReplica) override;
  Result<Unit> Persist(const PersistBatch& aBatch) override;
  Result<Unit> Resume() override;

private:
  Result<Unit> CutTail(bool aTorn);
  Result<Unit> RemoveTemporaries();
  Result<Unit> StartSegment();
  Result<Unit> OpenNewest();
  Result<Unit> WriteSnapshot(const Snapshot& aSnapshot);
  Result<Unit> WriteFrame(const PersistBatch& aBatch);
  Error CutFailedFrame(Error aError);
  void Note(const PersistBatch& aBatch);
  Result<Unit> RemoveCovered();
  std::string PathOf(const std::string& aName) const;

  std::unique_ptr<FileSystem> mFiles;
  std::string mFolder;
  FileLogStorageOptions mOptions;
  bool mReady = false;
  /** Set by an error, until the files have been read again. */
  bool mFailed = false;
  /** The failure was a full disk, which may have room again. */
  bool mMayResume = false;
  std::vector<SegmentInfo> mSegments;
  std::vector<std::uint64_t> mSnapshots;
  std::unique_ptr<AppendFile> mNewest;
  HardState mHardState;
  std::uint64_t mLastIndex = 0;
  std::uint64_t mLastTerm = 0;
};

} // namespace carobtide
