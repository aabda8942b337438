/**
 * @file
 * Reads a stored log back.
 */

#include "log_recovery.hpp"

#include "carobtide/base/codec.hpp"
#include "frame.hpp"
#include "log_files.hpp"
#include "stored_state.hpp"

#include <algorithm>

namespace carobtide {

namespace {

/** Decodes the only frame of a file that was written as a whole. */
template<class T>
Result<T> ReadWholeFile(FileSystem& aFiles, const std::string& aPath,
                        std::uint64_t aFileId)
{
  const auto bytes = aFiles.Read(aPath);
  if (!bytes) {
    return bytes.GetError();
  }
  const auto frame = ParseFrame(*bytes, aFileId, 0);
  if (frame.mStatus != FrameStatus::Whole ||
      frame.mNextOffset != bytes->size()) {
    return MakeCorrupt(aPath, 0, "checksum or size does not match");
  }
  auto value = Decode<T>(frame.mPayload, aPath);
  if (!value) {
    return MakeUnsupported(aPath, value.GetError().mDetail);
  }
  return value;
}

/** Replays the segments of one folder in order. */
class SegmentReplay
{
public:
  SegmentReplay(FileSystem& aFiles, std::string aFolder, RecoveredLog& aLog)
    : mFiles(aFiles)
    , mFolder(std::move(aFolder))
    , mLog(aLog)
  {
  }

  Result<Unit> ReadSegment(std::uint64_t aNumber, bool aNewest)
  {
    mPath = mFolder + "/" + NumberedName(kSegmentPrefix, aNumber);
    const auto bytes = mFiles.Read(mPath);
    if (!bytes) {
      return bytes.GetError();
    }
    mLog.mSegments.push_back(SegmentInfo{ aNumber, 0, 0 });
    auto frame = ParseFrame(*bytes, aNumber, 0);
    auto result = ReadHeader(frame, aNumber);
    while (result && frame.mStatus == FrameStatus::Whole) {
      const auto offset = frame.mNextOffset;
      mLog.mSegments.back().mSize = offset;
      frame = ParseFrame(*bytes, aNumber, offset);
      if (frame.mStatus == FrameStatus::Whole) {
        result = ReadBatch(frame.mPayload, offset);
      }
    }
    return result ? CheckEnd(frame, aNewest) : result;
  }

private:
  Result<Unit> ReadHeader(const ParsedFrame& aFrame, std::uint64_t aNumber)
  {
    if (aFrame.mStatus != FrameStatus::Whole) {
      return MakeCorrupt(mPath, 0, "segment header is damaged");
    }
    const auto header = Decode<SegmentHeader>(aFrame.mPayload, mPath);
    if (!header || header->mVersion != kFormatVersion) {
      return MakeUnsupported(mPath, "segment header of another format");
    }
    if (header->mNumber != aNumber) {
      return MakeCorrupt(mPath, 0, "segment header does not fit this file");
    }
    RecoveredState& state = mLog.mState;
    if (mLog.mSegments.size() == 1) {
      state.mHardState = header->mHardState;
      state.mSnapshot =
        Snapshot{ header->mBaseIndex, header->mBaseTerm, {}, {} };
    }
    return Success();
  }

  Result<Unit> ReadBatch(std::string_view aPayload, std::uint64_t aOffset)
  {
    auto stored = Decode<StoredBatch>(aPayload, mPath);
    if (!stored) {
      return MakeUnsupported(mPath, stored.GetError().mDetail);
    }
    PersistBatch batch;
    batch.mHardState = stored->mHardState;
    batch.mEntries = std::move(stored->mEntries);
    if (stored->mSnapshot) {
      batch.mSnapshot =
        Snapshot{ stored->mSnapshot->mIndex, stored->mSnapshot->mTerm, {}, {} };
    }
    if (!batch.mEntries.empty()) {
      auto& maxIndex = mLog.mSegments.back().mMaxIndex;
      maxIndex = std::max(maxIndex, batch.mEntries.back().mIndex);
    }
    if (!FitsOnto(mLog.mState, batch)) {
      return MakeCorrupt(mPath, aOffset, "entries leave a gap");
    }
    ApplyBatch(mLog.mState, batch);
    return Success();
  }

