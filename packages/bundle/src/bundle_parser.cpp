#include "service_call.hpp"

#include "carobtide/bundle/bundle.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace carobtide {

namespace {

/** Shortest bearer token. */
constexpr std::size_t kMinTokenLength = 16;

constexpr std::int64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::int64_t kMaxReplicas = 100'000;
constexpr Bytes kMaxMemory = 1024 * 1024 * kGiB;

std::uint32_t ReadCount(const YamlNode& aNode, std::uint32_t aDefault,
                        std::int64_t aMin, std::int64_t aMax)
{
  return static_cast<std::uint32_t>(aNode.IntegerOr(aDefault, aMin, aMax));
}

/** Names that were seen in a list; reports the second use of one. */
class UniqueNames
{
public:
  void Check(const YamlNode& aNode, const std::string& aName)
  {
    if (!aName.empty() && !mNames.insert(aName).second) {
      aNode.AddFault("expected a name not used before in this list, found '" +
                     aName + "' again");
    }
  }

  bool Contains(const std::string& aName) const
  {
    return mNames.contains(aName);
  }

private:
  std::set<std::string> mNames;
};

/** Reads one bundle text section by section. */
class BundleParser
{
public:
  explicit BundleParser(const YamlNode& aRoot)
    : mRoot(aRoot)
  {
  }

  Bundle Parse()
  {
    mBundle.mName = mRoot.Child("name").RequiredName();
    mBundle.mVersion =
      static_cast<std::uint64_t>(mRoot.Child("version").RequiredInteger(
        1, std::numeric_limits<std::int64_t>::max()));
    ReadModels();
    ReadServices();
    ReadCallers();
    ReadClasses();
    ReadStore();
    return std::move(mBundle);
  }

private:
  void ReadModels()
  {
    for (const YamlNode& node : mRoot.Child("models").Items()) {
      ModelSpec model;
      const YamlNode name = node.Child("name");
      model.mName = ModelName(name.RequiredName());
      mModelNames.Check(name, model.mName.Text());
      model.mVersion = ReadCount(node.Child("version"), 1, 1, kMaxUint32);
      model.mPool = node.Child("pool").RequiredName();
      model.mMemory = node.Child("memory").RequiredSize(1, kMaxMemory);
      ReadReplicas(node, model);
      model.mWeight = node.Child("weight").NumberOr(1.0, 0.001, 1'000'000);
      ReadAdapters(node.Child("adapters"), model);
      mBundle.mModels.push_back(std::move(model));
    }
  }

  static void ReadReplicas(const YamlNode& aNode, ModelSpec& aModel)
  {
    aModel.mMinReplicas =
      ReadCount(aNode.Child("min_replicas"), 1, 1, kMaxReplicas);
    const YamlNode most = aNode.Child("max_replicas");
    aModel.mMaxReplicas = ReadCount(most, 0, 0, kMaxReplicas);
    if (aModel.mMaxReplicas != 0 && aModel.mMaxReplicas < aModel.mMinReplicas) {
      most.AddFault("expected 0 or at least min_replicas, found " +
                    std::to_string(aModel.mMaxReplicas));
    }
  }

  static void ReadAdapters(const YamlNode& aNode, ModelSpec& aModel)
  {
    UniqueNames names;
    for (const YamlNode& node : aNode.Items()) {
      AdapterSpec adapter;
      const YamlNode name = node.Child("name");
      adapter.mName = AdapterName(name.RequiredName());
      names.Check(name, adapter.mName.Text());
      adapter.mVersion = ReadCount(node.Child("version"), 1, 1, kMaxUint32);
      adapter.mMemory = node.Child("memory").RequiredSize(1, kMaxMemory);
      aModel.mAdapters.push_back(std::move(adapter));
    }
  }

  void ReadServices()
  {
    for (const YamlNode& node : mRoot.Child("services").Items()) {
      ServiceSpec service;
      const YamlNode name = node.Child("name");
      service.mName = ServiceName(name.RequiredName());
      mServiceNames.Check(name, service.mName.Text());
      service.mPool = node.Child("pool").RequiredName();
      for (const YamlNode& entry : node.Child("idempotent").Items()) {
        service.mIdempotentPaths.push_back(ReadCallPattern(entry));
      }
      service.mKeyOptional = node.Child("key_optional").BooleanOr(false);
      service.mTimeout = node.Child("timeout").DurationOr(
        service.mTimeout, 1ms, std::chrono::hours(24));
      mBundle.mServices.push_back(std::move(service));
    }
  }

  static std::string ReadCallPattern(const YamlNode& aNode)
  {
    std::string entry = aNode.RequiredText();
    if (!IsCallPattern(entry)) {
      aNode.AddFault("expected \"METHOD /path\" or \"/path\" without escapes, "
                     "dot segments and query, found '" +
                     entry + "'");
    }
    return entry;
  }

