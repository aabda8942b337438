#pragma once

/**
 * @file
 * Records of open requests and running attempts.
 */

#include "carobtide/routing/caller_table.hpp"
#include "carobtide/routing/length_predictor.hpp"
#include "carobtide/routing/request_queue.hpp"
#include "carobtide/routing/target_table.hpp"
#include "carobtide/routing/types.hpp"
#include "carobtide/routing/work_class.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace carobtide {

/** State of an open request. */
enum class RequestState : std::uint8_t
{
  /** Waits for a slot. */
  Queued,
  /** At least one attempt runs. */
  Running,
  /** Waits to run alone on a target. */
  Suspect,
};

/** An open request. */
struct RequestRecord
{
  RequestFacts mFacts;
  QueueKey mKey;
  LengthKey mLengthKey;
  RequestState mState = RequestState::Queued;
  Instant mArrivedAt;
  /** Expected generated tokens, and the seconds for which a slot is used. */
  double mExpectedTokens = 0.0;
  double mExpectedSeconds = 0.0;
  /** Tokens received from the attempt that reported last. */
  double mTokens = 0.0;
  std::uint32_t mAttempts = 0;
  /** The attempts whose connection was refused. */
  std::uint32_t mRefusedConnects = 0;
  /** Running attempts. */
  std::vector<AttemptId> mRunning;
  std::vector<TargetIndex> mTried;
};

/** A running attempt. */
struct AttemptRecord
{
  RequestId mRequest;
  TargetIndex mTarget = kNoTarget;
  RouteIndex mRoute = kNoRoute;
  Incarnation mIncarnation;
  Instant mDispatchedAt;
  std::optional<Instant> mFirstByteAt;
  Instant mLastTokensAt;
  /** Tokens of the last report; the next is expected to bring as many. */
  std::uint32_t mLastReportTokens = 1;
  double mTokens = 0.0;
  bool mIsLong = false;
  bool mIsHedge = false;
  /** True for the attempt of a suspect, which runs alone on its target. */
  bool mIsIsolated = false;
};

using RequestTable = std::unordered_map<RequestId, RequestRecord>;
using AttemptTable = std::unordered_map<AttemptId, AttemptRecord>;

} // namespace carobtide
