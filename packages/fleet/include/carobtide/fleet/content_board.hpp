#pragma once

/**
 * @file
 * What a control daemon knows of content that crashes targets.
 */

#include "carobtide/fleet/block_list.hpp"
#include "carobtide/fleet/crash_tally.hpp"

#include <vector>

namespace carobtide {

/**
 * Adds up the crash reports of all routing daemons and decides what is blocked.
 * Every control daemon does so from the same reports, so that each part of a
 * deployment that is cut off decides for itself.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class ContentBoard
{
public:
  /** Takes a notice; returns the blocks that it changed. */
  TallyResult OnNotice(Instant aNow, const CrashNotice& aNotice);

  /** Drops what is over. */
  void Expire(Instant aNow);

  const BlockList& Blocks() const { return mBlocks; }

  /** All blocks, for control daemons that were away. */
  CrashNotice AllBlocks(Instant aNow) const;

private:
  CrashTally mTally;
  BlockList mBlocks;
};

} // namespace carobtide
