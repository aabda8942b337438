#pragma once

/**
 * @file
 * Load-balancing policies that choose one target among candidates.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace carobtide {

/** A target that can serve the request, with its estimated load. */
struct Candidate
{
  /** Index in the router's target table. */
  std::uint32_t mIndex = 0;
  /** Attempts of this daemon in flight on the target. */
  std::uint32_t mOwnInFlight = 0;
  /** Attempts of other daemons in flight on the target, from their hints. */
  std::uint32_t mPeerInFlight = 0;
  /** Requests running and waiting, from the target's last load report. */
  std::uint32_t mReported = 0;
  /** Age of that load report. */
  Duration mReportAge{ 0 };
  /** Requests that the target runs at the same time. */
  std::uint32_t mSlots = 1;
  /** Ratio of the target's latency to the expected latency; 1 is normal. */
  double mSlowness = 1.0;
  /** Estimated share of the prompt in the target's prefix cache, 0 to 1. */
  double mPrefixHit = 0.0;
  bool mAdapterResident = true;
  bool mSameFailureDomain = true;
};

/**
 * Chooses one of the candidates for a request.
 *
 * Thread safety: none; the owning router serializes access.
 */
class TargetPolicy
{
public:
  virtual ~TargetPolicy() = default;
  /** Name under which MakeTargetPolicy creates this policy. */
  virtual std::string_view Name() const = 0;
  /**
   * Returns the position of the chosen candidate in aCandidates. Does not
   * allocate, except that round-robin grows its table when it first chooses a
   * target with a higher index.
   *
   * Precondition: aCandidates is not empty.
   */
  virtual std::size_t Choose(std::span<const Candidate> aCandidates,
                             RandomEngine& aRandom) = 0;
};

/** Names of all policies: "two-choices", "round-robin", "least-reported". */
std::vector<std::string_view> TargetPolicyNames();

/** Creates the policy with this name; null if the name is unknown. */
std::unique_ptr<TargetPolicy> MakeTargetPolicy(std::string_view aName);

} // namespace carobtide
