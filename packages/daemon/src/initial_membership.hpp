#pragma once

/**
 * @file
 * The members that a control group starts with, the same on every daemon.
 */

#include "carobtide/consensus.hpp"
#include "carobtide/consensus/membership_manager.hpp"
#include "carobtide/settings.hpp"

namespace carobtide {

/** The identity that a daemon's first disk has. */
ReplicaId FirstReplicaOf(const DaemonName& aDaemon);

/** The failure domain of a daemon; empty if the settings do not name it. */
FailureDomain DomainOf(const DaemonSettings& aSettings,
                       const DaemonName& aDaemon);

/** Three voters, or five where at least five daemons have a disk. */
MembershipPolicy MakeMembershipPolicy(const DaemonSettings& aSettings);

/**
 * Every daemon with a disk: voters as many as the policy wants, taken in turn
 * from the failure domains, and learners. Depends only on the set of daemons,
 * which all settings have in common, and not on which daemon asks.
 */
Membership MakeInitialMembership(const DaemonSettings& aSettings);

} // namespace carobtide
