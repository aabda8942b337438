#pragma once

/**
 * @file
 * Targets that fall over when they have to refuse too many requests.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <optional>

namespace carobtide {

/**
 * What the targets of a service state: refusals a second that each of them
 * bears. Every daemon that sends to them hears it in their answers.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class RefusalLimit
{
public:
  /**
   * An answer to a request sent at aSentAt states the limit, or none. An answer
   * without a limit ends it unless it may have been written before.
   */
  void OnStated(Instant aNow, std::optional<double> aPerSecond,
                Instant aSentAt);

  /** The limit; nothing if the targets are not brittle. */
  std::optional<double> Current(Instant aNow) const;

private:
  std::optional<double> mPerSecond;
  Instant mStatedAt;
};

/** Requests in flight at one target, as one daemon knows them. */
struct KnownLoad
{
  std::uint32_t mSlots = 0;
  /** Of this daemon: now, in its last report, and in the last total. */
  std::uint32_t mOwn = 0;
  std::uint32_t mOwnReported = 0;
  std::uint32_t mOwnInTotal = 0;
  /** Of the others in that total. */
  std::uint32_t mOthers = 0;
  /** The last report that this daemon made, and the one in that total. */
  std::uint64_t mReport = 0;
  std::uint64_t mReportInTotal = 0;
  /** False if no total is known. */
  bool mIsKnown = false;
  std::uint32_t mDaemons = 1;
};

/**
 * Keeps a fleet of daemons within the slots of a brittle target without a
 * central counter. A daemon may replace its own requests that ended until it
 * has reported their end, which it does a short time later; of slots that the
 * last total shows free it takes half of an equal share, a part of one at
 * random, and no more until a total includes that. A refusal widens the margin
 * that it leaves, which then narrows so slowly that refusals of all daemons
 * stay below the limit.
 *
 * Answers: one freed slot that all daemons see at once, with waiting requests.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class RefusalGuard
{
public:
  /** True if the target should have room for one more request. */
  bool MaySend(Instant aNow, const KnownLoad& aLoad, double aPerSecond,
               RandomEngine& aRandom);

  /** A request is sent. Precondition: MaySend, with the same load. */
  void OnSent(const KnownLoad& aLoad);

  /**
   * The number of requests in flight that the daemon's next report states, at
   * least aOwn: slots that were in use a short time ago count as well, so that
   * the daemon may still replace requests that ended while none waited.
   */
  std::uint32_t Claim(Instant aNow, std::uint32_t aOwn);

  /** True if the last claim named any slot. */
  bool HasClaim() const { return mClaimed > 0; }

  /** The target refused a request for want of room. */
  void OnRefused(Instant aNow, const KnownLoad& aLoad, double aPerSecond);

private:
  void Narrow(Instant aNow, const KnownLoad& aLoad, double aPerSecond);

  /** Slots that are left free. */
  double mMargin = 0;
  Instant mNarrowedAt;
  /** After a refusal nothing is sent until then. */
  Instant mHoldUntil;
  /** Requests that the daemon may still add, and its report at that time. */
  std::uint32_t mShare = 0;
  std::uint64_t mShareReport = 0;
  /** The last claim, and until when it holds if fewer are in flight. */
  std::uint32_t mClaimed = 0;
  Instant mClaimedUntil;
};

} // namespace carobtide
