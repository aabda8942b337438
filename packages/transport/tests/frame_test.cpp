#include "carobtide/transport/frame.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

TEST_CASE("a frame survives encoding and decoding")
{
  const std::string bytes = EncodeFrame(7, 42, "payload");
  const auto header = DecodeFrameHeader(bytes);
  REQUIRE(header);
  CHECK(header->mType == 7);
  CHECK(header->mCorrelation == 42);
  CHECK(CheckFramePayload(*header, bytes.substr(kFrameHeaderBytes)));
}

TEST_CASE("a wrong, foreign or oversized header is refused")
{
  const std::string good = EncodeFrame(1, 2, "abc");
  CHECK(DecodeFrameHeader(good.substr(0, 10)).Code() == ErrorCode::Malformed);

  std::string wrongMagic = good;
  wrongMagic[0] = 'X';
  CHECK(DecodeFrameHeader(wrongMagic).Code() == ErrorCode::Malformed);

  std::string otherVersion = good;
  otherVersion[4] = 99;
  CHECK(DecodeFrameHeader(otherVersion).Code() == ErrorCode::Unsupported);

  std::string oversized = good;
  oversized[11] = 0x7f;
  CHECK(DecodeFrameHeader(oversized).Code() == ErrorCode::TooLarge);
}

TEST_CASE("a damaged payload is refused")
{
  const std::string bytes = EncodeFrame(1, 2, "abc");
  const auto header = DecodeFrameHeader(bytes);
  REQUIRE(header);
  CHECK_FALSE(CheckFramePayload(*header, "abd"));
  CHECK_FALSE(CheckFramePayload(*header, "ab"));
}
