#pragma once

/**
 * @file
 * Names and contents of the files of one stored log.
 */

#include "carobtide/consensus/storage.hpp"

#include <cereal/types/optional.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace carobtide {

/** Holds the replica's identity. */
inline constexpr std::string_view kIdentityName = "identity";
inline constexpr std::string_view kSegmentPrefix = "segment-";
inline constexpr std::string_view kSnapshotPrefix = "snapshot-";
/** Version of all file formats here. */
inline constexpr std::uint32_t kFormatVersion = 1;

/** The first frame of a segment. */
struct SegmentHeader
{
  std::uint32_t mVersion = kFormatVersion;
  std::uint64_t mNumber = 0;
  HardState mHardState;
  /** Position of the last entry before the segment. */
  std::uint64_t mBaseIndex = 0;
  std::uint64_t mBaseTerm = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion, mNumber, mHardState, mBaseIndex, mBaseTerm);
  }
};

/** Says that a snapshot file replaced the log up to a position. */
struct SnapshotMark
{
  std::uint64_t mIndex = 0;
  std::uint64_t mTerm = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIndex, mTerm);
  }
};

/** Any later frame of a segment: one batch. */
struct StoredBatch
{
  std::optional<HardState> mHardState;
  std::optional<SnapshotMark> mSnapshot;
  std::vector<LogEntry> mEntries;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHardState, mSnapshot, mEntries);
  }
};

/** Renders PREFIX followed by the number in 16 hexadecimal digits. */
std::string NumberedName(std::string_view aPrefix, std::uint64_t aNumber);

/** The number of a name that NumberedName made with this prefix. */
std::optional<std::uint64_t> NumberInName(std::string_view aPrefix,
                                          std::string_view aName);

/** An error of kind Corrupt that names the file and the offset. */
Error MakeCorrupt(const std::string& aPath, std::uint64_t aOffset,
                  std::string_view aWhy);

/** What is stored is whole, and of a format that this build does not read. */
Error MakeUnsupported(const std::string& aPath, std::string_view aWhy);

} // namespace carobtide
