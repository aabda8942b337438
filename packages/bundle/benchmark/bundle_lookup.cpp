/**
 * @file
 * Cost of a bundle: parsing and the lookups that each request makes, at the
 * size of today and with many models and callers.
 */

#include "carobtide/bundle.hpp"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>

using namespace carobtide;

namespace {

struct Sizes
{
  std::size_t mModels;
  std::size_t mAdaptersEach;
  std::size_t mCallers;
};

std::string MakeText(const Sizes& aSizes)
{
  std::string text = "name: bench\nversion: 1\nmodels:\n";
  for (std::size_t n = 0; n < aSizes.mModels; ++n) {
    text += "  - name: model-" + std::to_string(n) +
            "\n    pool: lm\n    memory: 8GiB\n    min_replicas: 2\n";
    text += "    adapters:\n";
    for (std::size_t k = 0; k < aSizes.mAdaptersEach; ++k) {
      text += "      - {name: a" + std::to_string(k) + ", memory: 100MiB}\n";
    }
  }
  text += "callers:\n";
  for (std::size_t n = 0; n < aSizes.mCallers; ++n) {
    const std::string number = std::to_string(n);
    text.append("  - name: caller-").append(number);
    text.append("\n    tokens: [caller-token-000000").append(number);
    text.append("]\n    models: [model-")
      .append(std::to_string(n % aSizes.mModels))
      .append(", \"*\"]\n");
  }
  return text;
}

/** Processor time, so that a busy machine does not change the figures. */
double MicrosEach(std::clock_t aStart, int aCount)
{
  return 1e6 * static_cast<double>(std::clock() - aStart) / CLOCKS_PER_SEC /
         aCount;
}

void Measure(const Sizes& aSizes)
{
  const std::string text = MakeText(aSizes);
  constexpr int kParses = 5;
  const auto parsing = std::clock();
  Bundle bundle;
  for (int n = 0; n < kParses; ++n) {
    bundle = std::get<Bundle>(ParseBundle(text));
  }
  std::printf("%zu models, %zu adapters, %zu callers, text %zu KiB\n",
              aSizes.mModels, aSizes.mModels * aSizes.mAdaptersEach,
              aSizes.mCallers, text.size() / 1024);
  std::printf("  parse                  %10.1f ms\n",
              MicrosEach(parsing, kParses) / 1e3);
  constexpr int kLookups = 20'000;
  std::size_t found = 0;
  const auto looking = std::clock();
  for (int n = 0; n < kLookups; ++n) {
    const auto model = ModelName(
      "model-" + std::to_string(static_cast<unsigned>(n) % aSizes.mModels));
    found += bundle.FindModel(model) ? 1 : 0;
    found += bundle.FindAdapter(model, AdapterName("a0")) ? 1 : 0;
  }
  std::printf("  model and adapter      %10.2f us\n",
              MicrosEach(looking, kLookups));
  const std::string token =
    "caller-token-000000" + std::to_string(aSizes.mCallers - 1);
  const auto entitling = std::clock();
  for (int n = 0; n < kLookups; ++n) {
    const CallerSpec* caller = bundle.FindCallerByToken(token);
    found += caller && IsEntitledToModel(*caller, ModelName("model-0")) ? 1 : 0;
  }
  std::printf("  token and entitlement  %10.2f us\n",
              MicrosEach(entitling, kLookups));
  if (found != 3 * kLookups) {
    std::abort();
  }
}

} // namespace

int main()
{
  Measure(Sizes{ 34, 3, 7 });
  Measure(Sizes{ 870, 3, 100 });
  Measure(Sizes{ 870, 3, 2000 });
  return 0;
}
