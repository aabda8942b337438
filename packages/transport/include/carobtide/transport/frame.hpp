#pragma once

/**
 * @file
 * Length-prefixed frames between daemons. A frame is a fixed header followed
 * by a payload that cereal encodes; the header is checked before anything is
 * allocated.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

namespace carobtide {

/** Version of the protocol between daemons; others are refused. */
inline constexpr std::uint16_t kPeerProtocolVersion = 1;

/** Most payload bytes of one frame. */
inline constexpr Bytes kMaxFramePayload = 4 * kMiB;

/** Bytes of an encoded header. */
inline constexpr std::size_t kFrameHeaderBytes = 24;

/** Header of a frame. All numbers little-endian on the wire. */
struct FrameHeader
{
  std::uint16_t mVersion = kPeerProtocolVersion;
  /** Which message the payload holds; the daemon package assigns them. */
  std::uint16_t mType = 0;
  std::uint32_t mLength = 0;
  /** Matches a reply to its call; zero for one-way messages. */
  std::uint64_t mCorrelation = 0;
  /** Low half of the payload's checksum. */
  std::uint32_t mChecksum = 0;
};

/** A frame with its payload. */
struct Frame
{
  Frame() = default;
  Frame(std::uint16_t aType, std::uint64_t aCorrelation, std::string aPayload)
    : mType(aType)
    , mCorrelation(aCorrelation)
    , mPayload(std::move(aPayload))
  {
  }

  std::uint16_t mType = 0;
  std::uint64_t mCorrelation = 0;
  std::string mPayload;
};

/** Encodes a frame. Precondition: the payload is within kMaxFramePayload. */
std::string EncodeFrame(std::uint16_t aType, std::uint64_t aCorrelation,
                        std::string_view aPayload);

/**
 * Decodes a header of kFrameHeaderBytes bytes. Malformed on a wrong magic
 * number, Unsupported on another version, TooLarge beyond the limit.
 */
Result<FrameHeader> DecodeFrameHeader(std::string_view aBytes);

/** Checks a payload against its header. */
Result<Unit> CheckFramePayload(const FrameHeader& aHeader,
                               std::string_view aPayload);

} // namespace carobtide
