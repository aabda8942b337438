#pragma once

/**
 * @file
 * Holds on the memory account of a process, which wait for room.
 */

#include "carobtide/transport/hold_account.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace carobtide {

/** What happened to a claim that had no room at once. */
enum class HoldOutcome : std::uint8_t
{
  Delayed,
  /** It has room after a wait. */
  Granted,
  /** Nothing of it was read, or nothing more is. */
  Refused,
};

inline constexpr EnumTable<HoldOutcome, 3> kHoldOutcomes{ { {
  { HoldOutcome::Delayed, "delayed" },
  { HoldOutcome::Granted, "granted" },
  { HoldOutcome::Refused, "refused" },
} } };

/** One decision of the account, for the log. */
struct HoldDecision
{
  HoldKind mKind = HoldKind::Request;
  HoldOutcome mOutcome = HoldOutcome::Refused;
  HoldParties mParties;
  /** What was claimed in all. */
  Bytes mBytes = 0;
  /** What all holds of the kind have. */
  Bytes mHeld = 0;
  Duration mWaited{ 0 };
};

/**
 * The account of a process, shared by its servers and connections.
 *
 * Thread safety: any thread. The observer is called on the thread of the claim,
 * without a lock.
 */
class MemoryRoom
{
public:
  using Observer = std::function<void(const HoldDecision&)>;

  explicit MemoryRoom(HoldAccountOptions aOptions = {},
                      Observer aObserver = {});
  ~MemoryRoom();

  HoldStats Stats(HoldKind aKind) const;
  Bytes TierBytesFor(Bytes aBytes) const;

private:
  friend class MemoryHold;
  class Impl;

  std::unique_ptr<Impl> mImpl;
};

/**
 * Room that one exchange has. Gives it back when it is destroyed.
 *
 * Thread safety: none; one coroutine at a time, and CancelWait on its executor.
 */
class MemoryHold
{
public:
  /** A hold of no account: every claim is granted. */
  MemoryHold() = default;
  MemoryHold(std::shared_ptr<MemoryRoom> aRoom, HoldKind aKind,
             HoldParties aParties);
  ~MemoryHold();
  MemoryHold(MemoryHold&& aOther) noexcept;
  MemoryHold& operator=(MemoryHold&& aOther) noexcept;

  /** Takes room for this many bytes in all if there is some now. */
  bool TryGrow(Bytes aBytes);

  /**
   * Waits until there is room for this many bytes in all. Timeout after
   * aTimeout, Cancelled after CancelWait, TooLarge if there never is.
   */
  boost::asio::awaitable<Result<Unit>> Grow(Bytes aBytes, Duration aTimeout);

  /** As Grow, for a number that is not known but that is at least aBytes. */
  boost::asio::awaitable<Result<Unit>> GrowToTier(Bytes aBytes,
                                                  Duration aTimeout);

  /** Ends a wait with ErrorCode::Cancelled, and those that follow. */
  void CancelWait();

  /** Gives all of it back. */
  void Release();

  /** Bytes that it has room for. */
  Bytes Size() const { return mSize; }

private:
  friend class MemoryRoom;
  struct Waiter;

  Error MakeFailure(ErrorCode aCode, Bytes aBytes) const;
  void Report(HoldOutcome aOutcome, Bytes aBytes, Duration aWaited) const;

  std::shared_ptr<MemoryRoom> mRoom;
  HoldKind mKind = HoldKind::Request;
  HoldParties mParties;
  HoldAccount::Ticket mTicket = 0;
  Bytes mSize = 0;
  std::shared_ptr<Waiter> mWaiter;
  bool mIsCancelled = false;
};

} // namespace carobtide
