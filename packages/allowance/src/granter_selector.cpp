#include "carobtide/allowance/granter_selector.hpp"

namespace carobtide {

void GranterSelector::Use(Instant aNow, const std::optional<Endpoint>& aGranter)
{
  mGranter = aGranter;
  mUsedSince = aNow;
  mUnansweredSince.reset();
}

void GranterSelector::SetHomes(Instant aNow,
                               const std::optional<Endpoint>& aHome,
                               const std::optional<Endpoint>& aStandby)
{
  const bool isOtherHome = aHome != mHome;
  mHome = aHome;
  mStandby = aStandby;
  if (mGranter != aHome && (isOtherHome || mGranter != aStandby)) {
    Use(aNow, aHome);
  }
}

void GranterSelector::OnReport(Instant aNow, bool aLacksCredit)
{
  if (aLacksCredit && !mUnansweredSince) {
    mUnansweredSince = aNow;
  }
}

void GranterSelector::OnReply()
{
  mUnansweredSince.reset();
}

bool GranterSelector::IsSilent(Instant aNow) const
{
  return mUnansweredSince && aNow - *mUnansweredSince >= kSilence;
}

bool GranterSelector::Update(Instant aNow)
{
  if (!IsSilent(aNow) || aNow - mUsedSince < kMinStay) {
    return false;
  }
  const std::optional<Endpoint>& other = mGranter == mHome ? mStandby : mHome;
  if (!other || other == mGranter) {
    return false;
  }
  Use(aNow, other);
  return true;
}

} // namespace carobtide
