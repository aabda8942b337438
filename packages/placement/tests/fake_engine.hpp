#pragma once

/**
 * @file
 * An engine that executes orders in simulated time and tracks its memory.
 */

#include "carobtide/placement.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace carobtide {

/** Properties of a fake engine. */
struct FakeEngineOptions
{
  Bytes mMemory = 10;
  FailureDomain mDomain{ "a" };
  std::string mPool = "pool";
  bool mChecksFencing = false;
  Duration mModelLoadTime = std::chrono::seconds(2);
  Duration mAdapterLoadTime = std::chrono::milliseconds(20);
};

/**
 * Fake engine that does not deduplicate orders: a load or unload that is
 * delivered twice is executed twice.
 */
class FakeEngine
{
public:
  FakeEngine(TargetName aName, FakeEngineOptions aOptions)
    : mName(std::move(aName))
    , mOptions(std::move(aOptions))
  {
  }

  void Deliver(Instant aNow, const Order& aOrder, bool aRefuse = false)
  {
    Advance(aNow);
    if (!mIsUp || aOrder.mIncarnation != mIncarnation) {
      return;
    }
    if (aRefuse || (mOptions.mChecksFencing && aOrder.mFence < mFence)) {
      mRefused.push_back(aOrder.mId);
      return;
    }
    mFence = std::max(mFence, aOrder.mFence);
    if (aOrder.mAction == OrderAction::Load) {
      Load(aNow, aOrder);
    } else {
      Unload(aOrder);
    }
  }

  void Advance(Instant aNow)
  {
    for (auto it = mLoading.begin(); it != mLoading.end();) {
      if (it->mDoneAt <= aNow) {
        mResident.push_back(it->mCopy);
        it = mLoading.erase(it);
      } else {
        ++it;
      }
    }
  }

  Announcement Announce()
  {
    Announcement announcement;
    announcement.mTarget = mName;
    announcement.mIncarnation = mIncarnation;
    announcement.mSequence = ++mSequence;
    announcement.mFailureDomain = mOptions.mDomain;
    announcement.mAddress = { "127.0.0.1", 9000 };
    announcement.mPool = mOptions.mPool;
    announcement.mMemory = mOptions.mMemory;
    announcement.mResident = mResident;
    announcement.mRefusedOrders = mRefused;
    announcement.mChecksFencing = mOptions.mChecksFencing;
    announcement.mLeaving = mIsLeaving;
    return announcement;
  }

  /** Stops the process. Start then begins a new incarnation. */
  void Stop()
  {
    mIsUp = false;
    mResident.clear();
    mLoading.clear();
    mRefused.clear();
    mIsLeaving = false;
  }

  void Start()
  {
    mIsUp = true;
    mIncarnation = Incarnation(mIncarnation.Value() + 1);
    mSequence = 0;
    mFence = FencingToken{};
  }

  void SetLeaving(bool aIsLeaving) { mIsLeaving = aIsLeaving; }

  const TargetName& Name() const { return mName; }
  const FakeEngineOptions& Options() const { return mOptions; }
  bool IsUp() const { return mIsUp; }
  bool IsLeaving() const { return mIsLeaving; }
  const std::vector<ResidentModel>& Resident() const { return mResident; }
  std::vector<ResidentModel>& Resident() { return mResident; }

  Bytes Used() const
  {
    Bytes used = 0;
    for (const ResidentModel& copy : mResident) {
      used += copy.mMemory;
    }
    for (const ActiveLoad& load : mLoading) {
      used += load.mCopy.mMemory;
    }
    return used;
  }
  bool IsOvercommitted() const { return Used() > mOptions.mMemory; }

  std::size_t ModelLoads() const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(mLoading, [](const ActiveLoad& aLoad) {
        return aLoad.mCopy.mAdapter.IsEmpty();
      }));
  }
  std::size_t AdapterLoads() const { return mLoading.size() - ModelLoads(); }

  /** True if it can serve requests for the model. */
  bool Serves(const ModelName& aModel) const
  {
    return mIsUp && std::ranges::any_of(mResident, [&](const auto& aCopy) {
             return aCopy.mModel == aModel && aCopy.mAdapter.IsEmpty();
           });
  }
  bool Holds(const CopyKey& aKey) const
  {
    return mIsUp && std::ranges::any_of(mResident, [&](const auto& aCopy) {
             return KeyOf(aCopy) == aKey;
           });
  }

private:
  struct ActiveLoad
  {
    ResidentModel mCopy;
    Instant mDoneAt;
  };

  void Load(Instant aNow, const Order& aOrder)
  {
    const bool isLoading =
      std::ranges::any_of(mLoading, [&](const ActiveLoad& aLoad) {
        return KeyOf(aLoad.mCopy) == KeyOf(aOrder);
      });
    if (isLoading || Holds(KeyOf(aOrder))) {
      return;
    }
    const Duration time = aOrder.mAdapter.IsEmpty() ? mOptions.mModelLoadTime
                                                    : mOptions.mAdapterLoadTime;
    mLoading.push_back({ { aOrder.mModel, aOrder.mAdapter, aOrder.mVersion,
                           aOrder.mMemory, aOrder.mId },
                         aNow + time });
  }

  void Unload(const Order& aOrder)
  {
    std::erase_if(mResident, [&](const ResidentModel& aCopy) {
      return KeyOf(aCopy) == KeyOf(aOrder);
    });
  }

  TargetName mName;
  FakeEngineOptions mOptions;
  Incarnation mIncarnation{ 1 };
  bool mIsUp = true;
  bool mIsLeaving = false;
  std::uint64_t mSequence = 0;
  FencingToken mFence;
  std::vector<ResidentModel> mResident;
  std::vector<ActiveLoad> mLoading;
  std::vector<OrderId> mRefused;
};

} // namespace carobtide
