/**
 * @file
 * Log storage in files.
 */

#include "file_log_storage.hpp"

#include "carobtide/base/codec.hpp"
#include "frame.hpp"
#include "log_files.hpp"

#include <algorithm>
#include <cassert>

namespace carobtide {

FileLogStorage::FileLogStorage(std::unique_ptr<FileSystem> aFiles,
                               std::string aFolder,
                               FileLogStorageOptions aOptions)
  : mFiles(std::move(aFiles))
  , mFolder(std::move(aFolder))
  , mOptions(aOptions)
{
}

std::string FileLogStorage::PathOf(const std::string& aName) const
{
  return mFolder + "/" + aName;
}

Result<RecoveredState> FileLogStorage::Recover()
{
  mReady = false;
  mFailed = false;
  mNewest.reset();
  if (auto made = mFiles->MakeFolder(mFolder); !made) {
    return made.GetError();
  }
  auto log = ReadLogFolder(*mFiles, mFolder);
  if (!log) {
    return log.GetError();
  }
  RecoveredState& state = log->mState;
  mSegments = std::move(log->mSegments);
  mSnapshots = std::move(log->mSnapshots);
  mHardState = state.mHardState;
  mLastIndex = state.mSnapshot ? state.mSnapshot->mIndex : 0;
  mLastTerm = state.mSnapshot ? state.mSnapshot->mTerm : 0;
  if (!state.mEntries.empty()) {
    mLastIndex = state.mEntries.back().mIndex;
    mLastTerm = state.mEntries.back().mTerm;
  }
  auto result = RemoveTemporaries();
  result = result ? CutTail(log->mTornTail) : std::move(result);
  result = result ? mFiles->SyncFolder(mFolder) : std::move(result);
  if (!result) {
    return result.GetError();
  }
  mReady = true;
  return std::move(state);
}

Result<Unit> FileLogStorage::RemoveTemporaries()
{
  const auto names = mFiles->List(mFolder);
  if (!names) {
    return names.GetError();
  }
  for (const auto& name : *names) {
    if (!name.ends_with(kTemporarySuffix)) {
      continue;
    }
    if (auto removed = mFiles->Remove(PathOf(name)); !removed) {
      return removed;
    }
  }
  return Success();
}

Result<Unit> FileLogStorage::CutTail(bool aTorn)
{
  if (mSegments.empty()) {
    return Success();
  }
  auto result = OpenNewest();
  if (result && aTorn) {
    result = mNewest->Truncate(mSegments.back().mSize);
  }
  // What was read may only be in the system's cache so far.
  return result ? mNewest->Sync() : result;
}

Result<Unit> FileLogStorage::OpenNewest()
{
  auto file = mFiles->Open(
    PathOf(NumberedName(kSegmentPrefix, mSegments.back().mNumber)));
  if (!file) {
    return file.GetError();
  }
  mNewest = std::move(*file);
  return Success();
}

Result<Unit> FileLogStorage::StartSegment()
{
  SegmentHeader header;
  header.mNumber = mSegments.empty() ? 1 : mSegments.back().mNumber + 1;
  header.mHardState = mHardState;
  header.mBaseIndex = mLastIndex;
  header.mBaseTerm = mLastTerm;
  const auto frame = MakeFrame(Encode(header), header.mNumber, 0);
  auto result = ReplaceFile(
    *mFiles, mFolder, NumberedName(kSegmentPrefix, header.mNumber), frame);
  if (!result) {
    return result;
  }
  mSegments.push_back(SegmentInfo{ header.mNumber, 0, frame.size() });
  return OpenNewest();
}

Result<Unit> FileLogStorage::SetReplica(ReplicaId aReplica)
{
  assert(mReady && aReplica != ReplicaId{});
  if (mSegments.empty()) {
    if (auto started = StartSegment(); !started) {
      return started;
    }
  }
  return ReplaceFile(*mFiles, mFolder, std::string(kIdentityName),
                     MakeFrame(Encode(aReplica), 0, 0));
}

Result<Unit> FileLogStorage::Persist(const PersistBatch& aBatch)
{
  assert(mReady && !mSegments.empty());
  if (mFailed) {
    return Error{ ErrorCode::Io, "log.persist", mFolder,
                  "an earlier write failed" };
  }
  auto result = Success();
  if (mSegments.back().mSize >= mOptions.mSegmentBytes) {
    result = StartSegment();
  }
  if (result && aBatch.mSnapshot) {
    result = WriteSnapshot(*aBatch.mSnapshot);
  }
  result = result ? WriteFrame(aBatch) : std::move(result);
  if (result && aBatch.mSnapshot) {
    result = RemoveCovered();
  }
  mFailed = !result.HasValue();
  mMayResume = mFailed && result.Code() == ErrorCode::DiskFull;
  return result;
}

Result<Unit> FileLogStorage::Resume()
{
  if (!mFailed) {
    return Success();
  }
  if (!mMayResume) {
    return Error{ ErrorCode::Io, "log.resume", mFolder,
                  "an earlier write failed" };
  }
  const HardState hardState = mHardState;
  const auto last = std::pair(mLastIndex, mLastTerm);
  // What follows the last frame that was synced may be in the system's cache
  // and not on the disk.
  auto result = CutTail(true);
  if (result) {
    const auto found = Recover();
    result = found ? Success() : Result<Unit>(found.GetError());
  }
  // A snapshot of the refused batch may have been stored whole.
  const bool isKept = mHardState == hardState &&
                      (std::pair(mLastIndex, mLastTerm) == last ||
                       (!mSnapshots.empty() && mSnapshots.back() > last.first));
  if (!isKept) {
    result = Error{ ErrorCode::Corrupt, "log.resume", mFolder,
                    "the files end before what was written" };
  }
  mFailed = !result.HasValue();
  mMayResume = mFailed && result.Code() == ErrorCode::DiskFull;
  return result;
}

Result<Unit> FileLogStorage::WriteSnapshot(const Snapshot& aSnapshot)
{
  auto result = ReplaceFile(*mFiles, mFolder,
                            NumberedName(kSnapshotPrefix, aSnapshot.mIndex),
                            MakeFrame(Encode(aSnapshot), aSnapshot.mIndex, 0));
  // A crash may have come between this file and its mark in the log.
  const bool known =
    !mSnapshots.empty() && mSnapshots.back() == aSnapshot.mIndex;
  if (result && !known) {
    mSnapshots.push_back(aSnapshot.mIndex);
  }
  return result;
}

Result<Unit> FileLogStorage::WriteFrame(const PersistBatch& aBatch)
{
  StoredBatch stored;
  stored.mHardState = aBatch.mHardState;
  stored.mEntries = aBatch.mEntries;
  if (aBatch.mSnapshot) {
    stored.mSnapshot =
      SnapshotMark{ aBatch.mSnapshot->mIndex, aBatch.mSnapshot->mTerm };
  }
  SegmentInfo& segment = mSegments.back();
  const auto frame = MakeFrame(Encode(stored), segment.mNumber, segment.mSize);
  if (auto written = mNewest->Write(frame); !written) {
    return CutFailedFrame(written.GetError());
  }
  if (auto synced = mNewest->Sync(); !synced) {
    return synced;
  }
  segment.mSize += frame.size();
  Note(aBatch);
  return Success();
}

Error FileLogStorage::CutFailedFrame(Error aError)
{
  // If this fails too, the next recovery cuts the frame off as torn.
  if (mNewest->Truncate(mSegments.back().mSize)) {
    static_cast<void>(mNewest->Sync());
  }
  return aError;
}

void FileLogStorage::Note(const PersistBatch& aBatch)
{
  if (aBatch.mHardState) {
    mHardState = *aBatch.mHardState;
  }
  if (aBatch.mSnapshot && aBatch.mSnapshot->mIndex > mLastIndex) {
    mLastIndex = aBatch.mSnapshot->mIndex;
    mLastTerm = aBatch.mSnapshot->mTerm;
  }
  if (!aBatch.mEntries.empty()) {
    SegmentInfo& segment = mSegments.back();
    mLastIndex = aBatch.mEntries.back().mIndex;
    mLastTerm = aBatch.mEntries.back().mTerm;
    segment.mMaxIndex = std::max(segment.mMaxIndex, mLastIndex);
  }
}

Result<Unit> FileLogStorage::RemoveCovered()
{
  const auto index = mSnapshots.back();
  while (mSnapshots.size() > 1) {
    const auto name = NumberedName(kSnapshotPrefix, mSnapshots.front());
    if (auto removed = mFiles->Remove(PathOf(name)); !removed) {
      return removed;
    }
    mSnapshots.erase(mSnapshots.begin());
  }
  while (mSegments.size() > 1 && mSegments.front().mMaxIndex <= index) {
    const auto name = NumberedName(kSegmentPrefix, mSegments.front().mNumber);
    if (auto removed = mFiles->Remove(PathOf(name)); !removed) {
      return removed;
    }
    // In order, or a crash could leave a gap in the numbers.
    if (auto synced = mFiles->SyncFolder(mFolder); !synced) {
      return synced;
    }
    mSegments.erase(mSegments.begin());
  }
  return Success();
}

std::unique_ptr<LogStorage> OpenFileLogStorage(const std::string& aFolder)
{
  return std::make_unique<FileLogStorage>(MakePosixFileSystem(), aFolder);
}

} // namespace carobtide
