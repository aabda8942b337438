#include "carobtide/placement/target_account.hpp"

#include <algorithm>
#include <numeric>

namespace carobtide {

CopyKey KeyOf(const ResidentModel& aResident)
{
  return { aResident.mModel, aResident.mAdapter, aResident.mVersion };
}

CopyKey KeyOf(const Order& aOrder)
{
  return { aOrder.mModel, aOrder.mAdapter, aOrder.mVersion };
}

bool TargetAccount::Observe(const TargetObservation& aSeen)
{
  if (aSeen.mSequence < mSequence) {
    return false;
  }
  mSequence = aSeen.mSequence;
  mMemory = aSeen.mMemory;
  for (const ResidentModel& resident : aSeen.mUnaccounted) {
    const AccountedCopy copy{ resident.mMemory, CopyState::Held,
                              resident.mOrder };
    const auto [it, isNew] = mCopies.try_emplace(KeyOf(resident), copy);
    if (isNew) {
      mReserved += resident.mMemory;
    } else if (resident.mMemory > it->second.mMemory) {
      mReserved += resident.mMemory - it->second.mMemory;
      it->second.mMemory = resident.mMemory;
    }
  }
  return true;
}

void TargetAccount::NoteSequence(std::uint64_t aSequence)
{
  mSequence = std::max(mSequence, aSequence);
}

bool TargetAccount::BeginLoad(const CopyKey& aKey, Bytes aMemory,
                              OrderId aOrder)
{
  const AccountedCopy copy{ aMemory, CopyState::Loading, aOrder };
  if (!mCopies.try_emplace(aKey, copy).second) {
    return false;
  }
  mReserved += aMemory;
  return true;
}

bool TargetAccount::BeginUnload(const CopyKey& aKey, OrderId aOrder)
{
  const auto it = mCopies.find(aKey);
  if (it == mCopies.end() || it->second.mState != CopyState::Held ||
      HasDependentAdapters(aKey)) {
    return false;
  }
  it->second.mState = CopyState::Unloading;
  it->second.mOrder = aOrder;
  return true;
}

bool TargetAccount::HasDependentAdapters(const CopyKey& aKey) const
{
  if (!aKey.mAdapter.IsEmpty()) {
    return false;
  }
  bool hasAdapter = false;
  bool hasOtherVersion = false;
  for (auto it = mCopies.lower_bound({ aKey.mModel, {}, 0 });
       it != mCopies.end() && it->first.mModel == aKey.mModel; ++it) {
    const bool isHeld = it->second.mState != CopyState::Unloading;
    hasAdapter |= isHeld && !it->first.mAdapter.IsEmpty();
    hasOtherVersion |= it->second.mState == CopyState::Held &&
                       it->first.mAdapter.IsEmpty() && it->first != aKey;
  }
  return hasAdapter && !hasOtherVersion;
}

void TargetAccount::Settle(const CopyKey& aKey, OrderId aOrder, bool aDone)
{
  const auto it = mCopies.find(aKey);
  if (it == mCopies.end() || it->second.mOrder != aOrder) {
    return;
  }
  const bool isLoad = it->second.mState == CopyState::Loading;
  if (isLoad == aDone) {
    it->second.mState = CopyState::Held;
    return;
  }
  Erase(it);
}

void TargetAccount::Erase(std::map<CopyKey, AccountedCopy>::iterator aIt)
{
  mReserved -= aIt->second.mMemory;
  mCopies.erase(aIt);
}

const AccountedCopy* TargetAccount::Find(const CopyKey& aKey) const
{
  const auto it = mCopies.find(aKey);
  return it == mCopies.end() ? nullptr : &it->second;
}

Bytes TargetAccount::Loading() const
{
  return std::accumulate(mCopies.begin(), mCopies.end(), Bytes{ 0 },
                         [](Bytes aSum, const auto& aEntry) {
                           return aEntry.second.mState == CopyState::Loading
                                    ? aSum + aEntry.second.mMemory
                                    : aSum;
                         });
}

} // namespace carobtide
