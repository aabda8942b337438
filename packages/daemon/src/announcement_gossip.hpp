#pragma once

/**
 * @file
 * Which daemons an announcement is passed on to.
 */

#include "carobtide/consensus/dissemination.hpp"
#include "carobtide/placement.hpp"
#include "carobtide/settings.hpp"

#include <mutex>
#include <vector>

namespace carobtide {

/**
 * Few daemons are all told by the one that the target announced itself to.
 * Many pass an announcement on along two trees, each announcement along trees
 * of its own, so that a dead daemon keeps it from others once at most by
 * chance, and a daemon's cost does not grow with their number.
 *
 * Thread safety: all methods from any thread.
 */
class AnnouncementGossip
{
public:
  AnnouncementGossip(const DaemonSettings& aSettings, std::uint64_t aSeed);

  /** `aIsSource`: the target itself announced this, not a peer. */
  std::vector<DaemonName> Receivers(const Announcement& aAnnouncement,
                                    bool aIsSource);

private:
  std::vector<DaemonName> mPeers;
  /** Guards mTree. */
  std::mutex mMutex;
  Dissemination mTree;
};

/** The trees over all daemons that the settings name. */
Dissemination MakeDissemination(const DaemonSettings& aSettings,
                                std::uint64_t aSeed);

} // namespace carobtide
