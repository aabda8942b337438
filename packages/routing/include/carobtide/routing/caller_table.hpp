#pragma once

/**
 * @file
 * Concurrency limits, token rate limits and fair shares of callers.
 */

#include "carobtide/base.hpp"
#include "carobtide/bundle.hpp"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace carobtide {

using CallerIndex = std::uint32_t;

/** Result of a check of a caller's limits. */
struct LimitDecision
{
  bool mAllowed = true;
  /** Time after which a request may be allowed; zero if allowed now. */
  Duration mRetryAfter{ 0 };
};

/**
 * Limits and weighted fair shares of callers. Each daemon applies the limits of
 * the bundle separately.
 *
 * Fairness uses decayed usage, as in fair-share schedulers: for each priority,
 * the caller with the fewest recent slot-seconds per unit of share goes first.
 * Usage halves every kUsageHalfLife, so an idle caller earns little credit, and
 * use of capacity that was idle is soon forgotten.
 *
 * Thread safety: not thread-safe; the owner synchronizes access.
 */
class CallerTable
{
public:
  /** Takes the shares and limits of the bundle's callers. */
  void SetBundle(const Bundle& aBundle);

  /** Index of a caller; one that the bundle does not name has share 1. */
  CallerIndex Intern(const CallerName& aName);

  /** Checks the concurrency and token limits without charging usage. */
  LimitDecision Check(Instant aNow, CallerIndex aCaller);

  /** Counts an admitted request that is expected to use aTokens. */
  void OnAdmitted(Instant aNow, CallerIndex aCaller, double aTokens);

  /** Counts the end of a request and corrects its expected tokens. */
  void OnEnded(CallerIndex aCaller, double aExpectedTokens,
               double aActualTokens);

  /**
   * Adds to a caller's usage: the expected slot-seconds at dispatch, and at
   * the end the actual minus the expected ones, which may be negative.
   */
  void Charge(Instant aNow, CallerIndex aCaller, PriorityClass aPriority,
              double aSlotSeconds);

  /** Decayed slot-seconds divided by the caller's share. */
  double Usage(Instant aNow, CallerIndex aCaller,
               PriorityClass aPriority) const;

  double Share(CallerIndex aCaller) const { return mCallers[aCaller].mShare; }

  static constexpr Duration kUsageHalfLife = 5s;

private:
  struct DecayingSum
  {
    double mValue = 0.0;
    Instant mAsOf;

    double At(Instant aNow) const;
  };

  struct Entry
  {
    double mShare = 1.0;
    std::uint32_t mMaxConcurrent = 0;
    std::uint32_t mMaxTokensPerSecond = 0;
    std::uint32_t mInSystem = 0;
    /** Token bucket level; negative after use above the limit. */
    double mTokens = 0.0;
    Instant mRefilledAt;
    std::array<DecayingSum, kPriorityClassCount> mUsage{};
  };

  void Refill(Instant aNow, Entry& aEntry) const;

  std::unordered_map<CallerName, CallerIndex> mByName;
  std::vector<Entry> mCallers;
};

} // namespace carobtide
