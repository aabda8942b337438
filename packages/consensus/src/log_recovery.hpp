#pragma once

/**
 * @file
 * Reads a stored log back.
 */

#include "carobtide/consensus/file_system.hpp"
#include "carobtide/consensus/storage.hpp"

#include <string>
#include <vector>

namespace carobtide {

/** One segment file found on disk. */
struct SegmentInfo
{
  std::uint64_t mNumber = 0;
  /** The highest index that any of its entries has. */
  std::uint64_t mMaxIndex = 0;
  /** Bytes that hold valid frames. */
  std::uint64_t mSize = 0;
};

/** A stored log as read from its folder. */
struct RecoveredLog
{
  RecoveredState mState;
  /** Oldest first. */
  std::vector<SegmentInfo> mSegments;
  /** Indexes of the snapshot files, oldest first. */
  std::vector<std::uint64_t> mSnapshots;
  /** True if the newest segment ends in a torn frame after its mSize. */
  bool mTornTail = false;
};

/**
 * Reads everything in a folder and changes nothing. Damage is
 * ErrorCode::Corrupt naming the file and the offset.
 */
Result<RecoveredLog> ReadLogFolder(FileSystem& aFiles,
                                   const std::string& aFolder);

} // namespace carobtide
