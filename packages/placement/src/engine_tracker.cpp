#include "carobtide/placement/engine_tracker.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <numeric>
#include <utility>

namespace carobtide {

namespace {

/** Time without a reply after which a report is requested again. */
constexpr Duration kReportTimeout = std::chrono::milliseconds(600);
/** Time between two reports while the engine is busy or its count unknown. */
constexpr Duration kReportInterval = std::chrono::milliseconds(300);
/**
 * Upper bounds for the age of the state in a report or heartbeat. State that
 * may predate the last change is ignored.
 */
constexpr Duration kMaxReportAge = std::chrono::milliseconds(400);
constexpr Duration kMaxHeartbeatAge = std::chrono::milliseconds(1500);
/** Time after which an order without an answer is resent. */
constexpr Duration kResendDelay = std::chrono::milliseconds(200);

/** True if each of some models is among others, with all its adapters. */
bool HoldsAll(const std::vector<HeldModel>& aOthers,
              const std::vector<HeldModel>& aModels)
{
  return std::ranges::all_of(aModels, [&](const HeldModel& aModel) {
    const auto other =
      std::ranges::find(aOthers, aModel.mName, &HeldModel::mName);
    return other != aOthers.end() &&
           std::ranges::all_of(aModel.mAdapters, [&](const auto& aAdapter) {
             return std::ranges::find(other->mAdapters, aAdapter) !=
                    other->mAdapters.end();
           });
  });
}

} // namespace

EngineTracker::EngineTracker(Heartbeat aHeartbeat, bool aSilent)
  : mLastHeartbeat(std::move(aHeartbeat))
  , mSilent(aSilent)
  , mModels(mLastHeartbeat.mModels)
{
}

void EngineTracker::OnHeartbeat(Instant aNow, const Heartbeat& aHeartbeat,
                                bool aSilent)
{
  const bool isNewer = aHeartbeat.mSequence > mLastHeartbeat.mSequence;
  mLastHeartbeat = aHeartbeat;
  mSilent = aSilent;
  if (isNewer && mRunning && !mUnanswered &&
      ShowsEndOf(mRunning->mOrder, mLastHeartbeat.mModels)) {
    mRunning.reset();
    mChangedAt = aNow;
    ReplaceModels(aNow, mLastHeartbeat.mModels);
    return;
  }
  const bool isIdle =
    !mUnanswered && !mRunning && aNow - mChangedAt > kMaxHeartbeatAge;
  if (!isNewer || !isIdle) {
    return;
  }
  if (HoldsAll(aHeartbeat.mModels, mModels)) {
    ReplaceModels(aNow, aHeartbeat.mModels);
  } else {
    // It may have been written long ago, and memory is not free on its word: a
    // report must tell.
    mIsCountKnown = false;
  }
}

bool EngineTracker::ShowsEndOf(const ResidencyOrder& aOrder,
                               const std::vector<HeldModel>& aModels) const
{
  const bool isLoad = aOrder.mAction == ResidencyAction::Load;
  const bool isHeld = std::ranges::find(aModels, aOrder.mModel,
                                        &HeldModel::mName) != aModels.end();
  std::vector<HeldModel> kept = mModels;
  if (!isLoad) {
    std::erase_if(kept, [&](const HeldModel& aModel) {
      return aModel.mName == aOrder.mModel;
    });
  }
  return isHeld == isLoad && HoldsAll(aModels, kept);
}

void EngineTracker::ReplaceModels(Instant aNow,
                                  const std::vector<HeldModel>& aModels)
{
  for (const HeldModel& model : aModels) {
    if (!Holds(model.mName)) {
      mHeldSince[model.mName] = aNow;
    }
  }
  mModels = aModels;
  for (const EngineAdapter& adapter : mUnloadingAdapters) {
    const auto model =
      std::ranges::find(mModels, adapter.mModel, &HeldModel::mName);
    if (model != mModels.end()) {
      std::erase(model->mAdapters, adapter.mAdapter);
    }
  }
}

void EngineTracker::EndAdapterUnloads(const std::vector<HeldModel>& aModels)
{
  std::erase_if(mUnloadingAdapters, [&](const EngineAdapter& aAdapter) {
    const HeldModel wanted{ aAdapter.mModel, 0, { aAdapter.mAdapter } };
    return !HoldsAll(aModels, { wanted });
  });
}

bool EngineTracker::ShouldRequestReport(Instant aNow)
{
  const bool hasTimedOut =
    mIsReportPending && aNow - mReportRequestedAt > kReportTimeout;
  if ((mIsReportPending && !hasTimedOut) || aNow < mNextReportAt ||
      aNow < mPausedUntil || !IsUsable()) {
    return false;
  }
  const bool isWanted =
    !mIsCountKnown || mBusy || mRunning || !mUnloadingAdapters.empty();
  if (isWanted) {
    mIsReportPending = true;
    mReportRequestedAt = aNow;
  }
  return isWanted;
}

void EngineTracker::OnReport(Instant aNow, Instant aRequestedAt,
                             const std::optional<EngineReport>& aReport)
{
  mIsReportPending = false;
  mNextReportAt = aNow + kReportInterval;
  const bool isOutdated = aRequestedAt - kMaxReportAge < mChangedAt;
  if (!aReport || mUnanswered || isOutdated) {
    return;
  }
  mIsCountKnown = true;
  mBusy = aReport->mBusy;
  mAccepted = aReport->mAccepted;
  if (!mBusy) {
    if (mRunning) {
      mRunning.reset();
      mChangedAt = aNow;
    }
    EndAdapterUnloads(aReport->mModels);
    ReplaceModels(aNow, aReport->mModels);
  }
}

bool EngineTracker::IsFree(Instant aNow) const
{
  return mIsCountKnown && !mBusy && !mUnanswered && !mRunning &&
         aNow >= mPausedUntil && mLimit.IsNone() && IsUsable();
}

void EngineTracker::OnPause(Instant aUntil)
{
  mPausedUntil = std::max(mPausedUntil, aUntil);
}

void EngineTracker::OnSent(Instant aNow, const ResidencyOrder& aOrder,
                           Duration aExpectedTime)
{
  assert(!mUnanswered);
  mUnanswered = aOrder;
  mExpectedTime = aExpectedTime;
  mSentAt = aNow;
  mMustResend = false;
}

std::optional<ResidencyOrder> EngineTracker::TakeResend(Instant aNow)
{
  if (!mUnanswered || !mMustResend || aNow - mSentAt < kResendDelay ||
      aNow < mPausedUntil) {
    return std::nullopt;
  }
  mMustResend = false;
  mSentAt = aNow;
  return mUnanswered;
}

void EngineTracker::ApplyAdapterOrder(Instant aNow,
                                      const ResidencyOrder& aOrder)
{
  if (aOrder.mAdapter.IsEmpty()) {
    return;
  }
  const auto model =
    std::ranges::find(mModels, aOrder.mModel, &HeldModel::mName);
  if (model == mModels.end()) {
    return;
  }
  std::erase(model->mAdapters, aOrder.mAdapter);
  if (aOrder.mAction == ResidencyAction::Load) {
    model->mAdapters.push_back(aOrder.mAdapter);
  }
  mChangedAt = aNow;
}

void EngineTracker::OnAnswer(Instant aNow, OrderId aOrder,
                             ResidencyAnswer aAnswer)
{
  if (!mUnanswered || mUnanswered->mId != aOrder) {
    return;
  }
  if (aAnswer == ResidencyAnswer::Unknown) {
    mMustResend = true;
    mSentAt = aNow;
    return;
  }
  const ResidencyOrder order = std::move(*mUnanswered);
  mUnanswered.reset();
  const bool isForModel = order.mAdapter.IsEmpty();
  switch (aAnswer) {
    case ResidencyAnswer::Accepted:
      ++mAccepted;
      mChangedAt = aNow;
      if (isForModel) {
        mRunning = RunningOrder{ order, aNow + mExpectedTime };
        // Reports lag behind, so one requested earlier would be of no use.
        mNextReportAt = aNow + mExpectedTime + kMaxReportAge;
      } else {
        ApplyAdapterOrder(aNow, order);
        if (order.mAction == ResidencyAction::Unload) {
          mUnloadingAdapters.push_back({ order.mModel, order.mAdapter });
        }
      }
      break;
    case ResidencyAnswer::Done:
      if (order.mAction == ResidencyAction::Unload) {
        ++mAccepted;
      }
      ApplyAdapterOrder(aNow, order);
      break;
    case ResidencyAnswer::Conflict:
    case ResidencyAnswer::Refused:
      mIsCountKnown = false;
      mChangedAt = aNow - kMaxReportAge;
      mNextReportAt = aNow + kReportInterval;
      break;
    case ResidencyAnswer::Unknown:
      break;
  }
}

bool EngineTracker::IsUsable() const
{
  return mLastHeartbeat.mPhase == TargetPhase::Ready && !mSilent;
}

std::vector<HeldModel> EngineTracker::Serving() const
{
  std::vector<HeldModel> serving;
  const auto isBeingUnloaded = [&](const std::optional<ResidencyOrder>& aOrder,
                                   const HeldModel& aModel) {
    return aOrder && aOrder->mAction == ResidencyAction::Unload &&
           aOrder->mAdapter.IsEmpty() && aOrder->mModel == aModel.mName;
  };
  const std::optional<ResidencyOrder> running =
    mRunning ? std::optional(mRunning->mOrder) : std::nullopt;
  std::ranges::copy_if(mModels, std::back_inserter(serving),
                       [&](const HeldModel& aModel) {
                         return !isBeingUnloaded(mUnanswered, aModel) &&
                                !isBeingUnloaded(running, aModel);
                       });
  return serving;
}

std::vector<ModelName> EngineTracker::ModelsUsingMemory() const
{
  std::vector<ModelName> names;
  std::ranges::transform(mModels, std::back_inserter(names), &HeldModel::mName);
  const auto add = [&](const ResidencyOrder& aOrder) {
    if (aOrder.mAdapter.IsEmpty() && !Holds(aOrder.mModel)) {
      names.push_back(aOrder.mModel);
    }
  };
  if (mUnanswered) {
    add(*mUnanswered);
  }
  if (mRunning) {
    add(mRunning->mOrder);
  }
  return names;
}

const HeldModel* EngineTracker::Find(const ModelName& aModel) const
{
  const auto it = std::ranges::find(mModels, aModel, &HeldModel::mName);
  return it == mModels.end() ? nullptr : &*it;
}

bool EngineTracker::Holds(const ModelName& aModel) const
{
  return Find(aModel) != nullptr;
}

std::size_t EngineTracker::AdapterPlaces() const
{
  return std::accumulate(mModels.begin(), mModels.end(),
                         mUnloadingAdapters.size(),
                         [](std::size_t aSum, const HeldModel& aModel) {
                           return aSum + aModel.mAdapters.size();
                         });
}

bool EngineTracker::IsUnloading(const ModelName& aModel,
                                const AdapterName& aAdapter) const
{
  return std::ranges::find(mUnloadingAdapters,
                           EngineAdapter{ aModel, aAdapter }) !=
         mUnloadingAdapters.end();
}

bool EngineTracker::IsLoading(const ModelName& aModel) const
{
  const auto loads = [&](const ResidencyOrder& aOrder) {
    return aOrder.mAction == ResidencyAction::Load &&
           aOrder.mAdapter.IsEmpty() && aOrder.mModel == aModel;
  };
  return (mUnanswered && loads(*mUnanswered)) ||
         (mRunning && loads(mRunning->mOrder));
}

std::optional<ModelName> EngineTracker::Loading() const
{
  const ResidencyOrder* order = mUnanswered ? &*mUnanswered
                                : mRunning  ? &mRunning->mOrder
                                            : nullptr;
  const bool isLoad = order != nullptr && IsLoading(order->mModel);
  return isLoad && !Holds(order->mModel) ? std::optional(order->mModel)
                                         : std::nullopt;
}

Instant EngineTracker::DueAt() const
{
  assert(IsBusy());
  return mRunning ? mRunning->mDueAt : mSentAt + mExpectedTime;
}

Instant EngineTracker::HeldSince(const ModelName& aModel) const
{
  const auto it = mHeldSince.find(aModel);
  return it == mHeldSince.end() ? Instant() : it->second;
}

bool EngineTracker::HasCopyInMemory(const ModelName& aModel) const
{
  return std::ranges::find(mLastHeartbeat.mInHostMemory, aModel) !=
         mLastHeartbeat.mInHostMemory.end();
}

bool EngineTracker::HasCopyOnDisk(const ModelName& aModel) const
{
  return std::ranges::find(mLastHeartbeat.mOnDisk, aModel) !=
         mLastHeartbeat.mOnDisk.end();
}

} // namespace carobtide
