#pragma once

/**
 * @file
 * Placement planners, which compute the wanted copies on each target from the
 * bundle, the targets and the demand. Policies are selected by name.
 */

#include "carobtide/bundle.hpp"
#include "carobtide/placement/announcement.hpp"
#include "carobtide/placement/target_registry.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobtide {

/** Measured demand of one model. */
struct ModelDemand
{
  /** Offered load in accelerator-seconds per second, short-term average. */
  double mFast = 0.0;
  /** The same, averaged over a longer window. */
  double mSlow = 0.0;
};

using DemandTable = std::map<ModelName, ModelDemand>;

/** State of a target, as input of a planner. */
struct PlannerTarget
{
  TargetName mName;
  FailureDomain mFailureDomain;
  std::string mPool;
  /** Memory for weights, in bytes. */
  Bytes mMemory = 0;
  /** Accelerator-seconds of work that it can do per second. */
  double mCapacity = 1.0;
  bool mLeaving = false;
  /** Copies that are resident or being loaded by a committed order. */
  std::vector<ResidentModel> mHolds;
};

/** One copy that should be resident. */
struct WantedCopy
{
  ModelName mModel;
  AdapterName mAdapter;
  std::uint32_t mVersion = 0;
  TargetName mTarget;
};

/**
 * Result of a planner. Copies are ordered by priority: a model's weights before
 * its adapters, first replicas before additional ones. Held copies that are not
 * listed may be unloaded.
 */
struct Plan
{
  std::vector<WantedCopy> mCopies;
  /** Models that did not fit on any target. */
  std::vector<ModelName> mUnplaced;
};

/** Inputs of one planning run. */
struct PlannerInput
{
  const Bundle* mBundle = nullptr;
  std::vector<PlannerTarget> mTargets;
  const DemandTable* mDemand = nullptr;
  Instant mNow;
};

/**
 * A placement policy.
 *
 * Thread safety: none; one owner calls it.
 */
class Planner
{
public:
  virtual ~Planner() = default;
  /** Name by which MakePlanner finds the policy. */
  virtual std::string_view Name() const = 0;
  /** Precondition: mBundle of the input is not null. */
  virtual Plan MakePlan(const PlannerInput& aInput) = 0;
};

/** Names of the planners: "demand", "static-spread", "greedy". */
std::vector<std::string_view> PlannerNames();

/** Creates a planner by name; null if the name is unknown. */
std::unique_ptr<Planner> MakePlanner(std::string_view aName);

/** A model that does not fit, and the bytes that it lacks. */
struct Shortfall
{
  ModelName mModel;
  Bytes mMissingMemory = 0;
};

/**
 * Checks that the targets can hold a bundle, including during the transition
 * from `aCurrent` (null if none is in force). Returns nullopt if they can.
 */
std::optional<Shortfall> CheckFeasible(
  const Bundle& aNext, const Bundle* aCurrent,
  const std::vector<PlannerTarget>& aTargets);

} // namespace carobtide
