#pragma once

/**
 * @file
 * Requests, attempts and effects of the router.
 */

#include "carobtide/base.hpp"
#include "carobtide/bundle.hpp"
#include "carobtide/fleet/crash_messages.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace carobtide {

/** Properties of a request that admission and routing depend on. */
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
  /** Digest of the model and the content, for quarantine. */
  Digest mFingerprint;
  /** Rolling hashes of the prompt's prefixes, shortest first. */
  std::vector<std::uint64_t> mPrefixHashes;
  std::uint32_t mPromptTokens = 0;
  /** Upper bound on generated tokens; 0 if unknown. */
  std::uint32_t mMaxTokens = 0;
  /** Points in time; Instant::max() if there is no deadline. */
  Instant mFirstByteDeadline = Instant::max();
  Instant mDeadline = Instant::max();
};

/** Identifies one attempt of a request; unique within the daemon process. */
using AttemptId = NumericId<struct AttemptIdTag>;

/** Effect: send the request to a target. */
struct DispatchAttempt
{
  RequestId mRequest;
  AttemptId mAttempt;
  TargetName mTarget;
  Endpoint mAddress;
  /** True if another attempt of the request is running. */
  bool mHedge = false;
  /** Sent to the target with the request; 0 is the most urgent. */
  std::uint8_t mUrgency = 0;
};

/** Effect: answer the caller that the request was not run. */
struct RefuseRequest
{
  RequestId mRequest;
  ErrorCode mCode = ErrorCode::Overloaded;
  Duration mRetryAfter{ 0 };
  std::string mDetail;
};

/** Effect: cancel an attempt and ignore any further data from it. */
struct CancelAttempt
{
  RequestId mRequest;
  AttemptId mAttempt;
};

/** Effect: answer the caller that the request failed after an attempt. */
struct FailRequest
{
  RequestId mRequest;
  ErrorCode mCode = ErrorCode::ConnectionLost;
  std::string mDetail;
};

/** Effect: send a crash report to all daemons. */
struct AnnounceCrash
{
  CrashReport mCrashReport;
};

/** Effect: tell all daemons to quarantine a fingerprint. */
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
  /** The full answer arrived. */
  Whole,
  /** The connection was refused; no byte was sent. */
  ConnectRefused,
  /** The target is overloaded and did not run the request. */
  Rejected,
  /** The connection broke before the answer was complete. */
  ConnectionLost,
  TimedOut,
  /** The caller disconnected. */
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

/** A daemon's load on a target, shared so that daemons do not herd. */
struct InFlightHint
{
  TargetName mTarget;
  std::uint32_t mInFlight = 0;
  /** Long requests among them. */
  std::uint32_t mLong = 0;
  /**
   * Observed over expected latency, if the daemon measured it itself a moment
   * ago; 1 is normal.
   */
  float mSlowness = 1.0F;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTarget, mInFlight, mLong, mSlowness);
  }
};

/** A prompt prefix that an engine has cached or evicted. */
struct CacheEvent
{
  TargetName mTarget;
  std::uint64_t mPrefixHash = 0;
  bool mEvicted = false;
};

} // namespace carobtide
