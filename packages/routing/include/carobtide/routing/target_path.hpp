#pragma once

/**
 * @file
 * Whether this daemon's own connections reach a target, whatever others say of
 * that target.
 */

#include "carobtide/base.hpp"

#include <cstdint>

namespace carobtide {

/** What is known of the way from this daemon to a target. */
enum class PathState : std::uint8_t
{
  Works,
  /** New connections fail; those that are open may go on. */
  Refused,
  /** A connection could not be made; not confirmed yet. */
  Doubtful,
  /** Nothing gets through, on open connections neither. */
  Silent,
};

inline constexpr EnumTable<PathState, 4> kPathStates{ { {
  { PathState::Works, "works" },
  { PathState::Refused, "refused" },
  { PathState::Doubtful, "doubtful" },
  { PathState::Silent, "silent" },
} } };

/** How a target's address answered a connection that was made to test it. */
enum class PathEvidence : std::uint8_t
{
  Accepted,
  Refused,
  NoReply,
};

/**
 * Evidence of one path, and when to test it again. A path that fails is brought
 * back by a test connection, not by a caller's request. Sans-I/O.
 *
 * Answers: links that drop packets, refuse new connections or reset open ones,
 * to one target or to all, while heartbeats go on elsewhere.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class TargetPath
{
public:
  PathState State() const { return mState; }

  /** True if new connections may be made. */
  bool IsOpen() const { return mState == PathState::Works; }

  /** Bytes of the target arrived on some connection. */
  void OnBytes(Instant aNow);

  /** The first of the requests now in flight was sent. */
  void OnFirstInFlight(Instant aNow) { mQuietSince = aNow; }

  /** A connection could not be made. */
  void OnConnectFailed(Instant aNow);

  /** An open connection broke, or another path failed: test this one. */
  void OnDoubt(Instant aNow);

  /** A control daemon has a newer heartbeat of the target. */
  void OnHeartbeat(Instant aNow);

  /** When the path was last known to work. */
  Instant ProvenAt() const { return mProvenAt; }

  /** True if a test connection is due; aInFlight: requests await bytes. */
  bool IsCheckDue(Instant aNow, bool aInFlight) const;

  /** A test connection is being made. Precondition: IsCheckDue. */
  void OnCheckBegun(Instant aNow);

  /**
   * A test connection ended. aJitter, 0 to 1, spreads the next one. True if the
   * state changed.
   */
  bool OnChecked(Instant aNow, PathEvidence aEvidence, double aJitter);

private:
  void Fail(Instant aNow, PathState aState, double aJitter);

  PathState mState = PathState::Works;
  Instant mProvenAt;
  /** Since when requests in flight may have been without any byte. */
  Instant mQuietSince;
  /** Not set while the path works and nobody doubts it. */
  Instant mCheckAt = Instant::max();
  Instant mCheckBegunAt;
  bool mIsChecking = false;
  std::uint32_t mFailures = 0;
  /** Successful tests since the last byte. */
  std::uint32_t mQuietChecks = 0;
};

} // namespace carobtide
