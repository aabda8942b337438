#pragma once

/**
 * @file
 * Orders and residents of one stand-in engine.
 */

#include "carobtide/cli/memory_account.hpp"
#include "carobtide/cli/weight_store.hpp"
#include "carobtide/placement/order.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace carobtide {

/** How an order is received. */
enum class OrderReply : std::uint8_t
{
  /** Begun, or under way since an earlier copy. */
  Accepted,
  /** Complete since an earlier copy, or nothing to do. */
  Done,
  WrongIncarnation,
  StaleFence,
  /** The memory does not fit: the account was overcommitted. */
  NoMemory,
  /** Unloads something that is not resident, or a wrong target. */
  Invalid,
};

inline constexpr EnumTable<OrderReply, 6> kOrderReplies{ { {
  { OrderReply::Accepted, "accepted" },
  { OrderReply::Done, "done" },
  { OrderReply::WrongIncarnation, "wrong-incarnation" },
  { OrderReply::StaleFence, "stale-fence" },
  { OrderReply::NoMemory, "no-memory" },
  { OrderReply::Invalid, "invalid" },
} } };

/** The resident versions that a request runs on. */
struct CopyUse
{
  ModelName mModel;
  std::uint32_t mModelVersion = 0;
  /** Empty if the request uses no adapter. */
  AdapterName mAdapter;
  std::uint32_t mAdapterVersion = 0;
};

/** Counts for measurements. */
struct OrderStats
{
  std::uint64_t mLoads = 0;
  std::uint64_t mAdapterLoads = 0;
  std::uint64_t mUnloads = 0;
  std::uint64_t mRefused = 0;
};

/**
 * Executes orders: loads take time, unloads wait until the requests that use
 * the model are through. Idempotent by order id. Memory is taken when a load
 * begins and freed when an unload completes.
 *
 * Thread safety: none; the owner guards it.
 */
class OrderBook
{
public:
  OrderBook(TargetName aTarget, Incarnation aIncarnation, Bytes aMemory,
            bool aChecksFencing);

  /** Makes a model resident at once. Precondition: its memory fits. */
  void Preload(const ResidentModel& aResident);

  OrderReply Accept(Instant aNow, const Order& aOrder, WeightStore& aStore);

  /** Completes what is due; true if the residents changed. */
  bool Advance(Instant aNow);

  /** When the next load completes; nothing if none is under way. */
  std::optional<Instant> NextDue() const;

  /** True if requests may use it; an adapter needs its model too. */
  bool IsServable(const ModelName& aModel, const AdapterName& aAdapter) const;

  /**
   * Counts a request that uses the highest version of a model.
   * Precondition: IsServable().
   */
  CopyUse BeginUse(const ModelName& aModel, const AdapterName& aAdapter);
  void EndUse(const CopyUse& aUse);

  /** What announcements report, models being unloaded included. */
  std::vector<ResidentModel> Residents() const;

  const std::vector<OrderId>& RefusedOrders() const { return mRefused; }
  EngineRole Role() const { return mRole; }
  const MemoryAccount& Memory() const { return mMemory; }
  const OrderStats& Stats() const { return mStats; }

private:
  struct Copy
  {
    ResidentModel mResident;
    /** Set while it loads. */
    std::optional<Instant> mReadyAt;
    /** Set by an unload order. */
    bool mUnloading = false;
    /** Requests that run on it. */
    std::uint32_t mUses = 0;
  };
  OrderReply Refuse(const Order& aOrder, OrderReply aReply);
  OrderReply BeginLoad(Instant aNow, const Order& aOrder, WeightStore& aStore);
  OrderReply BeginUnload(const Order& aOrder);
  const Copy* FindServable(const ModelName& aModel,
                           const AdapterName& aAdapter) const;
  Copy* FindVersion(const ModelName& aModel, const AdapterName& aAdapter,
                    std::uint32_t aVersion);
  bool FinishUnloads();

  TargetName mTarget;
  Incarnation mIncarnation;
  MemoryAccount mMemory;
  bool mChecksFencing;
  EngineRole mRole = EngineRole::Mixed;
  FencingToken mHighestFence;
  std::vector<Copy> mCopies;
  /** Every order accepted so far, for resends. */
  std::map<OrderId, Order> mSeen;
  std::vector<OrderId> mRefused;
  OrderStats mStats;
};

} // namespace carobtide
