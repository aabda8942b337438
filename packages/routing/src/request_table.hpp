#pragma once

/**
 * @file
 * Records of the requests and attempts that have not ended.
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

/** Where a request stands. */
enum class RequestState : std::uint8_t
{
  /** Waits for a slot. */
  Queued,
  /** At least one attempt runs. */
  Running,
  /** Waits to run alone. */
  Suspect,
};

/** One request that has not ended. */
struct RequestRecord
{
  RequestFacts mFacts;
  QueueKey mKey;
  LengthKey mLengthKey;
  RequestState mState = RequestState::Queued;
  Instant mArrivedAt;
  /** Expected tokens, and seconds of a slot. */
  double mExpectedTokens = 0.0;
  double mExpectedSeconds = 0.0;
  /** Tokens seen of the attempt that wins. */
  double mTokens = 0.0;
  std::uint32_t mAttempts = 0;
  /** Attempts among them whose connection was refused. */
  std::uint32_t mRefusedConnects = 0;
  /** Attempts that run now. */
  std::vector<AttemptId> mRunning;
  std::vector<TargetIndex> mTried;
};

/** One running attempt. */
struct AttemptRecord
{
  RequestId mRequest;
  TargetIndex mTarget = kNoTarget;
  RouteIndex mRoute = kNoRoute;
  Incarnation mIncarnation;
  Instant mDispatchedAt;
  std::optional<Instant> mFirstByteAt;
  Instant mTokensAt;
  /** Tokens of the last report: the next is expected to be alike. */
  std::uint32_t mChunk = 1;
  double mTokens = 0.0;
  bool mIsLong = false;
  bool mIsHedge = false;
  /** Runs alone on its target. */
  bool mIsIsolated = false;
};

using RequestTable = std::unordered_map<RequestId, RequestRecord>;
using AttemptTable = std::unordered_map<AttemptId, AttemptRecord>;

} // namespace carobtide
