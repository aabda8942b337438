#pragma once

/**
 * @file
 * Requests, attempts and effects of the router.
 */

#include "carobtide/base.hpp"
#include "carobtide/bundle.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace carobtide {

/** What the router must know of a request to admit and route it. */
struct RequestFacts
{
  RequestId mId;
  CallerName mCaller;
  /** Exactly one of model and service is set. */
  ModelName mModel;
  AdapterName mAdapter;
  ServiceName mService;
  PriorityClass mPriority = PriorityClass::Standard;
  /** Only idempotent requests are retried or hedged. */
  bool mIdempotent = true;
  bool mStreaming = false;
  /** Digest of model and content, for quarantine. */
  Digest mFingerprint;
  /** Rolling hashes of the prompt's prefixes, shortest first. */
  std::vector<std::uint64_t> mPrefixHashes;
  std::uint32_t mPromptTokens = 0;
  /** Upper bound on generated tokens; 0 if unknown. */
  std::uint32_t mMaxTokens = 0;
  /** Absolute; Instant::max() if none. */
  Instant mFirstByteDeadline = Instant::max();
  Instant mDeadline = Instant::max();
};

/** One try of a request on one target. Unique within the daemon process. */
using AttemptId = NumericId<struct AttemptIdTag>;

/** Send the request to a target. */
struct DispatchAttempt
{
  RequestId mRequest;
  AttemptId mAttempt;
  TargetName mTarget;
  Endpoint mAddress;
  /** True if another attempt of the request is still running. */
  bool mHedge = false;
  /** Goes with the request to the target; 0 is most urgent. */
  std::uint8_t mUrgency = 0;
};

/** Answer the caller that the request was not run. */
struct RefuseRequest
{
  RequestId mRequest;
  ErrorCode mCode = ErrorCode::Overloaded;
  Duration mRetryAfter{ 0 };
  std::string mDetail;
};

/** Cancel an attempt and ignore whatever still comes from it. */
struct CancelAttempt
{
  RequestId mRequest;
  AttemptId mAttempt;
};

/** No attempt can succeed: answer the caller with this failure. */
struct FailRequest
{
  RequestId mRequest;
  ErrorCode mCode = ErrorCode::ConnectionLost;
  std::string mDetail;
};

/**
 * A request was in flight on a target that crashed. Daemons tell each other,
 * so that the crashes of one content add up wherever it is sent.
 */
struct CrashReport
{
  /** Of the request's model and content. */
  Digest mFingerprint;
  /** The process that crashed: two daemons may report the same crash. */
  TargetName mTarget;
  Incarnation mIncarnation;

  bool operator==(const CrashReport&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFingerprint, mTarget, mIncarnation);
  }
};

/** Tell every daemon what was in flight on a target that crashed. */
struct AnnounceCrash
{
  CrashReport mCrashReport;
};

/** Tell every daemon about a fingerprint that crashed targets. */
struct AnnounceQuarantine
{
  Digest mFingerprint;
};

using RouterEffect =
  std::variant<DispatchAttempt, RefuseRequest, CancelAttempt, FailRequest,
               AnnounceCrash, AnnounceQuarantine>;

using RouterEffects = std::vector<RouterEffect>;

/** How an attempt ended. */
enum class AttemptEnd : std::uint8_t
{
  /** A whole answer arrived. */
  Whole,
  /** Refused before any byte was sent. */
  ConnectRefused,
  /** The target answered that it is overloaded and did not run it. */
  Rejected,
  /** The connection broke before the answer was whole. */
  ConnectionLost,
  TimedOut,
  /** The caller went away. */
  CallerGone,
};

inline constexpr EnumTable<AttemptEnd, 6> kAttemptEnds{ { {
  { AttemptEnd::Whole, "whole" },
  { AttemptEnd::ConnectRefused, "connect-refused" },
  { AttemptEnd::Rejected, "rejected" },
  { AttemptEnd::ConnectionLost, "connection-lost" },
  { AttemptEnd::TimedOut, "timed-out" },
  { AttemptEnd::CallerGone, "caller-gone" },
} } };

/** In-flight counts that a peer shares, so that daemons do not herd. */
struct InFlightHint
{
  TargetName mTarget;
  std::uint32_t mInFlight = 0;
  /** How many of them are long. */
  std::uint32_t mLong = 0;
  /** Slowness that the peer has just observed itself; 1 is normal. */
  float mSlowness = 1.0F;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTarget, mInFlight, mLong, mSlowness);
  }
};

/** Prefix hashes that an engine reports as cached or evicted. */
struct CacheEvent
{
  TargetName mTarget;
  std::uint64_t mPrefixHash = 0;
  bool mEvicted = false;
};

} // namespace carobtide
