#pragma once

/**
 * @file
 * The control daemons that a routing daemon watches, and what each has named.
 */

#include "carobtide/fleet/messages.hpp"
#include "carobtide/fleet/stream_messages.hpp"

#include <map>
#include <set>
#include <vector>

namespace carobtide {

/** How a watch ended that was not answered. */
enum class WatchLoss : std::uint8_t
{
  /** The connection ended while the watch was waiting for an answer. */
  Closed,
  /** Nothing listens at the address. */
  Refused,
  /** Timed out, or a path that does not answer. */
  Unclear,
};

inline constexpr EnumTable<WatchLoss, 3> kWatchLosses{ {
  { { WatchLoss::Closed, "closed" },
    { WatchLoss::Refused, "refused" },
    { WatchLoss::Unclear, "unclear" } },
} };

/**
 * Keeps, for each control daemon, when it answered, which daemons it mentioned,
 * whether its process is known to have ended, and the software versions that it
 * named.
 *
 * Answers: a version that one control daemon has announced and the others do
 * not know of yet; control daemons that were killed, as against ones that
 * cannot be reached.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class ControlWatch
{
public:
  /**
   * A control daemon has answered a watch: the daemons that it mentions and the
   * targets that it reports.
   */
  void OnReply(Instant aNow, const Endpoint& aCore, const WatchReply& aReply);

  /** A watch that was sent at a time was not answered. */
  void OnLoss(Instant aNow, const Endpoint& aCore, Instant aSentAt,
              WatchLoss aLoss);

  /** A control daemon is no longer watched. */
  void Forget(const Endpoint& aCore);

  /**
   * The control daemons that count for a majority: those that daemons which
   * answer have mentioned lately, whether or not they answer themselves. If
   * none answers any more, those that were mentioned last.
   */
  std::set<Endpoint> Members() const;

  /** True if a majority of the members has answered within a time. */
  bool HearsMajority(Instant aNow, Duration aWithin) const;

  /**
   * True if the process of a control daemon ended while it was being watched
   * and has not been reached since: it has told nobody anything that it had not
   * told this daemon as well.
   */
  bool HasEnded(const Endpoint& aCore) const;

  /**
   * The versions in aSeen that a majority of the members has not named yet.
   * Nothing if a single version is seen.
   */
  std::set<SoftwareVersion> Unestablished(const ServiceName& aService,
                                          const SoftwareSeen& aSeen) const;

  /** Forgets who named the versions of a service that are not in aSeen. */
  void ForgetSoftware(const ServiceName& aService, const SoftwareSeen& aSeen);

  /** The services of which control daemons have named versions. */
  std::vector<ServiceName> Services() const;

private:
  struct Core
  {
    Instant mAnsweredAt;
    /** When a daemon that answered mentioned it last. */
    Instant mMentionedAt;
    bool mHasEnded = false;
  };

  using Namers = std::set<Endpoint>;

  std::map<Endpoint, Core> mCores;
  /** When any control daemon answered last. */
  Instant mAnsweredAt;
  std::map<ServiceName, std::map<SoftwareVersion, Namers>> mNamers;
};

} // namespace carobtide
