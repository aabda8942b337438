#pragma once

/**
 * @file
 * A working copy of which model is on which target, by index. Every planner
 * starts from it, changes it, and turns it into a plan.
 */

#include "carobtide/placement/planner.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace carobtide {

/**
 * Replicas of models on targets, in goal memory: a replica takes the memory
 * of the model with all its adapters.
 *
 * Thread safety: none.
 */
class Packing
{
public:
  using Index = std::uint32_t;

  struct Model
  {
    const ModelSpec* mSpec = nullptr;
    /** Weights plus every adapter. */
    Bytes mFootprint = 0;
    /** Most replicas: its own limit, else the size of its pool. */
    std::size_t mMaxReplicas = 0;
    std::uint32_t mPool = 0;
    std::vector<Index> mTargets;
  };

  struct Target
  {
    const PlannerTarget* mTarget = nullptr;
    Bytes mFree = 0;
    /** Memory not taken by anything held now. */
    Bytes mFreeNow = 0;
    std::uint32_t mDomain = 0;
    std::vector<Index> mModels;
  };

  /**
   * Starts from what the targets hold in the bundle's versions, or from
   * nothing. Replicas on leaving targets are left out. Precondition: the
   * input outlives the packing.
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

  bool Holds(Index aModel, Index aTarget) const;
  bool Fits(Index aModel, Index aTarget) const;
  /** Precondition: not held there. May exceed the memory; see Fits. */
  void Add(Index aModel, Index aTarget);
  /** Precondition: held there. */
  void Remove(Index aModel, Index aTarget);

  /** True if one of the model's replicas other than on aExcept is there. */
  bool IsInDomain(Index aModel, std::uint32_t aDomain,
                  std::optional<Index> aExcept = std::nullopt) const;
  /** True if a held replica, in the bundle's version, is there now. */
  bool WasHeld(Index aModel, Index aTarget) const;

  /** Models in the order in which they are placed: large ones first. */
  const std::vector<Index>& BySize() const { return mBySize; }

  /** The plan: first replicas of all models, then second ones, and so on. */
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
 * Gives every model without a replica its first one, and each model its least
 * number, where memory allows; moves single replicas out of the way where
 * that makes room.
 */
void PlaceFirstReplicas(Packing& aPacking);

/**
 * The target with room for one more replica of the model that leaves the most
 * memory, in a failure domain that has none if there is one.
 */
std::optional<Packing::Index> FindRoom(const Packing& aPacking,
                                       Packing::Index aModel);

/** Takes replicas away from targets whose memory is exceeded. */
void DropExcess(Packing& aPacking);

} // namespace carobtide
