#pragma once

/**
 * @file
 * Decides whether a lost connection means that the target crashed.
 */

#include "carobtide/base.hpp"
#include "carobtide/routing/target_table.hpp"

#include <map>
#include <vector>

namespace carobtide {

/** A request whose connection was lost while the target may have crashed. */
struct LostRequest
{
  RequestId mRequest;
  Digest mFingerprint;
  /** The process that it ran on. */
  Incarnation mIncarnation;
};

/** The verdict on one target. */
struct CrashVerdict
{
  TargetIndex mTarget = kNoTarget;
  bool mCrashed = false;
  std::vector<LostRequest> mLost;
};

/**
 * Collects lost connections per target until there is evidence. A restart, a
 * refused connection or silence proves a crash; an answer or an announcement
 * of the same process after the loss disproves it. Without either, a crash is
 * presumed after kPatience.
 *
 * Thread safety: none; the owner guards it.
 */
class CrashWatch
{
public:
  static constexpr Duration kPatience = 2s;
  /** Bytes and announcements may have been on their way for this long. */
  static constexpr Duration kEvidenceDelay = 300ms;

  void OnLost(Instant aNow, TargetIndex aTarget, const LostRequest& aLost);

  /** The target proved dead; verdict without losses if none were pending. */
  CrashVerdict OnDead(TargetIndex aTarget);

  /** Bytes, or an announcement of the same process, arrived. */
  CrashVerdict OnAlive(Instant aNow, TargetIndex aTarget);

  /** Verdicts that have been waited for too long. */
  std::vector<CrashVerdict> Expire(Instant aNow);

  /** Forgets a request that was answered whole elsewhere. */
  void Forget(RequestId aRequest);

  bool IsPending(TargetIndex aTarget) const
  {
    return mPending.contains(aTarget);
  }

private:
  struct Pending
  {
    Instant mLostAt;
    std::vector<LostRequest> mLost;
  };

  CrashVerdict Take(TargetIndex aTarget, bool aCrashed);

  std::map<TargetIndex, Pending> mPending;
};

} // namespace carobtide
