#pragma once

/**
 * @file
 * Sums the samples of routing daemons about targets at their home.
 */

#include "carobtide/fleet/observation_messages.hpp"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace carobtide {

/**
 * Adds up the samples of the routing daemons that report here over sliding
 * windows, and the sums that other homes report of theirs. Sans-I/O.
 *
 * Load: many routing daemons, each of which sends to one target every few
 * seconds, so that no daemon alone sees that a target fails or is slow. A lost
 * report loses its samples only; repeated reports are ignored, and so are those
 * that arrive later than 64 others.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class TargetObservations
{
public:
  /** Adds the samples of a routing daemon. */
  void OnReport(Instant aNow, const SampleReport& aReport);

  /** Replaces sums of another home; ignored if they are older. */
  void OnSums(Instant aNow, const SumsReport& aReport);

  /** Removes what is older than the windows. Call in each round. */
  void Expire(Instant aNow);

  /**
   * Sums of the daemons that report here, for the other homes: at most aMost
   * targets, only those with new samples since they were last taken, first
   * those that changed most.
   */
  std::vector<PackedSums> TakeOwn(Instant aNow, std::size_t aMost);

  /** The same over all daemons, for the daemons that report here. */
  std::vector<PackedSums> TakeTotal(Instant aNow, std::size_t aMost);

  /** Sums of one target over all daemons. */
  TargetSums TotalSums(Instant aNow, TargetKey aTarget) const;

  /** The routing daemons that report here, with their latest sequence. */
  std::vector<std::pair<Endpoint, std::uint64_t>> Reporters() const;

private:
  struct Bucket
  {
    Instant mStart;
    TargetSample mSample;
  };

  struct Reporter
  {
    std::uint64_t mSequence = 0;
    /** Bit n: the report mSequence - n has arrived. */
    std::uint64_t mSeen = 0;
    Instant mReceivedAt;
  };

  struct OtherSums
  {
    TargetSums mSums;
    Instant mReceivedAt;
  };

  struct OtherHome
  {
    std::uint64_t mSequence = 0;
    Instant mReceivedAt;
    std::unordered_map<TargetKey, OtherSums> mTargets;
  };

  /** What was last taken, to order what is taken next. */
  struct Taken
  {
    bool mHasNew = false;
    Instant mAt;
    PackedSums mSums;
  };
  using TakenSums = std::unordered_map<TargetKey, Taken>;

  /** False if the report was taken before or is too old to tell. */
  bool IsNew(Instant aNow, const SampleReport& aReport);
  TargetSums OwnSums(Instant aNow, TargetKey aTarget) const;
  template<class Sums>
  static std::vector<PackedSums> Take(Instant aNow, std::size_t aMost,
                                      TakenSums& aTaken, Sums aSums);

  std::unordered_map<TargetKey, std::vector<Bucket>> mOwn;
  std::map<Endpoint, Reporter> mReporters;
  std::map<Endpoint, OtherHome> mHomes;
  TakenSums mTakenOwn;
  TakenSums mTakenTotal;
};

/**
 * Sums of a received entry that still count: the recent window ends with the
 * age of the entry.
 */
TargetSums CurrentSums(Duration aAge, const TargetSums& aSums);

} // namespace carobtide
