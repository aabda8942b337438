#include "carobtide/fleet/software_history.hpp"

namespace carobtide {

void SoftwareHistory::OnContact(Instant aNow)
{
  if (mContactAt == Instant() || aNow - mContactAt > kMaxContactGap) {
    mSince = aNow;
  }
  mContactAt = aNow;
}

void SoftwareHistory::Observe(Instant aNow, const ServiceName& aService,
                              const SoftwareVersion& aSoftware)
{
  auto& versions = mServedAt[aService];
  versions[aSoftware] = aNow;
  std::erase_if(versions, [&](const auto& aVersion) {
    return aNow - aVersion.second > mWindow;
  });
}

void SoftwareHistory::Observe(Instant aNow, const Heartbeat& aLast)
{
  if (aLast.mPhase != TargetPhase::Gone) {
    Observe(aNow, aLast.mService, aLast.mSoftware);
  }
}

SoftwareSeen SoftwareHistory::Seen(Instant aNow,
                                   const ServiceName& aService) const
{
  SoftwareSeen seen;
  seen.mIsComplete = mContactAt != Instant() &&
                     aNow - mContactAt <= kMaxContactGap &&
                     aNow - mSince >= mWindow;
  if (const auto it = mServedAt.find(aService); it != mServedAt.end()) {
    for (const auto& [software, servedAt] : it->second) {
      if (aNow - servedAt <= mWindow) {
        seen.mVersions.push_back(software);
      }
    }
  }
  return seen;
}

bool SoftwareHistory::IsMixed(Instant aNow, const ServiceName& aService) const
{
  return Seen(aNow, aService).mVersions.size() > 1;
}

} // namespace carobtide
