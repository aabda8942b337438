#pragma once

/**
 * @file
 * Checksummed frames in files, and how a torn write is told from damage.
 */

#include <cstdint>
#include <string>
#include <string_view>

namespace carobtide {

/** Bytes of a frame before its payload. */
inline constexpr std::size_t kFrameHeaderBytes = 32;

/** What stands at an offset of a file. */
enum class FrameStatus : std::uint8_t
{
  /** A frame with matching checksums. */
  Whole,
  /** The end of the file. */
  End,
  /** A frame that a crash may have cut short; nothing valid follows. */
  Torn,
  /** Bytes that no crash leaves behind. */
  Damaged,
};

/** The outcome of ParseFrame. */
struct ParsedFrame
{
  FrameStatus mStatus = FrameStatus::End;
  /** Points into the file's bytes; set for a whole frame. */
  std::string_view mPayload;
  std::uint64_t mNextOffset = 0;
};

/**
 * Wraps a payload for writing at an offset. `aFileId` and the offset are part
 * of the checksums, so that a frame at another place is not taken for valid.
 */
std::string MakeFrame(std::string_view aPayload, std::uint64_t aFileId,
                      std::uint64_t aOffset);

/**
 * Reads the frame at an offset. A crash leaves a frame short, or with whole
 * sectors of zeros where the data never arrived: files only grow and file
 * systems hand out zeroed space. Any other mismatch is damage, and so is a
 * torn frame with a valid one after it, because a frame is only written once
 * the one before it is durable.
 */
ParsedFrame ParseFrame(std::string_view aFile, std::uint64_t aFileId,
                       std::uint64_t aOffset);

} // namespace carobtide
