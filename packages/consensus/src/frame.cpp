/**
 * @file
 * Checksummed frames in files.
 */

#include "frame.hpp"

#include "carobtide/base/hash.hpp"

#include <algorithm>
#include <cstring>
#include <optional>

namespace carobtide {

namespace {

constexpr std::uint64_t kMagic = 0x31676f6c62726163; // "carblog1"
constexpr std::uint64_t kSectorBytes = 512;
/** Spreads file ids over the seeds of the checksums. */
constexpr std::uint64_t kFileIdStride = 0x9e3779b97f4a7c15;
constexpr std::size_t kHeaderChecksumOffset = 24;

struct FrameHeader
{
  std::uint64_t mMagic = kMagic;
  std::uint64_t mLength = 0;
  std::uint64_t mPayloadChecksum = 0;
  std::uint64_t mHeaderChecksum = 0;
};
static_assert(sizeof(FrameHeader) == kFrameHeaderBytes);

std::uint64_t SeedOf(std::uint64_t aFileId, std::uint64_t aOffset)
{
  return aFileId * kFileIdStride + aOffset;
}

std::uint64_t HeaderChecksum(const FrameHeader& aHeader, std::uint64_t aSeed)
{
  std::string bytes(kHeaderChecksumOffset, '\0');
  std::memcpy(bytes.data(), &aHeader, kHeaderChecksumOffset);
  return ComputeChecksum(bytes, aSeed);
}

/** The header at an offset if its checksum matches. */
std::optional<FrameHeader> ReadHeader(std::string_view aFile,
                                      std::uint64_t aFileId,
                                      std::uint64_t aOffset)
{
  FrameHeader header;
  if (aFile.size() < aOffset + kFrameHeaderBytes) {
    return std::nullopt;
  }
  std::memcpy(&header, aFile.data() + aOffset, kFrameHeaderBytes);
  const bool valid =
    header.mMagic == kMagic &&
    header.mHeaderChecksum == HeaderChecksum(header, SeedOf(aFileId, aOffset));
  return valid ? std::optional(header) : std::nullopt;
}

std::optional<ParsedFrame> ReadWhole(std::string_view aFile,
                                     std::uint64_t aFileId,
                                     std::uint64_t aOffset)
{
  const auto header = ReadHeader(aFile, aFileId, aOffset);
  const auto begin = aOffset + kFrameHeaderBytes;
  if (!header || header->mLength > aFile.size() - begin) {
    return std::nullopt;
  }
  const auto payload = aFile.substr(begin, header->mLength);
  if (ComputeChecksum(payload, SeedOf(aFileId, aOffset)) !=
      header->mPayloadChecksum) {
    return std::nullopt;
  }
  return ParsedFrame{ FrameStatus::Whole, payload, begin + header->mLength };
}

/** True if a range covers part of a sector that is zero within the range. */
bool HasZeroSector(std::string_view aFile, std::uint64_t aBegin,
                   std::uint64_t aEnd)
{
  while (aBegin < aEnd) {
    const auto sectorEnd = (aBegin / kSectorBytes + 1) * kSectorBytes;
    const auto end = std::min(aEnd, sectorEnd);
    const auto part = aFile.substr(aBegin, end - aBegin);
    if (part.find_first_not_of('\0') == std::string_view::npos) {
      return true;
    }
    aBegin = end;
  }
  return false;
}

bool HasWholeFrameAfter(std::string_view aFile, std::uint64_t aFileId,
                        std::uint64_t aOffset)
{
  const std::string_view magic(reinterpret_cast<const char*>(&kMagic),
                               sizeof kMagic);
  auto at = aFile.find(magic, aOffset + 1);
  while (at != std::string_view::npos) {
    if (ReadWhole(aFile, aFileId, at)) {
      return true;
    }
    at = aFile.find(magic, at + 1);
  }
  return false;
}

/** True if a crash during the last write may have left this. */
bool LooksTorn(std::string_view aFile, std::uint64_t aFileId,
               std::uint64_t aOffset)
{
  const auto payload = aOffset + kFrameHeaderBytes;
  if (aFile.size() < payload) {
    return true;
  }
  const auto header = ReadHeader(aFile, aFileId, aOffset);
  if (!header) {
    return HasZeroSector(aFile, aOffset, payload);
  }
  return header->mLength > aFile.size() - payload ||
         HasZeroSector(aFile, payload, payload + header->mLength);
}

} // namespace

std::string MakeFrame(std::string_view aPayload, std::uint64_t aFileId,
                      std::uint64_t aOffset)
{
  const auto seed = SeedOf(aFileId, aOffset);
  FrameHeader header;
  header.mLength = aPayload.size();
  header.mPayloadChecksum = ComputeChecksum(aPayload, seed);
  header.mHeaderChecksum = HeaderChecksum(header, seed);
  std::string bytes;
  bytes.reserve(kFrameHeaderBytes + aPayload.size());
  bytes.append(reinterpret_cast<const char*>(&header), kFrameHeaderBytes);
  bytes.append(aPayload);
  return bytes;
}

ParsedFrame ParseFrame(std::string_view aFile, std::uint64_t aFileId,
                       std::uint64_t aOffset)
{
  if (aOffset >= aFile.size()) {
    return ParsedFrame{ FrameStatus::End, {}, aOffset };
  }
  if (const auto frame = ReadWhole(aFile, aFileId, aOffset)) {
    return *frame;
  }
  const bool torn = LooksTorn(aFile, aFileId, aOffset) &&
                    !HasWholeFrameAfter(aFile, aFileId, aOffset);
  return ParsedFrame{ torn ? FrameStatus::Torn : FrameStatus::Damaged,
                      {},
                      aOffset };
}

} // namespace carobtide
