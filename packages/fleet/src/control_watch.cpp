#include "carobtide/fleet/control_watch.hpp"

#include <algorithm>
#include <iterator>

namespace carobtide {

namespace {

/** A member is mentioned in each answer; watches are answered each second. */
constexpr Duration kMentionAge = std::chrono::milliseconds(2500);
/**
 * A watch that waited for less may have been sent to a process that had ended
 * before: the time of a round trip, with a margin.
 */
constexpr Duration kMinWait = std::chrono::milliseconds(20);

bool IsMajority(std::size_t aCount, std::size_t aMembers)
{
  return 2 * aCount > aMembers;
}

} // namespace

void ControlWatch::OnReply(Instant aNow, const Endpoint& aCore,
                           const WatchReply& aReply)
{
  Core& core = mCores[aCore];
  core.mAnsweredAt = aNow;
  core.mHasEnded = false;
  mAnsweredAt = aNow;
  for (const Endpoint& mentioned : aReply.mCores) {
    mCores[mentioned].mMentionedAt = aNow;
  }
  for (const FleetRecord& record : aReply.mTargets) {
    const Heartbeat& last = record.mLast;
    if (last.mPhase != TargetPhase::Gone) {
      mNamers[last.mService][last.mSoftware].insert(aCore);
    }
  }
}

void ControlWatch::OnLoss(Instant aNow, const Endpoint& aCore, Instant aSentAt,
                          WatchLoss aLoss)
{
  Core& core = mCores[aCore];
  if (aLoss == WatchLoss::Closed) {
    core.mHasEnded = aNow - aSentAt >= kMinWait;
  } else if (aLoss == WatchLoss::Unclear) {
    core.mHasEnded = false;
  }
}

void ControlWatch::Forget(const Endpoint& aCore)
{
  mCores.erase(aCore);
  for (auto& [service, versions] : mNamers) {
    for (auto& [software, namers] : versions) {
      namers.erase(aCore);
    }
  }
}

std::set<Endpoint> ControlWatch::Members() const
{
  std::set<Endpoint> members;
  for (const auto& [address, core] : mCores) {
    if (core.mMentionedAt != Instant() &&
        mAnsweredAt - core.mMentionedAt <= kMentionAge) {
      members.insert(address);
    }
  }
  return members;
}

bool ControlWatch::HearsMajority(Instant aNow, Duration aWithin) const
{
  const auto members = Members();
  const auto heard = std::ranges::count_if(members, [&](const auto& aMember) {
    const Instant at = mCores.at(aMember).mAnsweredAt;
    return at != Instant() && aNow - at <= aWithin;
  });
  return IsMajority(static_cast<std::size_t>(heard), members.size());
}

bool ControlWatch::HasEnded(const Endpoint& aCore) const
{
  const auto it = mCores.find(aCore);
  return it != mCores.end() && it->second.mHasEnded;
}

std::set<SoftwareVersion> ControlWatch::Unestablished(
  const ServiceName& aService, const SoftwareSeen& aSeen) const
{
  std::set<SoftwareVersion> versions;
  if (aSeen.mVersions.size() < 2) {
    return versions;
  }
  const auto members = Members();
  const auto service = mNamers.find(aService);
  std::ranges::copy_if(
    aSeen.mVersions, std::inserter(versions, versions.end()),
    [&](const SoftwareVersion& aVersion) {
      if (service == mNamers.end() || !service->second.contains(aVersion)) {
        return true;
      }
      const Namers& namers = service->second.at(aVersion);
      const auto named =
        std::ranges::count_if(namers, [&](const Endpoint& aNamer) {
          return members.contains(aNamer);
        });
      return !IsMajority(static_cast<std::size_t>(named), members.size());
    });
  return versions;
}

void ControlWatch::ForgetSoftware(const ServiceName& aService,
                                  const SoftwareSeen& aSeen)
{
  const auto service = mNamers.find(aService);
  if (service == mNamers.end()) {
    return;
  }
  std::erase_if(service->second, [&](const auto& aItem) {
    return std::ranges::find(aSeen.mVersions, aItem.first) ==
           aSeen.mVersions.end();
  });
}

std::vector<ServiceName> ControlWatch::Services() const
{
  std::vector<ServiceName> services;
  std::ranges::transform(mNamers, std::back_inserter(services),
                         [](const auto& aItem) { return aItem.first; });
  return services;
}

} // namespace carobtide
