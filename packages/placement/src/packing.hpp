#pragma once

/**
 * @file
 * An indexed, mutable assignment of models to targets, from which planners
 * derive their plans.
 */

#include "carobtide/placement/planner.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace carobtide {

/**
 * Assignment of model replicas to targets. A replica is counted with the memory
 * of the model and all its adapters, even if some are not loaded.
 *
 * Thread safety: none; the caller must synchronize access.
 */
class Packing
{
public:
  using Index = std::uint32_t;

  struct Model
  {
    const ModelSpec* mSpec = nullptr;
    /** Memory of the weights and all adapters, in bytes. */
    Bytes mFootprint = 0;
    /** Limit of replicas: its own if set, at most the size of its pool. */
    std::size_t mMaxReplicas = 0;
    std::uint32_t mPool = 0;
    std::vector<Index> mTargets;
  };

  struct Target
  {
    const PlannerTarget* mTarget = nullptr;
    /** Memory not assigned, in bytes; negative if it is exceeded. */
    Bytes mFree = 0;
    /** Memory not used by what the target holds at present, in bytes. */
    Bytes mFreeNow = 0;
    std::uint32_t mDomain = 0;
    std::vector<Index> mModels;
  };

  /**
   * Starts with the models that the targets hold in the bundle's version if
   * `aKeepHeld`, else empty. Excludes replicas on leaving targets.
   * Precondition: the input outlives the packing.
   */
  Packing(const PlannerInput& aInput, bool aKeepHeld);

  const std::vector<Model>& Models() const { return mModels; }
  const std::vector<Target>& Targets() const { return mTargets; }
  /** Targets of the model's pool that are not leaving. */
  const std::vector<Index>& Pool(Index aModel) const
  {
    return mPools[mModels[aModel].mPool];
  }
  std::size_t DomainCount() const { return mDomainCount; }

  /** True if the model is assigned to the target. */
  bool Holds(Index aModel, Index aTarget) const;
  /** True if the target has enough unassigned memory for the model. */
  bool Fits(Index aModel, Index aTarget) const;
  /** Precondition: !Holds(). May exceed the target's memory; see Fits(). */
  void Add(Index aModel, Index aTarget);
  /** Precondition: Holds(). */
  void Remove(Index aModel, Index aTarget);

  /** True if a target of the domain, except `aExcept`, has the model. */
  bool IsInDomain(Index aModel, std::uint32_t aDomain,
                  std::optional<Index> aExcept = std::nullopt) const;
  /** True if the target holds the model in the bundle's version at present. */
  bool WasHeld(Index aModel, Index aTarget) const;

  /** Models in placement order: by decreasing footprint. */
  const std::vector<Index>& BySize() const { return mBySize; }

  /** Lists the first replica of every model, then every second one, etc. */
  Plan ToPlan() const;

private:
  void AddModels(const Bundle& aBundle);
  void AddTargets(const PlannerInput& aInput);
  void AddHeld();

  std::vector<Model> mModels;
  std::vector<Target> mTargets;
  std::vector<std::vector<Index>> mPools;
  std::vector<std::vector<Index>> mHeld; // per target
  std::vector<Index> mBySize;
  std::size_t mDomainCount = 0;
};

/**
 * Assigns a first replica to every model without one, then raises each model to
 * its minimum number of replicas, as far as memory allows. Drops or moves other
 * replicas to free memory.
 */
void PlaceFirstReplicas(Packing& aPacking);

/**
 * The best target with enough memory for one more replica of the model; nullopt
 * if there is none. Prefers failure domains without a replica of it, then
 * targets that need no unload first, then the most free memory.
 */
std::optional<Packing::Index> FindRoom(const Packing& aPacking,
                                       Packing::Index aModel);

/** Removes replicas from targets whose memory is exceeded. */
void DropExcess(Packing& aPacking);

} // namespace carobtide
