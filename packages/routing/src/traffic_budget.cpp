#include "carobtide/routing/traffic_budget.hpp"

#include <algorithm>

namespace carobtide {

TrafficBudget::TrafficBudget(double aShare)
  : mShare(aShare)
  , mTokens(aShare > 0.0 ? kBurst : 0.0)
{
}

void TrafficBudget::OnFirstAttempt()
{
  mTokens = std::min(kBurst, mTokens + mShare);
}

bool TrafficBudget::Take()
{
  if (mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

} // namespace carobtide
