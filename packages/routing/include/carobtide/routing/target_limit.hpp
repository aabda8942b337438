#pragma once

/**
 * @file
 * The rate that a target takes from all daemons together, and when this daemon
 * may send to it next.
 */

#include "carobtide/fleet/target.hpp"

#include <cstdint>
#include <optional>

namespace carobtide {

/**
 * Keeps a fleet of daemons at a rate without a central counter. Each counts the
 * requests that it sent, the older the less, and knows the sum of the others
 * from the load totals; a request may be sent while the sum of all is at most
 * what it would be just before the next of evenly spaced requests. So the
 * daemons with demand share the rate, whatever the size of the fleet, and what
 * was sent too much is made up for by waiting.
 *
 * A daemon that does not know the others' sum keeps to an equal share; if it
 * has sent nothing yet, its first request waits for the daemon's own phase in
 * the time that the share gives it for one.
 *
 * When the limit ends, the rate rises from what it was, so that the target is
 * not sent everything that kept away from it at once.
 *
 * Answers: a target in need that states a rate far below what its daemons send.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class TargetLimit
{
public:
  const RateLimit& Known() const { return mLimit; }

  /** Takes a limit that another daemon heard; ignored unless it is newer. */
  void OnTold(Instant aNow, const RateLimit& aLimit);

  /**
   * Takes the rate that an answer to a request sent at aSentAt states, kNone if
   * it states none. The new limit if that is news; an answer to a request that
   * was sent before the last change is none, since it may have been written
   * before.
   */
  std::optional<RateLimit> OnStated(Instant aNow, double aPerSecond,
                                    Instant aSentAt);

  /** Records that this daemon sent a request, with a limit or without. */
  void OnSent(Instant aNow);

  /** This daemon's requests, each weighted by its age. */
  double RecentSends(Instant aNow) const;

  /** True if the other daemons need to know RecentSends. */
  bool IsShared(Instant aNow) const;

  /** What the other daemons sent, as far as this one knows. */
  struct Others
  {
    /** Sum of their RecentSends at a time; nothing if it is not known. */
    std::optional<double> mRecentSends;
    Instant mAt;
    /** Daemons, this one included. */
    std::uint32_t mDaemons = 1;
    /** Since when their sum is not known. */
    Instant mUnknownSince;
    /** 0 to 1, another one at each daemon; 0: it never was known. */
    double mPhase = 0;
  };

  /** When a request may be sent; aNow if at once. */
  Instant SendableAt(Instant aNow, const Others& aOthers) const;

private:
  void Change(Instant aNow, const RateLimit& aLimit);
  /** The rate at this moment; kNone without a limit. */
  double Rate(Instant aNow) const;

  RateLimit mLimit;
  Instant mChangedAt;
  /** The rate before the limit ended. */
  double mRateBefore = RateLimit::kNone;
  double mRecent = 0;
  Instant mRecentAt;
};

} // namespace carobtide
