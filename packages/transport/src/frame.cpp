#include "carobtide/transport/frame.hpp"

#include <array>
#include <cassert>
#include <cstring>

namespace carobtide {

namespace {

/** First four bytes of every frame: "CRBT". */
constexpr std::uint32_t kMagic = 0x54425243;

/** The header as it stands on the wire; little-endian, no padding. */
struct WireHeader
{
  std::uint32_t mMagic;
  std::uint16_t mVersion;
  std::uint16_t mType;
  std::uint32_t mLength;
  std::uint32_t mChecksum;
  std::uint64_t mCorrelation;
};
static_assert(sizeof(WireHeader) == kFrameHeaderBytes);

std::uint32_t PayloadChecksum(std::string_view aPayload)
{
  return static_cast<std::uint32_t>(ComputeChecksum(aPayload));
}

Error FrameError(ErrorCode aCode, std::string aDetail)
{
  return Error{ aCode, "frame.decode", "", std::move(aDetail) };
}

} // namespace

std::string EncodeFrame(std::uint16_t aType, std::uint64_t aCorrelation,
                        std::string_view aPayload)
{
  assert(static_cast<Bytes>(aPayload.size()) <= kMaxFramePayload);
  const WireHeader header{ kMagic,
                           kPeerProtocolVersion,
                           aType,
                           static_cast<std::uint32_t>(aPayload.size()),
                           PayloadChecksum(aPayload),
                           aCorrelation };
  std::string bytes;
  bytes.reserve(sizeof header + aPayload.size());
  bytes.append(reinterpret_cast<const char*>(&header), sizeof header);
  bytes += aPayload;
  return bytes;
}

Result<FrameHeader> DecodeFrameHeader(std::string_view aBytes)
{
  if (aBytes.size() < kFrameHeaderBytes) {
    return FrameError(ErrorCode::Malformed, "truncated header");
  }
  WireHeader wire{};
  std::memcpy(&wire, aBytes.data(), sizeof wire);
  if (wire.mMagic != kMagic) {
    return FrameError(ErrorCode::Malformed, "wrong magic number");
  }
  if (wire.mVersion != kPeerProtocolVersion) {
    return FrameError(ErrorCode::Unsupported,
                      "protocol version " + std::to_string(wire.mVersion));
  }
  if (wire.mLength > kMaxFramePayload) {
    return FrameError(ErrorCode::TooLarge,
                      std::to_string(wire.mLength) + " bytes");
  }
  return FrameHeader{ wire.mVersion, wire.mType, wire.mLength,
                      wire.mCorrelation, wire.mChecksum };
}

Result<Unit> CheckFramePayload(const FrameHeader& aHeader,
                               std::string_view aPayload)
{
  if (aPayload.size() != aHeader.mLength ||
      PayloadChecksum(aPayload) != aHeader.mChecksum) {
    return FrameError(ErrorCode::Malformed, "payload does not match header");
  }
  return Success();
}

} // namespace carobtide
