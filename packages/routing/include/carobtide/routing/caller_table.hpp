#pragma once

/**
 * @file
 * Callers: their limits on concurrency and tokens, and their fair shares.
 */

#include "carobtide/base.hpp"
#include "carobtide/bundle.hpp"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace carobtide {

using CallerIndex = std::uint32_t;

/** Verdict on a caller's limits. */
struct LimitDecision
{
  bool mAllowed = true;
  /** When a request may be allowed again; zero if allowed. */
  Duration mRetryAfter{ 0 };
};

/**
 * Limits and weighted fair shares of callers. Limits hold per daemon, as the
 * bundle states them.
 *
 * Fairness is by decayed usage (as in fair-share schedulers): per priority, a
 * caller's recent slot-seconds over its share; the caller with the least goes
 * first. Usage halves every kUsageHalfLife, so idleness earns little credit
 * and use of idle capacity elsewhere is soon forgiven.
 *
 * Thread safety: none; the owner guards it.
 */
class CallerTable
{
public:
  void SetBundle(const Bundle& aBundle);

  /** The caller's index; a caller unknown to the bundle has share 1. */
  CallerIndex Intern(const CallerName& aName);

  /** Checks concurrency and tokens; charges nothing. */
  LimitDecision Check(Instant aNow, CallerIndex aCaller);

  /** A request was admitted; aTokens are expected. */
  void OnAdmitted(Instant aNow, CallerIndex aCaller, double aTokens);

  /** A request ended; corrects the expected tokens by the actual ones. */
  void OnEnded(CallerIndex aCaller, double aExpectedTokens,
               double aActualTokens);

  /**
   * Adds to a caller's usage: the slot-seconds expected at dispatch, and at
   * the end the difference to the actual ones (may be negative).
   */
  void Charge(Instant aNow, CallerIndex aCaller, PriorityClass aPriority,
              double aSlotSeconds);

  /** Recent usage over share; the least goes first. */
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
    /** Tokens that may be asked for now; negative while in debt. */
    double mTokens = 0.0;
    Instant mRefilledAt;
    std::array<DecayingSum, kPriorityClassCount> mUsage{};
  };

  void Refill(Instant aNow, Entry& aEntry) const;

  std::unordered_map<CallerName, CallerIndex> mByName;
  std::vector<Entry> mCallers;
};

} // namespace carobtide
