/**
 * @file
 * Any bytes as a settings text: settings or faults with their places.
 */

#include "carobtide/settings.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace carobtide;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  const auto parsed = ParseDaemonSettings(text);
  if (const auto* faults = std::get_if<std::vector<YamlFault>>(&parsed)) {
    if (faults->empty()) {
      std::abort();
    }
    for (const YamlFault& fault : *faults) {
      if (fault.mLine < 0 || fault.ToString().empty()) {
        std::abort();
      }
    }
  } else if (std::get<DaemonSettings>(parsed).mName.IsEmpty()) {
    std::abort();
  }
  return 0;
}
