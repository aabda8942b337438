#pragma once

/**
 * @file
 * The aggregate Bundle: models, adapters, services, callers and priorities of
 * one version. Immutable once parsed.
 */

#include "carobtide/base.hpp"
#include "carobtide/settings/yaml_reader.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace carobtide {

/** Classes of work, most urgent first. */
enum class PriorityClass : std::uint8_t
{
  /** A person waits for the answer. */
  Interactive,
  /** A program waits for the answer. */
  Standard,
  /** The answer is due by a stated time, hours away. */
  Batch,
};

inline constexpr EnumTable<PriorityClass, 3> kPriorityClasses{ { {
  { PriorityClass::Interactive, "interactive" },
  { PriorityClass::Standard, "standard" },
  { PriorityClass::Batch, "batch" },
} } };

/** Number of priority classes, for tables indexed by class. */
inline constexpr std::size_t kPriorityClassCount = 3;

/** An adapter of a model. */
struct AdapterSpec
{
  AdapterName mName;
  std::uint32_t mVersion = 1;
  /** Accelerator memory that one loaded copy takes. */
  Bytes mMemory = 0;
};

/** A model as the bundle serves it. */
struct ModelSpec
{
  ModelName mName;
  std::uint32_t mVersion = 1;
  /** Engine pool (replica set) that may hold it, e.g. "atelier-lm". */
  std::string mPool;
  /** Accelerator memory of the weights of one replica. */
  Bytes mMemory = 0;
  /** Least number of replicas; at least one. */
  std::uint32_t mMinReplicas = 1;
  /** Most replicas; 0 leaves it to the planner. */
  std::uint32_t mMaxReplicas = 0;
  /** Weight of this model when demand exceeds accelerators. */
  double mWeight = 1.0;
  std::vector<AdapterSpec> mAdapters;
};

/** A plain service that is routed to beside the engines. */
struct ServiceSpec
{
  ServiceName mName;
  /** Pool of targets that serve it, e.g. "order-desk". */
  std::string mPool;
  /**
   * Calls that may be repeated: "METHOD /prefix", or "/prefix" for any
   * method. See IsIdempotentCall.
   */
  std::vector<std::string> mIdempotentPaths;
  /** True lets a non-idempotent call without a key be tried exactly once. */
  bool mKeyOptional = false;
  /** An attempt that takes longer has an unknown outcome. */
  Duration mTimeout = std::chrono::seconds(30);
};

/** Limits and entitlements of a caller. */
struct CallerSpec
{
  CallerName mName;
  /** Bearer tokens; any of them names this caller. */
  std::vector<std::string> mTokens;
  /** Models it may use; "*" stands for all. */
  std::vector<std::string> mModels;
  /** Services it may use; "*" stands for all. */
  std::vector<std::string> mServices;
  PriorityClass mPriority = PriorityClass::Standard;
  /** Relative share when callers compete. */
  double mShare = 1.0;
  /** Most requests in flight over one daemon; 0 is unlimited. */
  std::uint32_t mMaxConcurrent = 0;
  /** Most generated tokens per second over one daemon; 0 is unlimited. */
  std::uint32_t mMaxTokensPerSecond = 0;
};

/** Deadlines of a class of work. */
struct ClassSpec
{
  PriorityClass mClass = PriorityClass::Standard;
  /** Time to the first byte, from arrival. */
  Duration mFirstByte = std::chrono::seconds(5);
  /** Time to the whole answer, from arrival. */
  Duration mWhole = std::chrono::minutes(5);
};

/** Limits of the weight store and of the adapters' loading. */
struct StoreSpec
{
  double mLoadsPerSecond = 3.0;
  std::uint32_t mMaxConcurrentLoads = 9;
  /** Adapter loads in flight beyond this number slow each other down. */
  std::uint32_t mAdapterConcurrency = 70;
};

/** SHA-256 digest of a bearer token and the caller that it names. */
struct TokenDigest
{
  std::array<std::uint8_t, 32> mDigest{};
  /** Index into Bundle::mCallers. */
  std::uint32_t mCaller = 0;
};

/**
 * One version of a bundle.
 *
 * ParseBundle returns it with its indexes built. Whoever fills or changes one
 * by hand calls BuildIndexes() last; until then lookups scan the lists.
 *
 * Thread safety: immutable once the indexes are built; then safe from any
 * thread.
 */
struct Bundle
{
  std::string mName;
  std::uint64_t mVersion = 0;
  /** Digest of the text as submitted; the identity beside the version. */
  Digest mDigest;
  std::vector<ModelSpec> mModels;
  std::vector<ServiceSpec> mServices;
  std::vector<CallerSpec> mCallers;
  std::vector<ClassSpec> mClasses;
  StoreSpec mStore;

  /** Builds the indexes of the lookups below; takes the lists as they are. */
  void BuildIndexes();

  /** Lookups by name; null if there is none of that name. */
  const ModelSpec* FindModel(const ModelName& aName) const;
  const AdapterSpec* FindAdapter(const ModelName& aModel,
                                 const AdapterName& aAdapter) const;
  const ServiceSpec* FindService(const ServiceName& aName) const;
  /** Deadlines of a class; defaults if the bundle states none. */
  const ClassSpec& ClassFor(PriorityClass aClass) const;

  /**
   * The caller that a bearer token names, or null. The time it takes depends on
   * no token but the given one.
   */
  const CallerSpec* FindCallerByToken(std::string_view aToken) const;

  /** Indexes into the lists, ordered by name. */
  std::vector<std::uint32_t> mModelIndex;
  std::vector<std::uint32_t> mServiceIndex;
  /** Ordered by first byte. */
  std::vector<TokenDigest> mTokenDigests;
};

/** True if the caller may use the model. */
bool IsEntitledToModel(const CallerSpec& aCaller, const ModelName& aModel);

/** True if the caller may use the service. */
bool IsEntitledToService(const CallerSpec& aCaller,
                         const ServiceName& aService);

/**
 * True if the bundle lists a call of the service as idempotent.
 *
 * `aPath` is the path below the service, with or without query. A prefix
 * covers whole segments only: "/stock" covers "/stock" and "/stock/7", not
 * "/stockroom". No method is idempotent unless listed. A path with a percent
 * escape, a backslash, an empty or a dot segment matches nothing, because the
 * service may read it as another path than the one compared here.
 *
 * Thread safety: any thread.
 */
bool IsIdempotentCall(const ServiceSpec& aService, std::string_view aMethod,
                      std::string_view aPath);

/** Parses and checks a bundle text; either a bundle or every fault. */
std::variant<Bundle, std::vector<YamlFault>> ParseBundle(
  std::string_view aText);

} // namespace carobtide
