/**
 * @file
 * Any bytes as a ledger command and as a snapshot.
 */

#include "carobtide/ledger.hpp"
#include "carobtide/base/codec.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

using namespace carobtide;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  Ledger ledger;
  if (const auto command = Decode<LedgerCommand>(text)) {
    ledger.Apply(command.Value());
    ledger.Apply(command.Value());
  }
  Ledger restored;
  if (restored.Load(text).HasValue()) {
    Ledger again;
    if (!again.Load(restored.Save()).HasValue() ||
        again.Save() != restored.Save()) {
      std::abort();
    }
  }
  return 0;
}
