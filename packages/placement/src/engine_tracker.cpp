#include "carobtide/placement/engine_tracker.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace carobtide {

namespace {

/** An account is asked for again after this long without an answer. */
constexpr Duration kReportTimeout = std::chrono::milliseconds(600);
/** Between two accounts while a model order is under way. */
constexpr Duration kReportInterval = std::chrono::milliseconds(300);
/**
 * What an engine says of itself may be this old; it is compared with what was
 * ordered only after that.
 */
constexpr Duration kReportAge = std::chrono::milliseconds(400);
constexpr Duration kHeartbeatAge = std::chrono::milliseconds(1500);
/** Before an order without an answer is sent again. */
constexpr Duration kResendDelay = std::chrono::milliseconds(200);

} // namespace

EngineTracker::EngineTracker(Heartbeat aHeartbeat, bool aSilent)
  : mLast(std::move(aHeartbeat))
  , mSilent(aSilent)
  , mModels(mLast.mModels)
{
}

void EngineTracker::OnHeartbeat(Instant aNow, const Heartbeat& aHeartbeat,
                                bool aSilent)
{
  const bool isNewer = aHeartbeat.mSequence > mLast.mSequence;
  mLast = aHeartbeat;
  mSilent = aSilent;
  if (isNewer && mWork && !mOpen) {
    const ResidencyOrder& order = mWork->mOrder;
    const bool isHeld =
      std::ranges::find(mLast.mModels, order.mModel, &HeldModel::mName) !=
      mLast.mModels.end();
    if (isHeld == (order.mAction == ResidencyAction::Load)) {
      mWork.reset();
      Adopt(aNow, mLast.mModels);
      return;
    }
  }
  const bool isQuiet = !mOpen && !mWork && aNow - mChangedAt > kHeartbeatAge;
  if (isNewer && isQuiet) {
    Adopt(aNow, aHeartbeat.mModels);
  }
}

void EngineTracker::Adopt(Instant aNow, const std::vector<HeldModel>& aModels)
{
  for (const HeldModel& model : aModels) {
    if (!Holds(model.mName)) {
      mHeldSince[model.mName] = aNow;
    }
  }
  mModels = aModels;
}

bool EngineTracker::WantsReport(Instant aNow)
{
  const bool isLost = mReportOpen && aNow - mReportAskedAt > kReportTimeout;
  if ((mReportOpen && !isLost) || aNow < mReportAt || !IsUsable()) {
    return false;
  }
  const bool isWanted = !mKnown || mBusy || mWork;
  if (isWanted) {
    mReportOpen = true;
    mReportAskedAt = aNow;
  }
  return isWanted;
}

void EngineTracker::OnReport(Instant aNow, Instant aAskedAt,
                             const std::optional<EngineReport>& aReport)
{
  mReportOpen = false;
  mReportAt = aNow + kReportInterval;
  const bool isOlder = aAskedAt - kReportAge < mChangedAt;
  if (!aReport || mOpen || isOlder) {
    return;
  }
  mKnown = true;
  mBusy = aReport->mBusy;
  mAccepted = aReport->mAccepted;
  if (!mBusy) {
    mWork.reset();
    Adopt(aNow, aReport->mModels);
  }
}

bool EngineTracker::IsFree(Instant) const
{
  return mKnown && !mBusy && !mOpen && !mWork && IsUsable();
}

void EngineTracker::OnSent(Instant aNow, const ResidencyOrder& aOrder,
                           Duration aExpectedTime)
{
  assert(!mOpen);
  mOpen = aOrder;
  mExpectedTime = aExpectedTime;
  mSentAt = aNow;
  mResend = false;
}

std::optional<ResidencyOrder> EngineTracker::TakeResend(Instant aNow)
{
  if (!mOpen || !mResend || aNow - mSentAt < kResendDelay) {
    return std::nullopt;
  }
  mResend = false;
  mSentAt = aNow;
  return mOpen;
}

