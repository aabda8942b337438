#pragma once

/**
 * @file
 * Orders to engines and the replicated commands about them.
 */

#include "carobtide/placement/announcement.hpp"

#include <cereal/types/variant.hpp>

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

/** An order to one incarnation of a target. */
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

/** Commits an order before it is sent. Its id is the log index. */
struct CommitOrder
{
  Order mOrder;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mOrder);
  }
};

/** Records that an order can have no further effect. */
struct SettleOrder
{
  OrderId mId;
  /** True if the target did it; false if it refused or cannot any more. */
  bool mDone = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mDone);
  }
};

using PlacementCommand = std::variant<CommitOrder, SettleOrder>;

} // namespace carobtide
