#pragma once

/**
 * @file
 * One account of the bytes that a process holds for its peers.
 */

#include "carobtide/base.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carobtide {

/** What bytes are held as. */
enum class HoldKind : std::uint8_t
{
  /** Of a client: refused at once if there is no room. */
  Request,
  /** An unusually long head of an answer. */
  Head,
  /** Body of an answer: not read on until there is room. */
  Answer,
  /** A long event of a stream, from its first part until it is passed on. */
  Event,
};

inline constexpr std::size_t kHoldKindCount = 4;

inline constexpr EnumTable<HoldKind, kHoldKindCount> kHoldKinds{ { {
  { HoldKind::Request, "request" },
  { HoldKind::Head, "head" },
  { HoldKind::Answer, "answer" },
  { HoldKind::Event, "event" },
} } };

/** Who takes part in a hold; none of them gets all of the room. */
struct HoldParties
{
  /** Sends the bytes. */
  std::string mGiver;
  /** Takes the bytes in the end. */
  std::string mReceiver;
  /** Empty if it is not known. */
  std::string mService;
};

/** Sizes of the account's pools. */
struct HoldAccountOptions
{
  static constexpr std::size_t kTiers = 4;

  /** Largest hold of each pool; larger ones have no room at all. */
  std::array<Bytes, kTiers> mTierBytes{ 64 * kKiB, kMiB, 4 * kMiB, 16 * kMiB };
  /** Room of the pools of each kind. */
  std::array<Bytes, kTiers> mRequestRoom{ 16 * kMiB, 8 * kMiB, 24 * kMiB,
                                          8 * kMiB };
  std::array<Bytes, kTiers> mHeadRoom{ 0, 8 * kMiB, 0, 0 };
  std::array<Bytes, kTiers> mAnswerRoom{ 12 * kMiB, 16 * kMiB, 16 * kMiB,
                                         32 * kMiB };
  std::array<Bytes, kTiers> mEventRoom{ 8 * kMiB, 8 * kMiB, 0, 0 };
  /** Share of a pool that one giver, receiver or service may take. */
  double mGiverShare = 0.5;
  double mReceiverShare = 0.75;
  double mServiceShare = 0.75;
};

/** Figures of one kind, for metrics. */
struct HoldStats
{
  Bytes mHeld = 0;
  Bytes mPeak = 0;
  std::size_t mWaiting = 0;
  std::uint64_t mDelayed = 0;
  std::uint64_t mRefused = 0;
};

/**
 * Grants room to holds before their bytes are read. Sans-I/O.
 *
 * Each kind has pools by size, so that small holds do not wait for large ones.
 * A hold that grows beyond its pool takes room of a later one before it gives
 * its own back. Whoever has room only waits for a later pool of its kind, or
 * for a pool of a later kind: the holds of the last pool always end, then those
 * of the pool before it, so that none waits for itself.
 *
 * Precondition of that: a hold claims as much of a pool at once as it will need
 * of it, the whole length if that is known and else TierBytesFor.
 *
 * Answers: many large answers at once, bodies without end, clients that do not
 * read theirs, and single targets, clients or services that do so.
 *
 * Thread safety: none; the owner guards it.
 */
class HoldAccount
{
public:
  using Ticket = std::uint64_t;

  /** What became of a claim. */
  enum class Claim : std::uint8_t
  {
    Granted,
    /** It waits; see TakeGranted and Withdraw. */
    Waiting,
    /** Larger than any pool's holds. */
    TooLarge,
  };

  explicit HoldAccount(HoldAccountOptions aOptions = {});

  /** What to claim for bytes whose number is not known: at least these. */
  Bytes TierBytesFor(Bytes aBytes) const;

  /** Begins a hold without bytes. */
  Ticket Open(HoldKind aKind, HoldParties aParties);

  /**
   * Claims room for this many bytes in all. Room that a hold has is not taken
   * back by a smaller claim. Precondition: the hold does not wait.
   */
  Claim Grow(Ticket aTicket, Bytes aBytes);

  /** Takes a claim that waits back; the hold keeps what it has. */
  void Withdraw(Ticket aTicket);

  /** Ends a hold. */
  void Close(Ticket aTicket);

  void CountRefusal(HoldKind aKind) { ++StatsOf(aKind).mRefused; }

  /** Claims that waited and are granted now. */
  std::vector<Ticket> TakeGranted();

  Bytes HeldBy(Ticket aTicket) const { return mHolds.at(aTicket).mBytes; }
  const HoldParties& PartiesOf(Ticket aTicket) const
  {
    return mHolds.at(aTicket).mParties;
  }
  const HoldStats& Stats(HoldKind aKind) const
  {
    return mStats[static_cast<std::size_t>(aKind)];
  }
  /** The most that all pools together grant. */
  Bytes Capacity() const;

private:
  struct Pool
  {
    Bytes mRoom = 0;
    Bytes mHeld = 0;
    /** Bytes by party, of each sort of party. */
    std::map<std::string, Bytes> mByGiver;
    std::map<std::string, Bytes> mByReceiver;
    std::map<std::string, Bytes> mByService;
    std::deque<Ticket> mWaiting;
  };

  struct Hold
  {
    HoldKind mKind = HoldKind::Request;
    HoldParties mParties;
    /** Meaningful while mBytes is not zero. */
    std::size_t mTier = 0;
    Bytes mBytes = 0;
    /** What is waited for. */
    std::optional<Bytes> mWanted;
  };

  HoldStats& StatsOf(HoldKind aKind)
  {
    return mStats[static_cast<std::size_t>(aKind)];
  }
  Pool& PoolOf(HoldKind aKind, std::size_t aTier)
  {
    return mPools[static_cast<std::size_t>(aKind)][aTier];
  }
  std::optional<std::size_t> TierOf(HoldKind aKind, Bytes aBytes) const;
  /** What a hold would add to a pool. */
  static Bytes Added(const Hold& aHold, std::size_t aTier, Bytes aBytes);
  bool ExceedsShare(const Pool& aPool, const Hold& aHold, Bytes aAdded) const;
  void Take(Hold& aHold, std::size_t aTier, Bytes aBytes);
  void Charge(Pool& aPool, const HoldParties& aParties, Bytes aBytes);
  /** Grants what waits for a pool, first come first served. */
  void Serve(HoldKind aKind, std::size_t aTier);

  HoldAccountOptions mOptions;
  std::array<std::array<Pool, HoldAccountOptions::kTiers>, kHoldKindCount>
    mPools;
  std::array<HoldStats, kHoldKindCount> mStats;
  std::map<Ticket, Hold> mHolds;
  std::vector<Ticket> mGranted;
  Ticket mNext = 1;
};

} // namespace carobtide
