#include "announcement_gossip.hpp"

#include <algorithm>
#include <iterator>

namespace carobtide {

namespace {

/** Up to this many peers are told directly. */
constexpr std::size_t kMaxDirectPeers = 15;
constexpr std::uint64_t kTrees = 2;

std::vector<DaemonName> PeerNames(const DaemonSettings& aSettings)
{
  std::vector<DaemonName> names;
  std::ranges::transform(aSettings.mPeers, std::back_inserter(names),
                         &PeerSettings::mName);
  return names;
}

} // namespace

Dissemination MakeDissemination(const DaemonSettings& aSettings,
                                std::uint64_t aSeed)
{
  std::vector<DaemonName> names = PeerNames(aSettings);
  names.push_back(aSettings.mName);
  return { aSettings.mName, std::move(names), {}, aSeed };
}

AnnouncementGossip::AnnouncementGossip(const DaemonSettings& aSettings,
                                       std::uint64_t aSeed)
  : mPeers(PeerNames(aSettings))
  , mTree(MakeDissemination(aSettings, aSeed))
{
}

std::vector<DaemonName> AnnouncementGossip::Receivers(
  const Announcement& aAnnouncement, bool aIsSource)
{
  if (mPeers.size() <= kMaxDirectPeers) {
    return aIsSource ? mPeers : std::vector<DaemonName>{};
  }
  const std::lock_guard lock(mMutex);
  std::vector<DaemonName> names;
  for (std::uint64_t tree = 0; tree < kTrees; ++tree) {
    const std::uint64_t key = ComputeChecksum(
      aAnnouncement.mTarget.Text(), aAnnouncement.mSequence * kTrees + tree);
    std::ranges::move(mTree.ReceiversOf(key, aIsSource),
                      std::back_inserter(names));
  }
  std::ranges::sort(names);
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

} // namespace carobtide