void EngineTracker::Apply(Instant aNow, const ResidencyOrder& aOrder)
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
  if (!mOpen || mOpen->mId != aOrder) {
    return;
  }
  if (aAnswer == ResidencyAnswer::Unknown) {
    mResend = true;
    mSentAt = aNow;
    return;
  }
  const ResidencyOrder order = std::move(*mOpen);
  mOpen.reset();
  const bool isForModel = order.mAdapter.IsEmpty();
  switch (aAnswer) {
    case ResidencyAnswer::Accepted:
      ++mAccepted;
      mChangedAt = aNow;
      if (isForModel) {
        mWork = Work{ order, aNow + mExpectedTime };
        // The account lags, so that an early one only costs.
        mReportAt = aNow + mExpectedTime + kReportAge;
      } else {
        Apply(aNow, order);
      }
      break;
    case ResidencyAnswer::Done:
      if (order.mAction == ResidencyAction::Unload) {
        ++mAccepted;
      }
      Apply(aNow, order);
      break;
    case ResidencyAnswer::Conflict:
    case ResidencyAnswer::Refused:
      mKnown = false;
      mChangedAt = aNow - kReportAge;
      mReportAt = aNow + kReportInterval;
      break;
    case ResidencyAnswer::Unknown:
      break;
  }
}

bool EngineTracker::IsUsable() const
{
  return mLast.mPhase == TargetPhase::Ready && !mSilent;
}

std::vector<HeldModel> EngineTracker::Serving() const
{
  std::vector<HeldModel> serving;
  const auto isLeaving = [&](const std::optional<ResidencyOrder>& aOrder,
                             const HeldModel& aModel) {
    return aOrder && aOrder->mAction == ResidencyAction::Unload &&
           aOrder->mAdapter.IsEmpty() && aOrder->mModel == aModel.mName;
  };
  const std::optional<ResidencyOrder> work =
    mWork ? std::optional(mWork->mOrder) : std::nullopt;
  std::ranges::copy_if(
    mModels, std::back_inserter(serving), [&](const HeldModel& aModel) {
      return !isLeaving(mOpen, aModel) && !isLeaving(work, aModel);
    });
  return serving;
}

std::vector<ModelName> EngineTracker::Occupying() const
{
  std::vector<ModelName> names;
  std::ranges::transform(mModels, std::back_inserter(names), &HeldModel::mName);
  const auto add = [&](const ResidencyOrder& aOrder) {
    if (aOrder.mAdapter.IsEmpty() && !Holds(aOrder.mModel)) {
      names.push_back(aOrder.mModel);
    }
  };
  if (mOpen) {
    add(*mOpen);
  }
  if (mWork) {
    add(mWork->mOrder);
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

bool EngineTracker::IsLoading(const ModelName& aModel) const
{
  const auto loads = [&](const ResidencyOrder& aOrder) {
    return aOrder.mAction == ResidencyAction::Load &&
           aOrder.mAdapter.IsEmpty() && aOrder.mModel == aModel;
  };
  return (mOpen && loads(*mOpen)) || (mWork && loads(mWork->mOrder));
}

std::optional<ModelName> EngineTracker::Loading() const
{
  const ResidencyOrder* order = mOpen   ? &*mOpen
                                : mWork ? &mWork->mOrder
                                        : nullptr;
  const bool isLoad = order != nullptr && IsLoading(order->mModel);
  return isLoad && !Holds(order->mModel) ? std::optional(order->mModel)
                                         : std::nullopt;
}

Instant EngineTracker::HeldSince(const ModelName& aModel) const
{
  const auto it = mHeldSince.find(aModel);
  return it == mHeldSince.end() ? Instant() : it->second;
}

bool EngineTracker::HasCopyInMemory(const ModelName& aModel) const
{
  return std::ranges::find(mLast.mInHostMemory, aModel) !=
         mLast.mInHostMemory.end();
}

bool EngineTracker::HasCopyOnDisk(const ModelName& aModel) const
{
  return std::ranges::find(mLast.mOnDisk, aModel) != mLast.mOnDisk.end();
}

} // namespace carobtide
