#pragma once

/**
 * @file
 * Speeds and failures of a service's targets, as all daemons observed them.
 */

#include "carobtide/base.hpp"
#include "carobtide/fleet/observation_messages.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace carobtide {

/** How one process differs from the others of its service. */
struct TargetRate
{
  /** Relative speed; 1 is the mean of the service's targets. */
  double mSpeed = 1;
  /** Share of failures beyond the mean of the service, 0 to 1. */
  double mFailures = 0;
  /** Takes no requests but those that show whether it has recovered. */
  bool mIsAvoided = false;
  /** One such request may be sent from here, since this time. */
  std::optional<Instant> mProbeSince;
};

/**
 * Binary logarithm of a target's speed from its sums; nothing if there are too
 * few samples. The recent mean counts alone once it differs from the long one
 * by more than chance explains, so that a change is known at once while one
 * slow answer is averaged out. aPriorWeight: samples of mean speed that are
 * assumed beside the known ones.
 */
std::optional<double> EstimateSpeedLog(const SpeedSum& aRecent,
                                       const SpeedSum& aLong,
                                       double aPriorWeight);

/** True if so many failures stand out from the mean share of a service. */
bool StandsOut(const TargetSample& aSample, double aMeanShare);

/** What TargetRates is to derive from sums. */
struct TargetRatesFacts
{
  bool mUsesSpeeds = false;
  bool mUsesFailures = false;
  /** Daemons that send to the targets. */
  std::uint32_t mDaemons = 1;
  /** Targets of the service. */
  std::size_t mTargets = 0;
};

/**
 * Rates of the targets of one service. Sans-I/O.
 *
 * Speeds are used only while they spread: the 9th decile is more than
 * kMinSpread times the 1st, with at least kMinTargets and half of them known.
 * Otherwise each target counts as of mean speed.
 *
 * Load: 16 in 100 of the targets reset half of their requests for seconds, each
 * daemon sends to one target every few seconds. A target whose failures stand
 * out is avoided by all daemons; over all of them, a request is let through
 * every few seconds, and more often once one has succeeded. If most targets
 * fail alike none is avoided.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class TargetRates
{
public:
  static constexpr double kMinSpread = 1.6;
  static constexpr std::size_t kMinTargets = 8;
  /** Rates are derived again after this time. */
  static constexpr Duration kRefreshInterval = std::chrono::milliseconds(100);

  bool IsDue(Instant aNow) const { return aNow - mAt >= kRefreshInterval; }

  /**
   * Derives the rates of these targets. aRandom draws which daemon lets a
   * request through.
   */
  void Refresh(Instant aNow, const TargetRatesFacts& aFacts,
               const std::vector<TargetKey>& aTargets,
               const std::function<TargetSums(TargetKey)>& aSums,
               RandomEngine& aRandom);

  /** The rate of a target; an ordinary one if nothing is known of it. */
  const TargetRate& Of(TargetKey aTarget) const;

  /** True if the target is avoided and the request may not go there. */
  bool IsBarred(Instant aNow, TargetKey aTarget, bool aIsRepeatable) const;

  /** Records that a request was sent to the target. */
  void OnSent(TargetKey aTarget);

  /** True if speeds spread so that they are used. */
  bool IsUneven() const { return mIsUneven; }

  /** Targets whose speed is known, and those that are avoided. */
  std::size_t Known() const { return mKnown; }
  std::size_t Avoided() const { return mAvoided; }

private:
  using Logs = std::unordered_map<TargetKey, double>;
  /** Subtracts the mean; true if the logs of most targets are known, and
   * spread. */
  static bool Normalise(Logs& aLogs, std::size_t aTargets);
  /** aFirm: targets with many samples of prefill and of tokens. */
  void SetSpeeds(const TargetRatesFacts& aFacts, Logs aPrefill, Logs aTokens,
                 const std::array<std::size_t, 2>& aFirm);
  void SetFailures(Instant aNow, const TargetRatesFacts& aFacts,
                   const std::unordered_map<TargetKey, TargetSums>& aSums,
                   std::unordered_map<TargetKey, TargetRate>& aBefore,
                   RandomEngine& aRandom);

  Instant mAt;
  bool mIsUneven = false;
  std::size_t mKnown = 0;
  std::size_t mAvoided = 0;
  /** Of targets that differ from an ordinary one. */
  std::unordered_map<TargetKey, TargetRate> mRates;
};

} // namespace carobtide