  void ReadCallers()
  {
    UniqueNames names;
    for (const YamlNode& node : mRoot.Child("callers").Items()) {
      CallerSpec caller;
      const YamlNode name = node.Child("name");
      caller.mName = CallerName(name.RequiredName());
      names.Check(name, caller.mName.Text());
      ReadTokens(node.Child("tokens"), caller);
      caller.mModels = ReadGrants(node.Child("models"), mModelNames);
      caller.mServices = ReadGrants(node.Child("services"), mServiceNames);
      caller.mPriority =
        ReadClass(node.Child("priority"), PriorityClass::Standard);
      caller.mShare = node.Child("share").NumberOr(1.0, 0.001, 1'000'000);
      caller.mMaxConcurrent =
        ReadCount(node.Child("max_concurrent"), 0, 0, kMaxUint32);
      caller.mMaxTokensPerSecond =
        ReadCount(node.Child("max_tokens_per_second"), 0, 0, kMaxUint32);
      mBundle.mCallers.push_back(std::move(caller));
    }
  }

  void ReadTokens(const YamlNode& aNode, CallerSpec& aCaller)
  {
    const std::vector<YamlNode> items = aNode.Items();
    if (items.empty()) {
      aNode.AddFault("expected a list of at least one token");
    }
    for (const YamlNode& item : items) {
      std::string token = item.RequiredText();
      if (token.size() < kMinTokenLength) {
        item.AddFault("expected a token of at least " +
                      std::to_string(kMinTokenLength) + " characters, found " +
                      std::to_string(token.size()));
      } else if (!mTokens.insert(token).second) {
        item.AddFault("expected a token that no caller has yet");
      }
      aCaller.mTokens.push_back(std::move(token));
    }
  }

  static std::vector<std::string> ReadGrants(const YamlNode& aNode,
                                             const UniqueNames& aKnown)
  {
    std::vector<std::string> grants;
    for (const YamlNode& item : aNode.Items()) {
      std::string grant = item.RequiredText();
      if (grant != "*" && !aKnown.Contains(grant)) {
        item.AddFault("expected \"*\" or a name listed in this bundle, "
                      "found '" +
                      grant + "'");
      }
      grants.push_back(std::move(grant));
    }
    return grants;
  }

  static PriorityClass ReadClass(const YamlNode& aNode, PriorityClass aDefault)
  {
    const std::string name =
      aNode.TextOr(std::string(kPriorityClasses.Name(aDefault)));
    const auto value = kPriorityClasses.Find(name);
    if (!value) {
      aNode.AddFault("expected interactive, standard or batch, found '" + name +
                     "'");
    }
    return value.value_or(aDefault);
  }

  void ReadClasses()
  {
    UniqueNames names;
    for (const YamlNode& node : mRoot.Child("classes").Items()) {
      const YamlNode name = node.Child("class");
      if (!name.IsPresent()) {
        name.AddFault("expected interactive, standard or batch, found "
                      "nothing");
      }
      ClassSpec spec =
        mBundle.ClassFor(ReadClass(name, PriorityClass::Standard));
      names.Check(name, std::string(kPriorityClasses.Name(spec.mClass)));
      constexpr auto kLongest = std::chrono::hours(24 * 7);
      spec.mFirstByte =
        node.Child("first_byte").DurationOr(spec.mFirstByte, 1ms, kLongest);
      const YamlNode whole = node.Child("whole");
      spec.mWhole = whole.DurationOr(spec.mWhole, 1ms, kLongest);
      if (spec.mWhole < spec.mFirstByte) {
        whole.AddFault("expected a duration no shorter than first_byte");
      }
      mBundle.mClasses.push_back(spec);
    }
  }

  void ReadStore()
  {
    const YamlNode node = mRoot.Child("store");
    StoreSpec& store = mBundle.mStore;
    store.mLoadsPerSecond = node.Child("loads_per_second")
                              .NumberOr(store.mLoadsPerSecond, 0.001, 100'000);
    store.mMaxConcurrentLoads =
      ReadCount(node.Child("max_concurrent_loads"), store.mMaxConcurrentLoads,
                1, kMaxReplicas);
    store.mAdapterConcurrency =
      ReadCount(node.Child("adapter_concurrency"), store.mAdapterConcurrency, 1,
                kMaxUint32);
  }

  const YamlNode& mRoot;
  Bundle mBundle;
  UniqueNames mModelNames;
  UniqueNames mServiceNames;
  std::set<std::string> mTokens;
};

} // namespace

std::variant<Bundle, std::vector<YamlFault>> ParseBundle(std::string_view aText)
{
  const YamlDocument document(aText);
  const YamlNode root = document.Root();
  Bundle bundle = BundleParser(root).Parse();
  if (std::vector<YamlFault> faults = document.Faults(); !faults.empty()) {
    return faults;
  }
  bundle.mDigest = ComputeDigest(aText);
  bundle.BuildIndexes();
  return bundle;
}

} // namespace carobtide
