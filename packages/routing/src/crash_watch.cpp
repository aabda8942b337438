#include "carobtide/routing/crash_watch.hpp"

#include <algorithm>

namespace carobtide {

void CrashWatch::OnLost(Instant aNow, TargetIndex aTarget,
                        const LostRequest& aLost)
{
  Pending& pending = mPending[aTarget];
  pending.mLostAt = aNow;
  pending.mLost.push_back(aLost);
}

CrashVerdict CrashWatch::OnDead(TargetIndex aTarget)
{
  return Take(aTarget, true);
}

CrashVerdict CrashWatch::OnAlive(Instant aNow, TargetIndex aTarget)
{
  const auto it = mPending.find(aTarget);
  if (it == mPending.end() || it->second.mLostAt + kEvidenceDelay > aNow) {
    return { aTarget, false, {} };
  }
  return Take(aTarget, false);
}

std::vector<CrashVerdict> CrashWatch::Expire(Instant aNow)
{
  std::vector<TargetIndex> due;
  for (const auto& [target, pending] : mPending) {
    if (pending.mLostAt + kPatience <= aNow) {
      due.push_back(target);
    }
  }
  std::vector<CrashVerdict> verdicts;
  std::ranges::transform(due, std::back_inserter(verdicts),
                         [this](TargetIndex aIt) { return Take(aIt, true); });
  return verdicts;
}

void CrashWatch::Forget(RequestId aRequest)
{
  for (auto& [target, pending] : mPending) {
    std::erase_if(pending.mLost, [&](const LostRequest& aLost) {
      return aLost.mRequest == aRequest;
    });
  }
}

CrashVerdict CrashWatch::Take(TargetIndex aTarget, bool aCrashed)
{
  CrashVerdict verdict{ aTarget, aCrashed, {} };
  const auto it = mPending.find(aTarget);
  if (it != mPending.end()) {
    verdict.mLost = std::move(it->second.mLost);
    mPending.erase(it);
  }
  return verdict;
}

} // namespace carobtide
