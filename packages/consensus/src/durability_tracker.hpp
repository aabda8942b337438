#pragma once

/**
 * @file
 * Tracks which part of a replica's state is durable.
 */

#include "carobtide/consensus/storage.hpp"
#include "log_buffer.hpp"

#include <optional>

namespace carobtide {

/**
 * Decides what goes into the next PersistBatch and what counts as durable.
 * One batch is in flight at a time; what changes meanwhile gathers for the
 * next one, so that one fsync covers many entries (group commit).
 *
 * Thread safety: none; the owner guards it.
 */
class DurabilityTracker
{
public:
  /** Starts with a log that is durable up to an index. */
  explicit DurabilityTracker(std::uint64_t aDurableIndex);

  /** Every entry up to this index is durable. */
  std::uint64_t DurableIndex() const { return mDurableIndex; }
  /** True if the current term and vote are durable. */
  bool IsHardStateDurable() const;

  void MarkHardState() { mHardStateDirty = true; }
  void MarkSnapshot() { mSnapshotDirty = true; }
  /** Entries from an index on were dropped from the log. */
  void Truncated(std::uint64_t aIndex);
  /** The log now starts after a received snapshot, all entries dropped. */
  void ResetTo(std::uint64_t aIndex);

  /** Takes the next batch; an empty one if nothing is due. */
  PersistBatch NextBatch(const LogBuffer& aLog, const HardState& aHardState,
                         const Snapshot* aSnapshot);

  /** The batch in flight is durable. False if it is not that one. */
  bool Complete(std::uint64_t aSequence);

private:
  struct InFlight
  {
    std::uint64_t mSequence = 0;
    std::uint64_t mLastIndex = 0;
    bool mHardState = false;
  };

  std::uint64_t mDurableIndex;
  /** The first index that was not handed out in a batch yet. */
  std::uint64_t mUnstableFrom;
  std::uint64_t mLastSequence = 0;
  std::optional<InFlight> mInFlight;
  bool mHardStateDirty = false;
  bool mSnapshotDirty = false;
};

} // namespace carobtide
