#pragma once

/**
 * @file
 * Memory accounting for one incarnation of a target.
 */

#include "carobtide/placement/order.hpp"

#include <compare>
#include <map>
#include <vector>

namespace carobtide {

/** Identifies the content of a copy in accelerator memory. */
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

/** The key of a reported resident model or adapter. */
CopyKey KeyOf(const ResidentModel& aResident);
/** The key of the copy that an order loads or unloads. */
CopyKey KeyOf(const Order& aOrder);

/** State of a copy in the replicated record. */
enum class CopyState : std::uint8_t
{
  /** A load is committed and not settled; its memory is reserved. */
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
  /** Its open or latest order; zero if no order loaded it. */
  OrderId mOrder;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMemory, mState, mOrder);
  }
};

/**
 * Accounts for every copy that is or may become resident in the memory of one
 * incarnation.
 *
 * Invariant: a copy is added before its load can be sent and removed only
 * when it is proven absent, so Reserved() is an upper bound of the memory in
 * use.
 *
 * Thread safety: none; the caller must synchronize access.
 */
class TargetAccount
{
public:
  /**
   * Applies the announcement state that a proposer had seen. Returns false and
   * changes nothing if that is older than what the record relies on.
   */
  bool Observe(const TargetObservation& aSeen);

  /** Records that the announcement with this sequence was used as proof. */
  void NoteSequence(std::uint64_t aSequence);

  /** Reserves memory for a load. False if the key is already accounted for. */
  bool BeginLoad(const CopyKey& aKey, Bytes aMemory, OrderId aOrder);

  /**
   * Marks a held copy as unloading. False if it is not held, or if remaining
   * adapters depend on these weights.
   */
  bool BeginUnload(const CopyKey& aKey, OrderId aOrder);

  /**
   * Closes the open order of a copy: it is kept after a completed load or a
   * failed unload and removed otherwise. Ignored for any other order.
   */
  void Settle(const CopyKey& aKey, OrderId aOrder, bool aDone);

  /** The copy with this key; null if there is none. */
  const AccountedCopy* Find(const CopyKey& aKey) const;
  const std::map<CopyKey, AccountedCopy>& Copies() const { return mCopies; }
  /** Memory of the target, in bytes. */
  Bytes Memory() const { return mMemory; }
  /** Memory of all copies in any state, in bytes. */
  Bytes Reserved() const { return mReserved; }
  /** Memory of the copies that are loading, in bytes. */
  Bytes Loading() const;
  /** Sequence of the latest announcement that the account relies on. */
  std::uint64_t Sequence() const { return mSequence; }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMemory, mReserved, mSequence, mCopies);
  }

private:
  /** True if adapters that stay depend on these weights only. */
  bool HasDependentAdapters(const CopyKey& aKey) const;
  void Erase(std::map<CopyKey, AccountedCopy>::iterator aIt);

  Bytes mMemory = 0;
  Bytes mReserved = 0;
  std::uint64_t mSequence = 0;
  std::map<CopyKey, AccountedCopy> mCopies;
};

} // namespace carobtide
