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
  /** The target process that ran the request. */
  Incarnation mIncarnation;
};

/** Whether a target crashed, with the requests that it lost. */
struct CrashDecision
{
  TargetIndex mTarget = kNoTarget;
  bool mCrashed = false;
  std::vector<LostRequest> mLost;
};

/**
 * Collects lost connections per target until it can decide. A restart, a
 * refused connection or a silent target indicates a crash; an answer or an
 * announcement of the same process after the loss rules it out. Without
 * either, a crash is assumed after kDecisionTimeout.
 *
 * Thread safety: not thread-safe; the owner synchronizes access.
 */
class CrashDetector
{
public:
  static constexpr Duration kDecisionTimeout = 2s;
  /**
   * Bytes and announcements that arrive this soon after a loss may have been
   * sent before it, and do not show that the process is alive.
   */
  static constexpr Duration kStaleEvidenceWindow = 300ms;

  /** Records a lost connection; the decision on its target is pending. */
  void OnConnectionLost(Instant aNow, TargetIndex aTarget,
                        const LostRequest& aLost);

  /** The target has crashed. mLost is empty if no decision was pending. */
  CrashDecision OnDead(TargetIndex aTarget);

  /**
   * Bytes, or an announcement of the same process, arrived. mLost is empty if
   * nothing was pending or the decision stays pending.
   */
  CrashDecision OnAlive(Instant aNow, TargetIndex aTarget);

  /** Decides that targets pending for kDecisionTimeout have crashed. */
  std::vector<CrashDecision> Expire(Instant aNow);

  /** Drops a request that was answered in full by another target. */
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

  CrashDecision TakeDecision(TargetIndex aTarget, bool aCrashed);

  std::map<TargetIndex, Pending> mPending;
};

} // namespace carobtide
