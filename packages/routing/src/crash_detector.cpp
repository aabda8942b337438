#include "carobtide/routing/crash_detector.hpp"

#include <algorithm>

namespace carobtide {

void CrashDetector::OnConnectionLost(Instant aNow, TargetIndex aTarget,
                                     const LostRequest& aLost)
{
  Pending& pending = mPending[aTarget];
  pending.mLostAt = aNow;
  pending.mLost.push_back(aLost);
}

CrashDecision CrashDetector::OnDead(TargetIndex aTarget)
{
  return TakeDecision(aTarget, true);
}

CrashDecision CrashDetector::OnAlive(Instant aNow, TargetIndex aTarget)
{
  const auto it = mPending.find(aTarget);
  if (it == mPending.end() ||
      it->second.mLostAt + kStaleEvidenceWindow > aNow) {
    return { aTarget, false, {} };
  }
  return TakeDecision(aTarget, false);
}

std::vector<CrashDecision> CrashDetector::Expire(Instant aNow)
{
  std::vector<TargetIndex> due;
  for (const auto& [target, pending] : mPending) {
    if (pending.mLostAt + kDecisionTimeout <= aNow) {
      due.push_back(target);
    }
  }
  std::vector<CrashDecision> decisions;
  std::ranges::transform(
    due, std::back_inserter(decisions),
    [this](TargetIndex aIt) { return TakeDecision(aIt, true); });
  return decisions;
}

void CrashDetector::Forget(RequestId aRequest)
{
  for (auto& [target, pending] : mPending) {
    std::erase_if(pending.mLost, [&](const LostRequest& aLost) {
      return aLost.mRequest == aRequest;
    });
  }
}

CrashDecision CrashDetector::TakeDecision(TargetIndex aTarget, bool aCrashed)
{
  CrashDecision decision{ aTarget, aCrashed, {} };
  const auto it = mPending.find(aTarget);
  if (it != mPending.end()) {
    decision.mLost = std::move(it->second.mLost);
    mPending.erase(it);
  }
  return decision;
}

} // namespace carobtide
