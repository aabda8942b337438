#pragma once

/**
 * @file
 * Sums the load reports of routing daemons at their home.
 */

#include "carobtide/fleet/load_messages.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace carobtide {

/**
 * Adds up the loads of the routing daemons that report to this daemon, and the
 * sums that other homes report of theirs.
 *
 * Answers: a fleet of hundreds of routing daemons on narrow links, where each
 * must know the load of all others: a daemon sends one report and receives one
 * total per interval, whatever the size of the fleet.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class LoadAggregator
{
public:
  /** Replaces a section of a sender's loads; ignored if it is older. */
  void OnReport(Instant aNow, const InFlightReport& aReport);

  /** Removes senders that have not reported for a while. Call in each round. */
  void Expire(Instant aNow);

  /** Sum of the routing daemons that report here, for the other homes. */
  std::vector<PackedLoad> OwnSum() const;

  /** Sum over all routing daemons. */
  std::vector<PackedLoad> Total() const;

  /** The same two sums of recent requests to targets with a limit. */
  std::vector<PackedSends> OwnSends() const;
  std::vector<PackedSends> TotalSends() const;

  /** The routing daemons that report here, with their latest sequence. */
  std::vector<std::pair<Endpoint, std::uint64_t>> Reporters() const;

private:
  struct Source
  {
    bool mIsSum = false;
    std::uint64_t mSequence = 0;
    Instant mReceivedAt;
    std::map<TargetKey, TargetLoad> mLoads;
    std::map<TargetKey, double> mSends;
  };

  std::vector<PackedLoad> Sum(bool aWithOthers) const;
  std::vector<PackedSends> SumSends(bool aWithOthers) const;

  std::map<Endpoint, Source> mSources;
};

/** Interval between reports and between totals. */
struct LoadIntervalFacts
{
  /** Routing daemons that report to one home. */
  std::size_t mReporters = 0;
  /** Targets with load in the whole fleet. */
  std::size_t mTargets = 0;
};

/**
 * Time between two totals: short in a small fleet; longer where the home's
 * processor or the routing daemons' links would carry too much.
 */
Duration LoadInterval(const LoadIntervalFacts& aFacts);

} // namespace carobtide
