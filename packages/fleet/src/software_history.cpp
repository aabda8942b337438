#include "carobtide/fleet/software_history.hpp"

#include <algorithm>
#include <utility>

namespace carobtide {

void SoftwareHistory::OnContact(Instant aNow)
{
  if (mContactAt == Instant() || aNow - mContactAt > kMaxContactGap) {
    mSince = aNow;
  }
  mContactAt = aNow;
}

bool SoftwareHistory::Observe(Instant aNow, const ServiceName& aService,
                              const SoftwareVersion& aSoftware)
{
  auto& versions = mServedAt[aService];
  const bool isNew = versions.insert_or_assign(aSoftware, aNow).second;
  std::erase_if(versions, [&](const auto& aVersion) {
    return aNow - aVersion.second > mWindow;
  });
  return isNew;
}

bool SoftwareHistory::Observe(Instant aNow, const Heartbeat& aLast)
{
  return aLast.mPhase != TargetPhase::Gone &&
         Observe(aNow, aLast.mService, aLast.mSoftware);
}

bool SoftwareHistory::IsComplete(Instant aNow) const
{
  return mIsComplete ||
         (mContactAt != Instant() && aNow - mContactAt <= kMaxContactGap &&
          aNow - mSince >= mWindow);
}

std::vector<SoftwareVersion> SoftwareHistory::VersionsWithin(
  Instant aNow, const std::map<SoftwareVersion, Instant>& aServedAt) const
{
  std::vector<SoftwareVersion> versions;
  for (const auto& [software, servedAt] : aServedAt) {
    if (aNow - servedAt <= mWindow) {
      versions.push_back(software);
    }
  }
  return versions;
}

SoftwareSeen SoftwareHistory::Seen(Instant aNow,
                                   const ServiceName& aService) const
{
  SoftwareSeen seen;
  seen.mIsComplete = IsComplete(aNow);
  if (const auto it = mServedAt.find(aService); it != mServedAt.end()) {
    seen.mVersions = VersionsWithin(aNow, it->second);
  }
  return seen;
}

bool SoftwareHistory::IsMixed(Instant aNow, const ServiceName& aService) const
{
  return Seen(aNow, aService).mVersions.size() > 1;
}

void SoftwareHistory::Restore(Instant aNow, const SoftwareRecord& aRecord)
{
  mIsComplete = mIsComplete || aRecord.mIsComplete;
  for (const ServiceSoftware& service : aRecord.mServices) {
    for (const SoftwareVersion& software : service.mVersions) {
      Observe(aNow, service.mService, software);
    }
  }
}

SoftwareRecord SoftwareHistory::Record(Instant aNow) const
{
  SoftwareRecord record;
  record.mIsComplete = IsComplete(aNow);
  for (const auto& [service, servedAt] : mServedAt) {
    if (auto versions = VersionsWithin(aNow, servedAt); !versions.empty()) {
      record.mServices.push_back({ service, std::move(versions) });
    }
  }
  return record;
}

SoftwareCatchUp::SoftwareCatchUp(const std::vector<ServiceName>& aServices,
                                 std::size_t aDaemons)
  : mDaemons(aDaemons)
{
  for (const ServiceName& service : aServices) {
    mAnswers.emplace(service, 0);
  }
}

void SoftwareCatchUp::OnReply(const ServiceName& aService)
{
  const auto it = mAnswers.find(aService);
  if (it != mAnswers.end()) {
    ++it->second;
  }
}

bool SoftwareCatchUp::IsDone() const
{
  return std::ranges::all_of(mAnswers, [this](const auto& aAnswer) {
    return 2 * aAnswer.second > mDaemons;
  });
}

} // namespace carobtide
