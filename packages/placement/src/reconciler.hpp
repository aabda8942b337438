#pragma once

/**
 * @file
 * Derives the next orders from the plan and the current state of the targets.
 */

#include "cluster_view.hpp"

#include <set>
#include <vector>

namespace carobtide {

/** Remaining numbers of loads that may be proposed now. */
struct LoadAllowance
{
  std::size_t mModels = 0;
  std::size_t mAdapters = 0;
};

/**
 * One pass over the plan. Loads wanted copies that fit, and unloads unwanted
 * copies where memory is needed, but never the last serving copy of a model.
 *
 * Thread safety: none.
 */
class Reconciler
{
public:
  /** Precondition: bundle, plan and view outlive the reconciler. */
  Reconciler(const Bundle& aBundle, const Plan& aPlan, ClusterView& aView,
             LoadAllowance aAllowance, FencingToken aFence);

  /** Returns the orders to propose, in sequence. Call once. */
  std::vector<CommitOrder> Run();

  /** True if all models are placed and serve and no obsolete copy is left. */
  bool IsSettled() const { return mIsSettled; }

  /** True if the plan lists the copy for the target. */
  bool IsWanted(const TargetName& aTarget, const CopyKey& aKey) const;

private:
  using Index = ClusterView::Index;

  struct CopySpec
  {
    std::uint32_t mVersion = 0;
    Bytes mMemory = 0;
  };

  void IndexBundle();
  void IndexPlan();
  void PlaceWanted();
  void PlaceCopy(const WantedCopy& aCopy);
  /** Unloads unwanted copies until `aNeed` bytes fit, as far as allowed. */
  void MakeRoom(Index aTarget, Bytes aNeed);
  /**
   * Loads another replica of a model whose only serving replica blocks a
   * wanted load, so that the old one can be unloaded later.
   */
  void Relocate(const ModelName& aModel);
  bool RelocateTo(Index aTarget, const ModelSpec& aSpec);
  /** Unloads copies that the bundle no longer contains. */
  void UnloadObsolete();

  /** Bytes that unloading unwanted copies could free on the target. */
  Bytes RemovableMemory(Index aTarget) const;
  bool IsWantedAt(Index aTarget, const CopyKey& aKey) const;
  /** True for a copy not in the bundle or an adapter without weights. */
  bool IsObsolete(Index aTarget, const ViewCopy& aCopy) const;
  /** True if all planned replicas of the model serve. */
  bool AreReplicasServing(const ModelName& aModel) const;
  const CopySpec* FindSpec(const ModelName& aModel,
                           const AdapterName& aAdapter) const;

  enum class Permission
  {
    No,
    /** No request depends on the copy. */
    Unused,
    /** Another replica keeps serving. */
    Replicated,
  };
  struct Decision
  {
    Permission mPermission = Permission::No;
    std::optional<RemainingReplica> mRemainingReplica;
  };
  Decision MayUnload(Index aTarget, const ViewCopy& aCopy) const;
  /** Unloads a copy and, for weights, its adapters. False if not allowed. */
  bool Unload(Index aTarget, const CopyKey& aKey);
  bool MayUnloadWithAdapters(Index aTarget, const ViewCopy& aCopy) const;
  /** Adapters that must be unloaded together with these weights. */
  std::vector<CopyKey> AdaptersOfWeights(Index aTarget,
                                         const CopyKey& aKey) const;
  /** Proposes a load. False if the load allowance is used up. */
  bool Load(Index aTarget, const CopyKey& aKey, Bytes aMemory);
  Order MakeOrder(Index aTarget, const CopyKey& aKey,
                  OrderAction aAction) const;
  TargetObservation ObservationOf(Index aTarget) const;

  const Bundle& mBundle;
  const Plan& mPlan;
  ClusterView& mView;
  LoadAllowance mAllowance;
  FencingToken mFence;
  std::map<std::pair<ModelName, AdapterName>, CopySpec> mSpecs;
  /** By target, sorted by key. */
  std::vector<std::vector<const WantedCopy*>> mWanted;
  std::map<ModelName, std::vector<Index>> mWantedTargets;
  /** Models with an unwanted copy that may not be unloaded yet. */
  std::set<ModelName> mBlockedModels;
  std::vector<CommitOrder> mOrders;
  bool mIsSettled = false;
};

} // namespace carobtide
