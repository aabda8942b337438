/**
 * @file
 * Any bytes as a bundle text: a bundle whose lookups work, or faults.
 */

#include "carobtide/bundle.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

using namespace carobtide;

namespace {

void Check(bool aHolds)
{
  if (!aHolds) {
    std::abort();
  }
}

/** Everything that a bundle lists is found by its name or token. */
void CheckLookups(const Bundle& aBundle)
{
  for (const ModelSpec& model : aBundle.mModels) {
    Check(aBundle.FindModel(model.mName) == &model);
  }
  for (const ServiceSpec& service : aBundle.mServices) {
    Check(aBundle.FindService(service.mName) == &service);
  }
  for (const CallerSpec& caller : aBundle.mCallers) {
    Check(aBundle.FindCallerByToken(caller.mTokens.at(0)) == &caller);
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  const auto parsed = ParseBundle(text);
  const auto* bundle = std::get_if<Bundle>(&parsed);
  if (!bundle) {
    Check(!std::get<std::vector<YamlFault>>(parsed).empty());
    return 0;
  }
  CheckLookups(*bundle);
  BundleRegistry registry;
  const auto outcome =
    registry.Apply(1, SubmitBundle{ std::string(text), "fuzz" });
  Check(outcome.mCode == ErrorCode::Ok);
  BundleRegistry restored;
  Check(restored.Load(registry.Save()).HasValue());
  return 0;
}
