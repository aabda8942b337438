#pragma once

/**
 * @file
 * One stand-in engine without its sockets: batch, orders, cache, slow-downs
 * and announcements.
 */

#include "carobtide/cli/announcer.hpp"
#include "carobtide/cli/completion.hpp"
#include "carobtide/cli/engine_model.hpp"
#include "carobtide/cli/order_book.hpp"
#include "carobtide/cli/prefix_cache.hpp"
#include "carobtide/cli/slow_downs.hpp"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace carobtide {

/** What a stand-in engine is and how it behaves. */
struct EngineCoreOptions
{
  TargetName mName;
  FailureDomain mFailureDomain;
  std::string mPool;
  Bytes mMemory = 80 * kGiB;
  std::uint32_t mAccelerators = 1;
  bool mChecksFencing = false;
  EngineOptions mEngine;
  SlowDownOptions mSlowDowns;
  /** Age of the load figures in announcements. */
  Duration mReportLag{ 0 };
  std::size_t mCacheBlocks = 4096;
  std::uint64_t mSeed = 1;
  /** Resident from the start, and again after a crash. */
  std::vector<ResidentModel> mPreloaded;
};

/**
 * One incarnation of a stand-in engine.
 *
 * Thread safety: none; the owner guards it. Times passed in never decrease.
 */
class EngineCore
{
public:
  EngineCore(EngineCoreOptions aOptions, Incarnation aIncarnation,
             Instant aNow);

  /** True if the model, and the adapter if one is named, can serve. */
  bool CanServe(const Completion& aCompletion) const;

  /** Starts a request. Precondition: CanServe(). */
  SequenceId Begin(Instant aNow, const Completion& aCompletion,
                   std::uint32_t aAnswerTokens);

  /** Ends a request, finished or cancelled. Unknown ids are ignored. */
  void End(Instant aNow, SequenceId aId);

  OrderReply AcceptOrder(Instant aNow, const Order& aOrder,
                         WeightStore& aStore);

  /** What Advance found. */
  struct Changes
  {
    std::vector<SequenceProgress> mProgress;
    bool mResidentsChanged = false;
  };
  Changes Advance(Instant aNow);

  /** When Advance has something to do next. */
  std::optional<Instant> NextDue() const;

  /** The next announcement; each has a higher sequence number. */
  Announcement MakeAnnouncement(Instant aNow, const Endpoint& aAddress,
                                bool aLeaving);

  /** Hands out the cache events since the last call. */
  std::vector<PrefixEvent> TakeCacheEvents();

  const OrderBook& Orders() const { return mOrders; }
  std::uint64_t RequestsBegun() const { return mNextSequence; }

private:
  void ApplySlowness(Instant aNow);
  LoadReport CurrentLoad() const;

  EngineCoreOptions mOptions;
  Incarnation mIncarnation;
  EngineModel mModel;
  OrderBook mOrders;
  PrefixCache mCache;
  SlowDowns mSlowDowns;
  LoadLag mLag;
  double mSlowness = 1.0;
  std::uint64_t mNextSequence = 0;
  std::uint64_t mAnnouncements = 0;
  std::vector<PrefixEvent> mCacheEvents;
  std::unordered_map<SequenceId, CopyUse> mUses;
};

} // namespace carobtide
