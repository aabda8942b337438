/**
 * @file
 * Any bytes as an announcement and as cache events of a target.
 */

#include "carobtide/daemon/announcement_json.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace carobtide;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  const auto announcement = ParseAnnouncement(text, "fuzz");
  if (!announcement && announcement.GetError().mPeer != "fuzz") {
    std::abort();
  }
  if (announcement && announcement->mMemory < 0) {
    std::abort();
  }
  const auto events = ParseCacheEvents(text, "fuzz");
  if (!events && events.GetError().mPeer != "fuzz") {
    std::abort();
  }
  return 0;
}
