#pragma once

/**
 * @file
 * What a daemon has seen itself of one target.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <map>

namespace carobtide {

/** How one send of a request to a target ended. */
enum class SendEnd : std::uint8_t
{
  /** A whole answer of the target. */
  Whole,
  /** The target ran it and answered with a failure of its own. */
  TargetFailed,
  /** The target said that it did not run it. */
  NotRun,
  /** The target is full and did not run it. */
  Full,
  /** No byte was sent. */
  ConnectFailed,
  /** The connection broke, or what came was no answer to this request. */
  Broken,
  /** No answer within the time. */
  TimedOut,
  /** The caller went away. */
  CallerGone,
};

inline constexpr EnumTable<SendEnd, 8> kSendEnds{ { {
  { SendEnd::Whole, "whole" },
  { SendEnd::TargetFailed, "target-failed" },
  { SendEnd::NotRun, "not-run" },
  { SendEnd::Full, "full" },
  { SendEnd::ConnectFailed, "connect-failed" },
  { SendEnd::Broken, "broken" },
  { SendEnd::TimedOut, "timed-out" },
  { SendEnd::CallerGone, "caller-gone" },
} } };

/** Identifies one send within a process. */
using SendId = NumericId<struct SendIdTag>;

/**
 * Outcomes and times of one target, each forgotten as newer ones come.
 *
 * Answers: targets that fail part of their requests or hang while they say
 * that they are well; targets that have turned slow; targets that are down.
 *
 * Thread safety: none; the owner guards it.
 */
class TargetHealth
{
public:
  void OnSent(Instant aNow, SendId aSend);

  /** The first byte came; `aTook` since it was sent. */
  void OnFirstByte(Instant aNow, SendId aSend, Duration aTook);

  void OnEnd(Instant aNow, SendId aSend, SendEnd aEnd);

  /** False after failed connections, until a while has passed. */
  bool IsReachable(Instant aNow) const { return aNow >= mAvoidUntil; }

  /** The target spoke to someone: it is worth a try. */
  void OnHeard() { mAvoidUntil = Instant(); }

  /** Recent share of failures, 0 to 1; fades while nothing is sent. */
  double FailureShare(Instant aNow) const;

  /** Smoothed time to the first byte; zero if none was seen lately. */
  Duration FirstByteTime(Instant aNow) const;

  /** How long the oldest send has been waiting for its first byte. */
  Duration OldestWait(Instant aNow) const;

private:
  std::map<SendId, Instant> mWaiting;
  Duration mFirstByte{ 0 };
  Instant mFirstByteAt;
  double mFailures = 0;
  Instant mFailuresAt;
  std::uint32_t mConnectFailures = 0;
  Instant mAvoidUntil;
};

} // namespace carobtide
