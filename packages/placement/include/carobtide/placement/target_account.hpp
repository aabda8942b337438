#pragma once

/**
 * @file
 * The memory account of one incarnation of a target.
 */

#include "carobtide/placement/order.hpp"

#include <compare>
#include <map>
#include <vector>

namespace carobtide {

/** Identifies what a copy in accelerator memory is a copy of. */
struct CopyKey
{
  ModelName mModel;
  /** Empty for the model's own weights. */
  AdapterName mAdapter;
  std::uint32_t mVersion = 0;

  auto operator<=>(const CopyKey&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mModel, mAdapter, mVersion);
  }
};

/** The key of a resident, of an order's subject. */
CopyKey KeyOf(const ResidentModel& aResident);
CopyKey KeyOf(const Order& aOrder);

/** Where a copy stands by the record. */
enum class CopyState : std::uint8_t
{
  /** A load is committed and not settled. */
  Loading,
  Held,
  /** An unload is committed and not settled; the memory is still reserved. */
  Unloading,
};

inline constexpr EnumTable<CopyState, 3> kCopyStates{ { {
  { CopyState::Loading, "loading" },
  { CopyState::Held, "held" },
  { CopyState::Unloading, "unloading" },
} } };

/** A copy whose memory is reserved. */
struct AccountedCopy
{
  Bytes mMemory = 0;
  CopyState mState = CopyState::Held;
  /** The open or last order about it; zero if it was there before. */
  OrderId mOrder;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMemory, mState, mOrder);
  }
};

/**
 * Everything that is or may come to be in one incarnation's memory.
 *
 * Invariant: a copy is added before its load can be sent and removed only
 * when it is proven absent, so that Reserved() bounds the memory in use.
 *
 * Thread safety: none; the owner guards it.
 */
class TargetAccount
{
public:
  /**
   * Takes what a proposer had heard. False, and nothing changes, if it had
   * heard less than what the record was built on.
   */
  bool Observe(const TargetObservation& aSeen);

  /** Notes that an announcement was used as proof. */
  void NoteSequence(std::uint64_t aSequence);

  /** Reserves a copy for a load. False if the key is accounted already. */
  bool BeginLoad(const CopyKey& aKey, Bytes aMemory, OrderId aOrder);

  /**
   * Marks a held copy as unloading. False if it is not held, or if adapters
   * that stay need these weights.
   */
  bool BeginUnload(const CopyKey& aKey, OrderId aOrder);

  /** Ends the open order about a copy. */
  void Settle(const CopyKey& aKey, OrderId aOrder, bool aDone);

  const AccountedCopy* Find(const CopyKey& aKey) const;
  const std::map<CopyKey, AccountedCopy>& Copies() const { return mCopies; }
  Bytes Memory() const { return mMemory; }
  /** Bytes of all copies, whatever their state. */
  Bytes Reserved() const { return mReserved; }
  /** Bytes of the copies that are loading. */
  Bytes Loading() const;
  std::uint64_t Sequence() const { return mSequence; }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMemory, mReserved, mSequence, mCopies);
  }

private:
  bool CarriesAdapters(const CopyKey& aKey) const;
  void Erase(std::map<CopyKey, AccountedCopy>::iterator aIt);

  Bytes mMemory = 0;
  Bytes mReserved = 0;
  std::uint64_t mSequence = 0;
  std::map<CopyKey, AccountedCopy> mCopies;
};

} // namespace carobtide
