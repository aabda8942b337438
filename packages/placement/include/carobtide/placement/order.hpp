#pragma once

/**
 * @file
 * Orders to engines and the replicated commands about them.
 */

#include "carobtide/placement/announcement.hpp"

#include <cereal/types/optional.hpp>
#include <cereal/types/variant.hpp>

#include <optional>
#include <variant>

namespace carobtide {

/** What an order asks an engine to do. */
enum class OrderAction : std::uint8_t
{
  Load,
  Unload,
  SetRole,
};

inline constexpr EnumTable<OrderAction, 3> kOrderActions{ { {
  { OrderAction::Load, "load" },
  { OrderAction::Unload, "unload" },
  { OrderAction::SetRole, "set-role" },
} } };

/** Bits of a fencing token below the term. */
inline constexpr unsigned kFenceCountBits = 20;

/** Makes the token of a term; `aCount` orders the orders of one leader. */
constexpr FencingToken MakeFence(FencingToken aTerm, std::uint64_t aCount)
{
  return FencingToken((aTerm.Value() << kFenceCountBits) + aCount);
}

/** The term of a fencing token. */
constexpr FencingToken TermOf(FencingToken aFence)
{
  return FencingToken(aFence.Value() >> kFenceCountBits);
}

/**
 * An order to one incarnation of a target. The fencing token is the leader's
 * term in the upper bits and a count per target in the lower ones (see
 * MakeFence), so that it grows over the orders of one leader as well.
 */
struct Order
{
  OrderId mId;
  FencingToken mFence;
  TargetName mTarget;
  Incarnation mIncarnation;
  OrderAction mAction = OrderAction::Load;
  ModelName mModel;
  /** Empty for the model's own weights. */
  AdapterName mAdapter;
  std::uint32_t mVersion = 0;
  Bytes mMemory = 0;
  EngineRole mRole = EngineRole::Mixed;

  bool operator==(const Order&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mFence, mTarget, mIncarnation, mAction, mModel, mAdapter,
             mVersion, mMemory, mRole);
  }
};

/** What the proposer of an order had heard from its target. */
struct TargetObservation
{
  Bytes mMemory = 0;
  /** Sequence number of the announcement; older views are refused. */
  std::uint64_t mSequence = 0;
  /** Reported residents without an account, or larger than accounted. */
  std::vector<ResidentModel> mUnaccounted;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMemory, mSequence, mUnaccounted);
  }
};

/** Another replica that must go on serving while one is unloaded. */
struct RemainingReplica
{
  TargetName mTarget;
  Incarnation mIncarnation;
  std::uint32_t mVersion = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTarget, mIncarnation, mVersion);
  }
};

/**
 * Commits an order before it is sent. Its id is the log index. It is refused
 * when applied if the record as of then does not allow it.
 */
struct CommitOrder
{
  Order mOrder;
  TargetObservation mObserved;
  /** Unloads of what the bundle in force serves name a witness. */
  std::optional<RemainingReplica> mRemainingReplica;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mOrder, mObserved, mRemainingReplica);
  }
};

/**
 * Begins a leader's term. A leader acts only once the record is in its term;
 * what leaders of earlier terms proposed and is committed later is refused.
 */
struct BeginTerm
{
  FencingToken mTerm;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm);
  }
};

/** Records that an order can have no further effect. */
struct SettleOrder
{
  FencingToken mTerm;
  OrderId mId;
  /** True if the target did it; false if it refused or cannot any more. */
  bool mDone = false;
  /** Sequence number of the announcement that proved it. */
  std::uint64_t mSequence = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm, mId, mDone, mSequence);
  }
};

/**
 * Drops the account of an incarnation that is gone, with its open orders.
 */
struct RetireIncarnation
{
  FencingToken mTerm;
  TargetName mTarget;
  Incarnation mIncarnation;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm, mTarget, mIncarnation);
  }
};

using PlacementCommand =
  std::variant<CommitOrder, SettleOrder, RetireIncarnation, BeginTerm>;

} // namespace carobtide
