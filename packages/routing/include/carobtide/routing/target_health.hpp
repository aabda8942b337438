#pragma once

/**
 * @file
 * Health of one target as observed by this daemon.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <map>

namespace carobtide {

/** How one attempt to send a request to a target ended. */
enum class SendEnd : std::uint8_t
{
  /** The target answered completely. */
  Whole,
  /** The target ran the request and answered with an error. */
  TargetFailed,
  /** The target answered that it did not run the request. */
  NotRun,
  /** The target is at capacity and did not run the request. */
  Full,
  /** The connection failed; no byte was sent. */
  ConnectFailed,
  /** The connection was lost, or the response did not match the request. */
  Broken,
  /** No answer within the time limit. */
  TimedOut,
  /** The caller disconnected. */
  CallerGone,
  /** Not sent: the target left, or wanted a pause, since it was chosen. */
  Withheld,
};

inline constexpr EnumTable<SendEnd, 9> kSendEnds{ { {
  { SendEnd::Whole, "whole" },
  { SendEnd::TargetFailed, "target-failed" },
  { SendEnd::NotRun, "not-run" },
  { SendEnd::Full, "full" },
  { SendEnd::ConnectFailed, "connect-failed" },
  { SendEnd::Broken, "broken" },
  { SendEnd::TimedOut, "timed-out" },
  { SendEnd::CallerGone, "caller-gone" },
  { SendEnd::Withheld, "withheld" },
} } };

/** Identifies one attempt within a process. */
using SendId = NumericId<struct SendIdTag>;

/**
 * Moving averages of the outcomes and latencies of one target.
 *
 * Detects targets that fail part of their requests or hang while they report
 * that they are healthy, and targets that have become slow.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class TargetHealth
{
public:
  /** Records that an attempt was sent. SendIds must increase. */
  void OnSent(Instant aNow, SendId aSend);

  /** Records the first byte, `aTook` after the attempt was sent. */
  void OnFirstByte(Instant aNow, SendId aSend, Duration aTook);

  /** Records how an attempt ended. */
  void OnEnd(Instant aNow, SendId aSend, SendEnd aEnd);

  /** Recent share of failures, 0 to 1; decays while nothing is sent. */
  double FailureShare(Instant aNow) const;

  /** Smoothed time to the first byte; zero without a recent sample. */
  Duration FirstByteTime(Instant aNow) const;

  /** Time that the oldest attempt without a first byte has been waiting. */
  Duration OldestWait(Instant aNow) const;

private:
  std::map<SendId, Instant> mWaiting;
  Duration mFirstByte{ 0 };
  Instant mFirstByteAt;
  double mFailures = 0;
  Instant mFailuresAt;
};

} // namespace carobtide
