/**
 * @file
 * Any bytes as a frame from a peer, and as the payload of a valid one.
 */

#include "carobtide/transport/frame.hpp"
#include "carobtide/base/codec.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace carobtide;

namespace {

void Check(bool aHolds)
{
  if (!aHolds) {
    std::abort();
  }
}

/** Reads bytes as a connection would. */
void ReadAsFrame(std::string_view aBytes)
{
  const auto header = DecodeFrameHeader(
    aBytes.substr(0, std::min(aBytes.size(), kFrameHeaderBytes)));
  if (header) {
    Check(header->mLength <= kMaxFramePayload);
    const std::string_view rest = aBytes.substr(kFrameHeaderBytes);
    const auto payload = rest.substr(0, header->mLength);
    const auto checked = CheckFramePayload(header.Value(), payload);
    Check(!checked || payload.size() == header->mLength);
  }
}

/** Encodes bytes as a payload; one changed bit must be noticed. */
void WriteAsPayload(std::string_view aBytes)
{
  std::string frame = EncodeFrame(7, 42, aBytes);
  const auto header = DecodeFrameHeader(frame.substr(0, kFrameHeaderBytes));
  Check(header.HasValue());
  Check(header->mType == 7 && header->mCorrelation == 42);
  const auto payload = std::string_view(frame).substr(kFrameHeaderBytes);
  Check(CheckFramePayload(header.Value(), payload).HasValue());
  if (!payload.empty()) {
    frame.back() = static_cast<char>(frame.back() ^ 1);
    Check(!CheckFramePayload(header.Value(), payload).HasValue());
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  ReadAsFrame(bytes);
  WriteAsPayload(bytes);
  using Message =
    std::vector<std::map<std::string, std::optional<std::uint64_t>>>;
  if (const auto message = Decode<Message>(bytes)) {
    Check(Decode<Message>(Encode(message.Value())).HasValue());
  }
  return 0;
}
