#pragma once

/**
 * @file
 * Whether the process that serves at a target's address is the one that its
 * last heartbeat was from.
 */

#include "carobtide/base.hpp"

#include <cstdint>

namespace carobtide {

/** What a target said of its process when it was asked on a connection. */
enum class ProcessCheck : std::uint8_t
{
  /** It is the process that is known. */
  Same,
  /** Another process serves there now. */
  Other,
  /** It does not say when its process started, and never does. */
  Unstated,
  /** Its answer cannot be read, or is an error. */
  Unclear,
};

inline constexpr EnumTable<ProcessCheck, 4> kProcessChecks{ { {
  { ProcessCheck::Same, "same" },
  { ProcessCheck::Other, "other" },
  { ProcessCheck::Unstated, "unstated" },
  { ProcessCheck::Unclear, "unclear" },
} } };

/**
 * Doubt about a target's process, from the end of a connection until the target
 * is heard of again as another process, or until its heartbeats would have
 * stopped for so long that it counts as silent; a target that is silent then
 * stays in doubt until it is heard of. Apart from that, a target that cannot be
 * asked and that a daemon hears of as it starts is settled one window after its
 * first answer, two windows after it was heard of at the latest. Sans-I/O.
 *
 * Answers: targets that restart in place, under their name and address, with
 * other software, also before a daemon that just started has a connection to
 * them; connections that are reset while their target lives.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class ProcessDoubt
{
public:
  /** Heard of for the first time, while this daemon starts. */
  void OnHeardAtStart(Instant aNow, Duration aWindow);

  /** The target answers on a connection, whose end would be noticed. */
  void OnAnswer(Instant aNow, Duration aWindow);

  /** Before this a stream that was begun elsewhere does not go on there. */
  Instant SettledAt() const { return mSettledAt; }

  /** A connection broke, or none could be made. */
  void OnConnectionLost(Instant aNow, Duration aWindow);

  void OnCheck(Instant aNow, ProcessCheck aCheck, Duration aWindow);

  /** The target is silent, or is heard of. */
  void SetSilent(Instant aNow, bool aIsSilent, Duration aWindow);

  /** True if another process may serve at the address. */
  bool IsDoubted(Instant aNow) const { return mIsHeld || aNow < mUntil; }

  /** True if asking the target may settle it. */
  bool MayAsk() const { return mStatesProcess; }

  /** True if another process serves there, or may and does not say so. */
  bool IsUnknown(Instant aNow) const
  {
    return IsDoubted(aNow) && (mIsOther || !mStatesProcess);
  }

private:
  Instant mUntil = Instant::min();
  Instant mSettledAt = Instant::min();
  bool mHasAnswered = false;
  /** The target became silent while it was in doubt, or soon after. */
  bool mIsHeld = false;
  bool mIsOther = false;
  bool mStatesProcess = true;
};

} // namespace carobtide
