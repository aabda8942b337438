/**
 * @file
 * Any bytes as each message between daemons.
 */

#include "../src/peer_messages.hpp"

#include "carobtide/base/codec.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace carobtide;

namespace {

/** What decodes must encode and decode again. */
template<class Message>
void DecodeAs(std::string_view aBytes)
{
  const auto message = Decode<Message>(aBytes);
  if (message && !Decode<Message>(Encode(message.Value()))) {
    std::abort();
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  DecodeAs<ConsensusMessage>(bytes);
  DecodeAs<BootstrapProbe>(bytes);
  DecodeAs<BootstrapStatus>(bytes);
  DecodeAs<BundleQuery>(bytes);
  DecodeAs<BundleInForce>(bytes);
  DecodeAs<EpochNotice>(bytes);
  DecodeAs<std::vector<Announcement>>(bytes);
  DecodeAs<HintsMessage>(bytes);
  DecodeAs<HeartbeatMessage>(bytes);
  return 0;
}
