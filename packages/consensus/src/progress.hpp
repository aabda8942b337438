#pragma once

/**
 * @file
 * What a leader knows of one follower.
 */

#include "carobtide/consensus/types.hpp"

#include <deque>
#include <memory>
#include <optional>

namespace carobtide {

/** How a leader sends to a follower. */
enum class ProgressMode : std::uint8_t
{
  /** One request at a time, until the logs are known to match. */
  Probe,
  /** Pipelined requests. */
  Replicate,
  /** Snapshot chunks; the entries it needs are gone. */
  Snapshot,
};

/** A snapshot on its way to a follower. */
struct SnapshotTransfer
{
  /** Shared, so that a newer snapshot does not restart the transfer. */
  std::shared_ptr<const Snapshot> mSnapshot;
  std::uint64_t mOffset = 0;
  Instant mSentAt;
};

/**
 * A leader's view of one follower: what is stored there, what was sent.
 *
 * Thread safety: none; the owner guards it.
 */
class Progress
{
public:
  explicit Progress(std::uint64_t aNext)
    : mNext(aNext)
  {
  }

  ProgressMode Mode() const { return mMode; }
  std::uint64_t Next() const { return mNext; }
  std::uint64_t Match() const { return mMatch; }

  /** True if an append request may go out now. */
  bool CanSend(std::size_t aMaxInFlight) const;

  /** Entries up to an index were sent. */
  void Sent(std::uint64_t aLastIndex);

  /** The follower stores everything up to an index. */
  void Stored(std::uint64_t aIndex);

  /** The follower holds, but not durably, everything up to an index. */
  void Received(std::uint64_t aIndex);

  /**
   * The follower lacks the entry before a request. False if the rejection is
   * outdated.
   */
  bool Rejected(std::uint64_t aRejectedIndex, std::uint64_t aHint);

  /** Allows the next probe, after a heartbeat interval without an answer. */
  void RetryProbe();

  void StartTransfer(std::shared_ptr<const Snapshot> aSnapshot);
  /** Precondition: Mode() is Snapshot. */
  SnapshotTransfer& Transfer() { return mTransfer; }

  /** The send time of the latest request that the follower answered. */
  Instant AcknowledgedAt() const { return mAcknowledgedAt; }
  const std::optional<Instant>& LastContact() const { return mLastContact; }
  void Heard(Instant aNow, Instant aSentAt);

private:
  void Release(std::uint64_t aIndex);

  ProgressMode mMode = ProgressMode::Probe;
  std::uint64_t mNext;
  std::uint64_t mMatch = 0;
  bool mProbeSent = false;
  /** The last index of each request in flight. */
  std::deque<std::uint64_t> mInFlight;
  Instant mAcknowledgedAt = Instant::min();
  std::optional<Instant> mLastContact;
  SnapshotTransfer mTransfer;
};

} // namespace carobtide
