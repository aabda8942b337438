#include "carobtide/cli/order_book.hpp"

#include <algorithm>
#include <cassert>

namespace carobtide {

namespace {

/** Announcements carry at most this many refused orders. */
constexpr std::size_t kMaxRefusedReported = 64;

} // namespace

OrderBook::OrderBook(TargetName aTarget, Incarnation aIncarnation,
                     Bytes aMemory, bool aChecksFencing)
  : mTarget(std::move(aTarget))
  , mIncarnation(aIncarnation)
  , mMemory(aMemory)
  , mChecksFencing(aChecksFencing)
{
}

void OrderBook::Preload(const ResidentModel& aResident)
{
  const bool fits = mMemory.Take(aResident.mMemory).HasValue();
  assert(fits);
  if (fits) {
    mCopies.push_back(Copy{ aResident });
  }
}

OrderReply OrderBook::Accept(Instant aNow, const Order& aOrder,
                             WeightStore& aStore)
{
  Advance(aNow);
  if (aOrder.mTarget != mTarget) {
    return OrderReply::Invalid;
  }
  if (aOrder.mIncarnation != mIncarnation) {
    return OrderReply::WrongIncarnation;
  }
  if (mSeen.contains(aOrder.mId)) {
    const Copy* copy =
      FindVersion(aOrder.mModel, aOrder.mAdapter, aOrder.mVersion);
    const bool isLoading = copy != nullptr && copy->mReadyAt.has_value();
    return isLoading ? OrderReply::Accepted : OrderReply::Done;
  }
  if (mChecksFencing && aOrder.mFence < mHighestFence) {
    return Refuse(aOrder, OrderReply::StaleFence);
  }
  mHighestFence = std::max(mHighestFence, aOrder.mFence);
  switch (aOrder.mAction) {
    case OrderAction::Load:
      return BeginLoad(aNow, aOrder, aStore);
    case OrderAction::Unload:
      return BeginUnload(aOrder);
    case OrderAction::SetRole:
      mRole = aOrder.mRole;
      mSeen.emplace(aOrder.mId, aOrder);
      return OrderReply::Done;
  }
  return OrderReply::Invalid;
}

bool OrderBook::Advance(Instant aNow)
{
  bool changed = false;
  for (Copy& copy : mCopies) {
    if (copy.mReadyAt && *copy.mReadyAt <= aNow) {
      copy.mReadyAt.reset();
      changed = true;
    }
  }
  return FinishUnloads() || changed;
}

std::optional<Instant> OrderBook::NextDue() const
{
  std::optional<Instant> soonest;
  for (const Copy& copy : mCopies) {
    if (copy.mReadyAt && (!soonest || *copy.mReadyAt < *soonest)) {
      soonest = copy.mReadyAt;
    }
  }
  return soonest;
}

bool OrderBook::IsServable(const ModelName& aModel,
                           const AdapterName& aAdapter) const
{
  return FindServable(aModel, AdapterName()) != nullptr &&
         (aAdapter.IsEmpty() || FindServable(aModel, aAdapter) != nullptr);
}

CopyUse OrderBook::BeginUse(const ModelName& aModel,
                            const AdapterName& aAdapter)
{
  assert(IsServable(aModel, aAdapter));
  CopyUse use{ aModel, FindServable(aModel, {})->mResident.mVersion, aAdapter };
  ++FindVersion(aModel, {}, use.mModelVersion)->mUses;
  if (!aAdapter.IsEmpty()) {
    use.mAdapterVersion = FindServable(aModel, aAdapter)->mResident.mVersion;
    ++FindVersion(aModel, aAdapter, use.mAdapterVersion)->mUses;
  }
  return use;
}

void OrderBook::EndUse(const CopyUse& aUse)
{
  Copy* model = FindVersion(aUse.mModel, {}, aUse.mModelVersion);
  assert(model != nullptr && model->mUses > 0);
  --model->mUses;
  if (!aUse.mAdapter.IsEmpty()) {
    Copy* adapter =
      FindVersion(aUse.mModel, aUse.mAdapter, aUse.mAdapterVersion);
    assert(adapter != nullptr && adapter->mUses > 0);
    --adapter->mUses;
  }
}

std::vector<ResidentModel> OrderBook::Residents() const
{
  std::vector<ResidentModel> residents;
  for (const Copy& copy : mCopies) {
    if (!copy.mReadyAt) {
      residents.push_back(copy.mResident);
    }
  }
  return residents;
}

OrderReply OrderBook::Refuse(const Order& aOrder, OrderReply aReply)
{
  ++mStats.mRefused;
  if (std::ranges::find(mRefused, aOrder.mId) == mRefused.end()) {
    mRefused.push_back(aOrder.mId);
  }
  if (mRefused.size() > kMaxRefusedReported) {
    mRefused.erase(mRefused.begin());
  }
  return aReply;
}

OrderReply OrderBook::BeginLoad(Instant aNow, const Order& aOrder,
                                WeightStore& aStore)
{
  Copy* held = FindVersion(aOrder.mModel, aOrder.mAdapter, aOrder.mVersion);
  if (held != nullptr) {
    mSeen.emplace(aOrder.mId, aOrder);
    held->mResident.mOrder = aOrder.mId;
    held->mUnloading = false;
    return held->mReadyAt ? OrderReply::Accepted : OrderReply::Done;
  }
  if (!mMemory.Take(aOrder.mMemory)) {
    return Refuse(aOrder, OrderReply::NoMemory);
  }
  mSeen.emplace(aOrder.mId, aOrder);
  const bool isAdapter = !aOrder.mAdapter.IsEmpty();
  ++(isAdapter ? mStats.mAdapterLoads : mStats.mLoads);
  Copy copy;
  copy.mResident = { aOrder.mModel, aOrder.mAdapter, aOrder.mVersion,
                     aOrder.mMemory, aOrder.mId };
  copy.mReadyAt = aStore.BookLoad(aNow, isAdapter);
  mCopies.push_back(std::move(copy));
  return OrderReply::Accepted;
}

OrderReply OrderBook::BeginUnload(const Order& aOrder)
{
  mSeen.emplace(aOrder.mId, aOrder);
  Copy* held = FindVersion(aOrder.mModel, aOrder.mAdapter, aOrder.mVersion);
  if (held == nullptr) {
    return OrderReply::Done;
  }
  held->mUnloading = true;
  ++mStats.mUnloads;
  FinishUnloads();
  return OrderReply::Accepted;
}

const OrderBook::Copy* OrderBook::FindServable(
  const ModelName& aModel, const AdapterName& aAdapter) const
{
  const Copy* best = nullptr;
  for (const Copy& copy : mCopies) {
    const ResidentModel& resident = copy.mResident;
    const bool isMatch =
      resident.mModel == aModel && resident.mAdapter == aAdapter;
    if (isMatch && !copy.mReadyAt && !copy.mUnloading &&
        (best == nullptr || resident.mVersion > best->mResident.mVersion)) {
      best = &copy;
    }
  }
  return best;
}

OrderBook::Copy* OrderBook::FindVersion(const ModelName& aModel,
                                        const AdapterName& aAdapter,
                                        std::uint32_t aVersion)
{
  const auto it = std::ranges::find_if(mCopies, [&](const Copy& aCopy) {
    return aCopy.mResident.mModel == aModel &&
           aCopy.mResident.mAdapter == aAdapter &&
           aCopy.mResident.mVersion == aVersion;
  });
  return it == mCopies.end() ? nullptr : &*it;
}

bool OrderBook::FinishUnloads()
{
  const auto erased = std::erase_if(mCopies, [&](const Copy& aCopy) {
    if (!aCopy.mUnloading || aCopy.mReadyAt || aCopy.mUses > 0) {
      return false;
    }
    mMemory.Free(aCopy.mResident.mMemory);
    return true;
  });
  return erased > 0;
}

} // namespace carobtide
