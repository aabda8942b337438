#pragma once

/**
 * @file
 * Which control daemon relays residency and loads for a routing daemon.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

namespace carobtide {

/**
 * Selects the home of a routing daemon: a control daemon of its own failure
 * domain if one answers, else another one. Routing daemons without one in
 * their domain spread over the rest.
 *
 * Answers: homes that die, freeze or are cut off, alone or with their domain.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class HomeSelector
{
public:
  HomeSelector(Endpoint aSelf, FailureDomain aFailureDomain);

  /** A control daemon answered a watch. */
  void OnReply(Instant aNow, const Endpoint& aCore,
               const FailureDomain& aFailureDomain);

  /** A control daemon sent a load total. */
  void OnTotal(Instant aNow, const Endpoint& aCore);

  /** A control daemon is no longer watched. */
  void Forget(const Endpoint& aCore);

  /** The home to use now; nothing while no control daemon answers. */
  std::optional<Endpoint> Select(Instant aNow);

  /** The control daemon that would be the home if the home were lost. */
  std::optional<Endpoint> SelectBackup(Instant aNow) const;

private:
  struct Core
  {
    FailureDomain mFailureDomain;
    Instant mHeardAt;
    /**
     * Until then, a home that fell silent is selected again only if it has been
     * heard since and no other control daemon answers.
     */
    Instant mExcludedUntil;
  };

  /** Excluded, of another failure domain, hash. Lower is better. */
  using Rank = std::tuple<bool, bool, std::uint64_t>;

  static bool IsCandidate(Instant aNow, const Core& aCore);
  Rank RankOf(Instant aNow, const Endpoint& aAddress, const Core& aCore) const;

  Endpoint mSelf;
  FailureDomain mFailureDomain;
  std::map<Endpoint, Core> mCores;
  std::optional<Endpoint> mHome;
  Instant mHomeSince;
};

} // namespace carobtide
