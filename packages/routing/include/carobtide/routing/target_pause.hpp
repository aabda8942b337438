#pragma once

/**
 * @file
 * A pause that a target asked this daemon for, and the way back from it.
 */

#include "carobtide/routing/target_health.hpp"

#include <algorithm>
#include <chrono>
#include <optional>

namespace carobtide {

/**
 * Nothing is sent to the target until the pause ends, then one request at a
 * time until the target begins to answer one: a target that turns everything
 * away is sent one request a pause, not all that arrive until it answers.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class TargetPause
{
public:
  /** Begins a pause; does not shorten one. */
  void Begin(Instant aUntil)
  {
    mUntil = std::max(mUntil, aUntil);
    mIsUnproven = true;
  }

  bool IsOver(Instant aNow) const { return aNow >= mUntil; }
  Instant Until() const { return mUntil; }

  /** Precondition: IsOver. False while a first request awaits its answer. */
  bool MayTry(Instant aNow) const
  {
    return !mIsUnproven || !mTrial || aNow - mTriedAt >= kTrialTimeout;
  }

  /** Records that a request was sent. Precondition: MayTry. */
  void OnSent(Instant aNow, SendId aSend)
  {
    if (mIsUnproven) {
      mTrial = aSend;
      mTriedAt = aNow;
    }
  }

  /** Records the first byte of an answer that is no refusal. */
  void OnFirstByte(SendId aSend)
  {
    if (mTrial == aSend) {
      mIsUnproven = false;
    }
  }

  /** Records that a request ended, answered or not. */
  void OnEnd(SendId aSend)
  {
    if (mTrial == aSend) {
      mTrial.reset();
    }
  }

private:
  /** A request that awaits its answer for longer does not hold others back. */
  static constexpr Duration kTrialTimeout = std::chrono::seconds(1);

  Instant mUntil;
  bool mIsUnproven = false;
  std::optional<SendId> mTrial;
  Instant mTriedAt;
};

} // namespace carobtide
