#include "carobtide/bundle.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace carobtide;

namespace {

constexpr const char* kText = R"(name: desk
version: 7
models:
  - name: listing
    version: 3
    pool: atelier-lm
    memory: 14GiB
    min_replicas: 2
    max_replicas: 4
    weight: 2.5
    adapters:
      - {name: bags, version: 2, memory: 200MiB}
      - {name: straps, memory: 100MiB}
  - {name: lugs, pool: atelier-lm, memory: 8GiB}
services:
  - name: orders
    pool: order-desk
    idempotent: ["GET /stock", "/health"]
    key_optional: true
    timeout: 10s
callers:
  - name: fitters
    tokens: [fitters-token-0001, fitters-token-0002]
    models: [lugs]
    services: ["*"]
    priority: interactive
    share: 2
    max_concurrent: 50
    max_tokens_per_second: 900
  - {name: all, tokens: [all-token-00000001], models: ["*"]}
classes:
  - {class: interactive, first_byte: 1s, whole: 20s}
store: {loads_per_second: 1.5, max_concurrent_loads: 6, adapter_concurrency: 50}
)";

std::string FaultsOf(const std::string& aText)
{
  const auto parsed = ParseBundle(aText);
  std::string text;
  if (const auto* faults = std::get_if<std::vector<YamlFault>>(&parsed)) {
    for (const YamlFault& fault : *faults) {
      text += fault.ToString() + "\n";
    }
  }
  return text;
}

std::string Replace(std::string aText, const std::string& aFrom,
                    const std::string& aTo)
{
  const auto at = aText.find(aFrom);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

} // namespace

TEST_CASE("a full bundle is read")
{
  REQUIRE(FaultsOf(kText).empty());
  const auto bundle = std::get<Bundle>(ParseBundle(kText));
  CHECK(bundle.mName == "desk");
  CHECK(bundle.mVersion == 7);
  CHECK(bundle.mDigest == ComputeDigest(kText));
  REQUIRE(bundle.mModels.size() == 2);
  const ModelSpec& model = bundle.mModels[0];
  CHECK(model.mVersion == 3);
  CHECK(model.mPool == "atelier-lm");
  CHECK(model.mMemory == 14 * kGiB);
  CHECK(model.mMinReplicas == 2);
  CHECK(model.mMaxReplicas == 4);
  CHECK(model.mWeight == 2.5);
  REQUIRE(model.mAdapters.size() == 2);
  CHECK(model.mAdapters[0].mVersion == 2);
  CHECK(model.mAdapters[1].mMemory == 100 * kMiB);
  CHECK(bundle.mModels[1].mMinReplicas == 1);
  REQUIRE(bundle.mServices.size() == 1);
  CHECK(bundle.mServices[0].mKeyOptional);
  CHECK(bundle.mServices[0].mTimeout == 10s);
  CHECK(bundle.mServices[0].mIdempotentPaths.size() == 2);
  REQUIRE(bundle.mCallers.size() == 2);
  CHECK(bundle.mCallers[0].mPriority == PriorityClass::Interactive);
  CHECK(bundle.mCallers[0].mShare == 2.0);
  CHECK(bundle.mCallers[0].mMaxConcurrent == 50);
  CHECK(bundle.mCallers[0].mMaxTokensPerSecond == 900);
  CHECK(bundle.mStore.mLoadsPerSecond == 1.5);
  CHECK(bundle.mStore.mMaxConcurrentLoads == 6);
  CHECK(bundle.mStore.mAdapterConcurrency == 50);
}

TEST_CASE("lookups find by name, with and without indexes")
{
  auto bundle = std::get<Bundle>(ParseBundle(kText));
  if (GENERATE(false, true)) {
    bundle.mModelIndex.clear();
    bundle.mServiceIndex.clear();
    bundle.mTokenDigests.clear();
  }
  REQUIRE(bundle.FindModel(ModelName("lugs")));
  CHECK(bundle.FindModel(ModelName("lugs"))->mMemory == 8 * kGiB);
  CHECK_FALSE(bundle.FindModel(ModelName("lug")));
  CHECK(bundle.FindAdapter(ModelName("listing"), AdapterName("straps")));
  CHECK_FALSE(bundle.FindAdapter(ModelName("lugs"), AdapterName("straps")));
  CHECK(bundle.FindService(ServiceName("orders")));
  CHECK_FALSE(bundle.FindService(ServiceName("order")));
  REQUIRE(bundle.FindCallerByToken("fitters-token-0002"));
  CHECK(bundle.FindCallerByToken("fitters-token-0002") == &bundle.mCallers[0]);
  CHECK(bundle.FindCallerByToken("all-token-00000001") == &bundle.mCallers[1]);
  CHECK_FALSE(bundle.FindCallerByToken("fitters-token-000"));
  CHECK_FALSE(bundle.FindCallerByToken(""));
}

