#pragma once

/**
 * @file
 * What this daemon and all others observed of each target lately.
 */

#include "carobtide/fleet/target_observations.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace carobtide {

/**
 * Keeps this daemon's samples about targets until the totals of its home
 * include them, and the totals. Each sample counts once: in the total, or as
 * this daemon's own. Sans-I/O. Forgets a process after the long window without
 * samples of it.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class ObservedTargets
{
public:
  /** Records the end of a request that the target answered or failed. */
  void OnEnded(Instant aNow, TargetKey aTarget, bool aFailed);

  /** Records a speed from the time to the first byte, as a binary log. */
  void OnPrefill(Instant aNow, TargetKey aTarget, double aLog, double aWeight);

  /** Records a speed from the time between events, as a binary log. */
  void OnTokens(Instant aNow, TargetKey aTarget, double aLog, double aWeight);

  /**
   * The next report for the home, nothing if there are no new samples. Samples
   * beyond a report's size are left for the next one. Call once in each
   * kObservationInterval.
   */
  std::optional<SampleReport> TakeReport(Instant aNow, const Endpoint& aSelf);

  /** Takes the totals of the home; ignored if they are older. */
  void OnSums(Instant aNow, const SumsReport& aReport);

  /** What is known of a target now. */
  TargetSums Of(Instant aNow, TargetKey aTarget) const;

  /** Age of the latest totals; nothing if they expired. */
  std::optional<Duration> Age(Instant aNow) const;

  /** Removes what is older than the long window. */
  void Expire(Instant aNow);

private:
  struct OwnSample
  {
    /** Of the report that has it; 0 if none has it yet. */
    std::uint64_t mSequence = 0;
    Instant mAt;
    TargetSample mSample;
  };

  struct Total
  {
    TargetSums mSums;
    Instant mReceivedAt;
  };

  TargetSample& OpenSample(Instant aNow, TargetKey aTarget, bool aIsUrgent);

  std::unordered_map<TargetKey, std::vector<OwnSample>> mOwn;
  /** Targets with samples that are in no report yet. */
  std::deque<TargetKey> mPending;
  std::unordered_map<TargetKey, Total> mTotals;
  std::uint64_t mSequence = 0;
  Endpoint mHome;
  std::uint64_t mTotalSequence = 0;
  Instant mTotalAt;
};

} // namespace carobtide
