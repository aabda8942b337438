#pragma once

/**
 * @file
 * Planners: from the bundle, the targets and the demand to a wanted set of
 * residents. Policies are listed by name and chosen at run time.
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
  /** Accelerator-seconds of work that arrive per second, fast average. */
  double mFast = 0.0;
  /** The same over a longer window. */
  double mSlow = 0.0;
};

using DemandTable = std::map<ModelName, ModelDemand>;

/** A target as the planner sees it. */
struct PlannerTarget
{
  TargetName mName;
  FailureDomain mFailureDomain;
  std::string mPool;
  /** Memory for weights. */
  Bytes mMemory = 0;
  /** Accelerator-seconds that it serves per second. */
  double mCapacity = 1.0;
  bool mLeaving = false;
  /** Resident now, or being loaded under a committed order. */
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
 * What a planner wants, most urgent first: a model's weights before its
 * adapters, first replicas before further ones. Held copies that it does not
 * name may be unloaded. */
struct Plan
{
  std::vector<WantedCopy> mCopies;
  /** Models for which no memory was found. */
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
  virtual std::string_view Name() const = 0;
  virtual Plan MakePlan(const PlannerInput& aInput) = 0;
};

/** Names of the planners: "demand", "static-spread", "greedy". */
std::vector<std::string_view> PlannerNames();

/** Makes a planner by name; null for an unknown name. */
std::unique_ptr<Planner> MakePlanner(std::string_view aName);

/** The first thing that does not fit, and by how much. */
struct Shortfall
{
  ModelName mModel;
  Bytes mMissingMemory = 0;
};

/**
 * Checks that a bundle fits the targets, also in transit from `aCurrent`
 * (null if none is in force). Nothing if it fits.
 */
std::optional<Shortfall> CheckFeasible(
  const Bundle& aNext, const Bundle* aCurrent,
  const std::vector<PlannerTarget>& aTargets);

} // namespace carobtide
