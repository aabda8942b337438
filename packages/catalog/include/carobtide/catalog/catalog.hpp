#pragma once

/**
 * @file
 * A complete configuration of what is served.
 */

#include "carobtide/base.hpp"
#include "carobtide/catalog/organisation.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carobtide {

/** What may be repeated follows from the kind of a route alone. */
enum class RequestKind : std::uint8_t
{
  /** May run any number of times. */
  Idempotent,
  /** Runs at most once for each request id. */
  AtMostOnce,
  /** A stream of events that may not be started again elsewhere. */
  Stream,
  /** A stream that another target may continue after the last event. */
  ResumableStream,
};

inline constexpr EnumTable<RequestKind, 4> kRequestKinds{ { {
  { RequestKind::Idempotent, "idempotent" },
  { RequestKind::AtMostOnce, "at-most-once" },
  { RequestKind::Stream, "stream" },
  { RequestKind::ResumableStream, "resumable-stream" },
} } };

constexpr bool IsStream(RequestKind aKind)
{
  return aKind == RequestKind::Stream || aKind == RequestKind::ResumableStream;
}

/** True if a request of this kind may run more than once. */
constexpr bool IsRepeatable(RequestKind aKind)
{
  return aKind == RequestKind::Idempotent ||
         aKind == RequestKind::ResumableStream;
}

/** One service behind a route and its share of the requests. */
struct ServiceShare
{
  ServiceName mService;
  std::uint32_t mWeight = 1;
};

/** Requests of one host and path prefix, and how they are served. */
struct Route
{
  std::string mName;
  std::string mHost;
  /** Begins and ends with a slash. */
  std::string mPathPrefix;
  RequestKind mKind = RequestKind::AtMostOnce;
  /** A request gets its final answer within this time. */
  Duration mTimeout{ 0 };
  /** An answer (a stream's first event) within this time is in time. */
  Duration mObjective{ 0 };
  /** Longest pause between a stream's events; zero if not stated. */
  Duration mPauseObjective{ 0 };
  /** 0 is the most urgent. */
  std::uint32_t mPriority = 0;
  /** Most targets that one request may be sent to. */
  std::uint32_t mMaxAttempts = 1;
  /** Its requests need no key, also if the catalog has organisations. */
  bool mIsPublic = false;
  std::vector<ServiceShare> mServices;
};

/** A model that a service's engines may hold. */
struct CatalogModel
{
  ModelName mName;
  /** Weights in millions of bytes, as the operators state them. */
  double mMegabytes = 0;
  /** Time to load from the store, a target's disk and its host memory. */
  Duration mStoreLoad{ 0 };
  Duration mDiskLoad{ 0 };
  Duration mMemoryLoad{ 0 };
  /** Adapters are named a1 to aN. */
  std::uint32_t mAdapters = 0;
  double mAdapterMegabytes = 0;
};

/** What a service of model engines is made of. */
struct EngineSpec
{
  /** Requests that one engine runs at once. */
  std::uint32_t mSlots = 1;
  /** Tokens that one engine's cache holds. */
  std::uint64_t mCacheTokens = 0;
  /** Room for weights and adapters on one engine, in millions of bytes. */
  double mMegabytes = 0;
  std::uint32_t mAdapterSlots = 0;
  /** Loads from the weight store that may begin a second, over all targets. */
  double mLoadsPerSecond = 0;
  std::vector<CatalogModel> mModels;

  const CatalogModel* FindModel(const ModelName& aName) const;
};

/** A pool of targets. */
struct CatalogService
{
  ServiceName mName;
  std::string mHealthPath;
  /** Connections that one target accepts from all callers together. */
  std::uint32_t mMaxConnections = 0;
  std::optional<EngineSpec> mEngine;
};

/** Bounds on what a caller may send, and how slowly. */
struct CallerLimits
{
  Bytes mMaxHeaderBytes = 16 * kKiB;
  Bytes mMaxBodyBytes = 4 * kMiB;
  Duration mHeaderTimeout = std::chrono::seconds(3);
  Duration mIdleTimeout = std::chrono::seconds(15);
};

/** One version of everything that is served. */
struct Catalog
{
  std::uint64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<CatalogService> mServices;
  CallerLimits mLimits;
  /** Empty: requests carry no keys. */
  std::vector<Organisation> mOrganisations;

  const CatalogService* FindService(const ServiceName& aName) const;
};

/**
 * How long a resumable stream may be open, taken up again at its end.
 *
 * Thread safety: any thread.
 */
Duration LongestStream(const Catalog& aCatalog);

/**
 * Checks what the types cannot express: every route names known services, no
 * two share host and prefix, weights add up to more than 0, timeouts are
 * positive; organisations have different names without control characters, no
 * two share a key, and limits are finite and not negative. Malformed with the
 * route or the organisation and the reason otherwise; never with a key.
 *
 * Thread safety: any thread.
 */
Result<Unit> CheckCatalog(const Catalog& aCatalog);

} // namespace carobtide
