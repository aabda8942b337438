#pragma once

/**
 * @file
 * Orders to engines, and the replicated commands that record them.
 */

#include "carobtide/placement/announcement.hpp"

#include <cereal/types/optional.hpp>
#include <cereal/types/variant.hpp>

#include <optional>
#include <variant>

namespace carobtide {

/** Operation that an order requests from an engine. */
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

/** Low bits of a fencing token, which hold the order count. */
inline constexpr unsigned kFenceCountBits = 20;

/**
 * Combines a term with the order count of its leader. Precondition: `aCount`
 * fits in kFenceCountBits.
 */
constexpr FencingToken MakeFence(FencingToken aTerm, std::uint64_t aCount)
{
  return FencingToken((aTerm.Value() << kFenceCountBits) + aCount);
}

/** Extracts the term from a fencing token. */
constexpr FencingToken TermOf(FencingToken aFence)
{
  return FencingToken(aFence.Value() >> kFenceCountBits);
}

/**
 * An order to one incarnation of a target. The fencing token holds the leader's
 * term in its upper bits and a per-target count in its lower bits (see
 * MakeFence), so it also increases between the orders of one leader.
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

/** State of a target, as known to the proposer of an order. */
struct TargetObservation
{
  Bytes mMemory = 0;
  /** Sequence number of the announcement; an older one is refused. */
  std::uint64_t mSequence = 0;
  /** Reported copies without an account, or larger than accounted. */
  std::vector<ResidentModel> mUnaccounted;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMemory, mSequence, mUnaccounted);
  }
};

/** The replica that must keep serving while another is unloaded. */
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
 * Commits an order before it is sent. The log index becomes the order's id.
 * Applying it fails if the record at that index does not allow the order.
 */
struct CommitOrder
{
  Order mOrder;
  TargetObservation mObserved;
  /** Set for unloads of a copy that the bundle in force still serves. */
  std::optional<RemainingReplica> mRemainingReplica;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mOrder, mObserved, mRemainingReplica);
  }
};

/**
 * Begins a leader's term. A leader issues orders only after this command is
 * applied. Commands of earlier terms that are committed later are refused.
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

/** Closes an order that can have no further effect. */
struct SettleOrder
{
  FencingToken mTerm;
  OrderId mId;
  /** True if it was executed; false if it was refused or never can be. */
  bool mDone = false;
  /** Sequence number of the announcement that showed the result. */
  std::uint64_t mSequence = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm, mId, mDone, mSequence);
  }
};

/**
 * Removes the account and the open orders of an incarnation that has ended.
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
