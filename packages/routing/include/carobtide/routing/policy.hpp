#pragma once

/**
 * @file
 * Policies that choose a target among candidates, listed by name.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace carobtide {

/** A target that holds what the request needs. */
struct Candidate
{
  /** Index in the router's target table. */
  std::uint32_t mIndex = 0;
  /** This daemon's own attempts in flight there. */
  std::uint32_t mOwnInFlight = 0;
  /** What other daemons hinted that they have in flight there. */
  std::uint32_t mPeerInFlight = 0;
  /** Waiting plus running, as last reported. */
  std::uint32_t mReported = 0;
  /** Age of that report. */
  Duration mReportAge{ 0 };
  std::uint32_t mSlots = 1;
  /** Own latency over the expected one; 1 is normal, 10 is slowed tenfold. */
  double mSlowness = 1.0;
  /** Share of the prompt that its cache is believed to hold, 0 to 1. */
  double mPrefixHit = 0.0;
  bool mAdapterResident = true;
  bool mSameFailureDomain = true;
};

/**
 * Chooses among candidates.
 *
 * Thread safety: none; the router that owns it guards it. Allocates nothing
 * in Choose.
 */
class TargetPolicy
{
public:
  virtual ~TargetPolicy() = default;
  virtual std::string_view Name() const = 0;
  /** Position in aCandidates. Precondition: aCandidates is not empty. */
  virtual std::size_t Choose(std::span<const Candidate> aCandidates,
                             RandomEngine& aRandom) = 0;
};

/** Names: "two-choices", "round-robin", "least-reported". */
std::vector<std::string_view> TargetPolicyNames();

/** Makes a policy by name; null for an unknown name. */
std::unique_ptr<TargetPolicy> MakeTargetPolicy(std::string_view aName);

} // namespace carobtide
