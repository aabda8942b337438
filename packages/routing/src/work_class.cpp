#include "carobtide/routing/work_class.hpp"

#include <algorithm>
#include <cmath>

namespace carobtide {

std::uint32_t SlotRules::Limit(WorkClass aClass, std::uint32_t aSlots) const
{
  if (aClass == WorkClass::ShortInteractive) {
    const double excess = std::ceil(mInteractiveOvercommit * aSlots);
    return aSlots + static_cast<std::uint32_t>(excess);
  }
  const auto reserve =
    static_cast<std::uint32_t>(std::ceil(mShortReserve * aSlots));
  const std::uint32_t reserved =
    aClass == WorkClass::Batch ? 2 * reserve : reserve;
  return aSlots > reserved ? aSlots - reserved : 1;
}

std::uint32_t SlotRules::LongLimit(std::uint32_t aSlots) const
{
  return std::max(1U, static_cast<std::uint32_t>(mLongShare * aSlots));
}

bool SlotRules::HasRoom(WorkClass aClass, const SlotUse& aUse) const
{
  const std::uint32_t daemons = std::max(1U, mDaemons);
  if (IsLong(aClass)) {
    const std::uint32_t limit = LongLimit(aUse.mSlots);
    const bool isWithinShare = aUse.mOwnLong < limit / daemons;
    if (!isWithinShare && aUse.mOwnLong + aUse.mOthersLong >= limit) {
      return false;
    }
  }
  const std::uint32_t limit = Limit(aClass, aUse.mSlots);
  if (aUse.mOwn + aUse.mOthers < limit) {
    return true;
  }
  const bool isGuaranteed = aClass != WorkClass::Batch;
  return isGuaranteed && aUse.mOwn < std::max(1U, limit / daemons);
}

} // namespace carobtide