TEST_CASE("each of many tokens names its caller")
{
  Bundle bundle;
  constexpr int kCallers = 1'000;
  for (int n = 0; n < kCallers; ++n) {
    CallerSpec caller;
    caller.mName = CallerName("caller" + std::to_string(n));
    caller.mTokens = { "first-token-" + std::to_string(n),
                       "second-token-" + std::to_string(n) };
    bundle.mCallers.push_back(caller);
  }
  bundle.BuildIndexes();
  for (const CallerSpec& caller : bundle.mCallers) {
    CHECK(bundle.FindCallerByToken(caller.mTokens[0]) == &caller);
    CHECK(bundle.FindCallerByToken(caller.mTokens[1]) == &caller);
    CHECK_FALSE(bundle.FindCallerByToken(caller.mTokens[0] + "x"));
  }
}

TEST_CASE("classes have their deadlines or the defaults")
{
  const auto bundle = std::get<Bundle>(ParseBundle(kText));
  CHECK(bundle.ClassFor(PriorityClass::Interactive).mWhole == 20s);
  CHECK(bundle.ClassFor(PriorityClass::Standard).mClass ==
        PriorityClass::Standard);
  CHECK(bundle.ClassFor(PriorityClass::Batch).mFirstByte >
        bundle.ClassFor(PriorityClass::Standard).mFirstByte);
}

TEST_CASE("a caller sees only what it is entitled to")
{
  const auto bundle = std::get<Bundle>(ParseBundle(kText));
  const CallerSpec& fitters = bundle.mCallers[0];
  const CallerSpec& all = bundle.mCallers[1];
  CHECK(IsEntitledToModel(fitters, ModelName("lugs")));
  CHECK_FALSE(IsEntitledToModel(fitters, ModelName("listing")));
  CHECK(IsEntitledToService(fitters, ServiceName("orders")));
  CHECK(IsEntitledToModel(all, ModelName("listing")));
  CHECK_FALSE(IsEntitledToService(all, ServiceName("orders")));
}

TEST_CASE("each wrong entry is one fault at its path")
{
  struct Row
  {
    const char* mFrom;
    const char* mTo;
    const char* mFault;
  };
  const auto row = GENERATE(
    Row{ "version: 7", "version: 0", "2:10: version: " },
    Row{ "name: desk", "name: a/b", "1:7: name: " },
    Row{ "8GiB}", "8GiB}\n  - {name: lugs, pool: p, memory: 1GiB}",
         ": models[2].name: " },
    Row{ "memory: 8GiB", "memory: 0B", ": models[1].memory: " },
    Row{ ", memory: 8GiB", "", ": models[1].memory: " },
    Row{ "pool: atelier-lm, ", "", ": models[1].pool: " },
    Row{ "max_replicas: 4", "max_replicas: 1", ": models[0].max_replicas: " },
    Row{ "min_replicas: 2", "min_replicas: 0", ": models[0].min_replicas: " },
    Row{ "weight: 2.5", "weight: -1", ": models[0].weight: " },
    Row{ "name: straps", "name: bags", ": models[0].adapters[1].name: " },
    Row{ "200MiB", "200MB", ": models[0].adapters[0].memory: " },
    Row{ "timeout: 10s", "timeout: 0s", ": services[0].timeout: " },
    Row{ "GET /stock", "get /stock", ": services[0].idempotent[0]: " },
    Row{ "GET /stock", "GET  /stock", ": services[0].idempotent[0]: " },
    Row{ "GET /stock", "GET stock", ": services[0].idempotent[0]: " },
    Row{ "GET /stock", "GET /a/../b", ": services[0].idempotent[0]: " },
    Row{ "GET /stock", "GET /a?b", ": services[0].idempotent[0]: " },
    Row{ "/health", "/he%61lth", ": services[0].idempotent[1]: " },
    Row{ "name: all", "name: fitters", ": callers[1].name: " },
    Row{ "all-token-00000001", "short", ": callers[1].tokens[0]: " },
    Row{ "all-token-00000001", "fitters-token-0001",
         ": callers[1].tokens[0]: " },
    Row{ "[all-token-00000001]", "[]", ": callers[1].tokens: " },
    Row{ "models: [lugs]", "models: [lamps]", ": callers[0].models[0]: " },
    Row{ "priority: interactive", "priority: urgent",
         ": callers[0].priority: " },
    Row{ "share: 2", "share: 0", ": callers[0].share: " },
    Row{ "max_concurrent: 50", "max_concurrent: -1",
         ": callers[0].max_concurrent: " },
    Row{ "class: interactive, ", "", ": classes[0].class: " },
    Row{ "whole: 20s", "whole: 20ms", ": classes[0].whole: " },
    Row{ "loads_per_second: 1.5", "loads_per_second: 0",
         ": store.loads_per_second: " },
    Row{ "store:", "stores:", ": stores: expected a known key" },
    Row{ "key_optional", "key_opt", ": services[0].key_opt: expected" });
  const std::string faults = FaultsOf(Replace(kText, row.mFrom, row.mTo));
  INFO(row.mTo << " gave " << faults);
  CHECK(faults.find(row.mFault) != std::string::npos);
  CHECK(std::count(faults.begin(), faults.end(), '\n') == 1);
}