  Result<Unit> CheckEnd(const ParsedFrame& aFrame, bool aNewest)
  {
    if (aFrame.mStatus == FrameStatus::End) {
      return Success();
    }
    if (aFrame.mStatus == FrameStatus::Torn && aNewest) {
      mLog.mTornTail = true;
      return Success();
    }
    return MakeCorrupt(mPath, aFrame.mNextOffset, "frame is damaged");
  }

  FileSystem& mFiles;
  std::string mFolder;
  std::string mPath;
  RecoveredLog& mLog;
};

std::vector<std::uint64_t> NumbersOf(const std::vector<std::string>& aNames,
                                     std::string_view aPrefix)
{
  std::vector<std::uint64_t> numbers;
  for (const auto& name : aNames) {
    if (const auto number = NumberInName(aPrefix, name)) {
      numbers.push_back(*number);
    }
  }
  return numbers;
}

Result<Unit> ReadIdentity(FileSystem& aFiles, const std::string& aFolder,
                          bool aPresent, RecoveredLog& aLog)
{
  if (aPresent) {
    const auto path = aFolder + "/" + std::string(kIdentityName);
    auto identity = ReadWholeFile<ReplicaId>(aFiles, path, 0);
    if (!identity) {
      return identity.GetError();
    }
    aLog.mState.mReplica = *identity;
  }
  return Success();
}

/** Joins the newest snapshot file with the replayed entries. */
Result<Unit> ReadSnapshot(FileSystem& aFiles, const std::string& aFolder,
                          RecoveredLog& aLog)
{
  RecoveredState& state = aLog.mState;
  const auto base = state.mSnapshot ? state.mSnapshot->mIndex : 0;
  if (aLog.mSnapshots.empty()) {
    state.mSnapshot.reset();
    return base == 0 ? Success()
                     : MakeCorrupt(aFolder, 0, "the snapshot file is missing");
  }
  const auto newest = aLog.mSnapshots.back();
  const auto path = aFolder + "/" + NumberedName(kSnapshotPrefix, newest);
  auto snapshot = ReadWholeFile<Snapshot>(aFiles, path, newest);
  if (!snapshot) {
    return snapshot.GetError();
  }
  if (snapshot->mIndex != newest || newest < base) {
    return MakeCorrupt(path, 0, "the snapshot is not the one last written");
  }
  PersistBatch batch;
  batch.mSnapshot = std::move(*snapshot);
  if (newest == base) {
    state.mSnapshot = std::move(batch.mSnapshot);
  } else {
    ApplyBatch(state, batch);
  }
  return Success();
}

Result<Unit> CheckNumbers(const std::string& aFolder,
                          const std::vector<std::uint64_t>& aSegments,
                          bool aIdentified)
{
  if (aSegments.empty()) {
    return aIdentified ? MakeCorrupt(aFolder, 0, "all segments are missing")
                       : Success();
  }
  if (aSegments.back() - aSegments.front() + 1 != aSegments.size()) {
    return MakeCorrupt(aFolder, 0, "a segment is missing");
  }
  return Success();
}

} // namespace

Result<RecoveredLog> ReadLogFolder(FileSystem& aFiles,
                                   const std::string& aFolder)
{
  const auto names = aFiles.List(aFolder);
  if (!names) {
    return names.GetError();
  }
  RecoveredLog log;
  const bool identified =
    std::ranges::find(*names, kIdentityName) != names->end();
  const auto segments = NumbersOf(*names, kSegmentPrefix);
  log.mSnapshots = NumbersOf(*names, kSnapshotPrefix);
  auto result = CheckNumbers(aFolder, segments, identified);
  SegmentReplay replay(aFiles, aFolder, log);
  for (const auto number : segments) {
    result = result ? replay.ReadSegment(number, number == segments.back())
                    : std::move(result);
  }
  result = result ? ReadSnapshot(aFiles, aFolder, log) : std::move(result);
  result =
    result ? ReadIdentity(aFiles, aFolder, identified, log) : std::move(result);
  if (!result) {
    return result.GetError();
  }
  const RecoveredState& state = log.mState;
  const bool used = state.mHardState != HardState{} || state.mSnapshot ||
                    !state.mEntries.empty();
  if (used && !identified) {
    return MakeCorrupt(aFolder, 0, "the identity file is missing");
  }
  return log;
}

} // namespace carobtide
