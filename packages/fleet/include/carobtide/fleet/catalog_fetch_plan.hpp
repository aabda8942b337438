#pragma once

/**
 * @file
 * From which control daemon a routing daemon fetches a newer catalog.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace carobtide {

/**
 * Chooses the control daemon that is asked next for a catalog, and decides when
 * another one is asked beside those that have not answered in full.
 *
 * Answers: control daemons that are stopped, cut off or end while they are
 * asked; links so narrow that a large catalog takes seconds. A fetch whose
 * bytes arrive is left alone, and none is begun again from nothing while it may
 * still be answered.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class CatalogFetchPlan
{
public:
  /** Control daemons that hold a newer catalog, with its version. */
  using Holders = std::map<Endpoint, std::uint64_t>;

  /** The daemon to ask at this moment; nothing if none is to be asked. */
  std::optional<Endpoint> Next(Instant aNow, const Holders& aHolders) const;

  /** A daemon is asked. Precondition: no fetch from it is under way. */
  void OnBegun(Instant aNow, const Endpoint& aCore);
  /** A part of its catalog has arrived. */
  void OnProgress(Instant aNow, const Endpoint& aCore);
  /** Its fetch has ended. */
  void OnEnded(Instant aNow, const Endpoint& aCore, bool aIsTaken);

  std::size_t UnderWay() const { return mProgress.size(); }
  /** Fetches since construction. */
  std::uint64_t Begun() const { return mBegun; }
  std::uint64_t Failed() const { return mFailed; }

private:
  struct Failures
  {
    unsigned mInARow = 0;
    Instant mLastAt;
  };

  bool MayAsk(Instant aNow, const Endpoint& aCore) const;
  const Failures& FailuresOf(const Endpoint& aCore) const;

  /** Fetches under way, and when something of them arrived last. */
  std::map<Endpoint, Instant> mProgress;
  std::map<Endpoint, Failures> mFailures;
  std::uint64_t mBegun = 0;
  std::uint64_t mFailed = 0;
};

} // namespace carobtide
