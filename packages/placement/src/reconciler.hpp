#pragma once

/**
 * @file
 * From the plan and the picture of the targets to the orders that come next.
 */

#include "cluster_view.hpp"

#include <set>
#include <vector>

namespace carobtide {

/** Loads that may be proposed now, by what limits them. */
struct LoadAllowance
{
  std::size_t mModels = 0;
  std::size_t mAdapters = 0;
};

/**
 * One pass over the plan. Loads what is wanted where there is room, unloads
 * what is not wanted where room is needed, never the last serving copy.
 *
 * Thread safety: none.
 */
class Reconciler
{
public:
  /** Precondition: the arguments outlive the reconciler. */
  Reconciler(const Bundle& aBundle, const Plan& aPlan, ClusterView& aView,
             LoadAllowance aAllowance, FencingToken aFence);

  /** The orders to propose, in this order. */
  std::vector<CommitOrder> Run();

  /** True if every copy of the plan serves and none is left to remove. */
  bool IsSettled() const { return mIsSettled; }

  /** Proposed loads by target are wanted there or relocate a replica. */
  bool IsWanted(const TargetName& aTarget, const CopyKey& aKey) const;

private:
  using Index = ClusterView::Index;

  struct SpecOf
  {
    std::uint32_t mVersion = 0;
    Bytes mMemory = 0;
  };

  void IndexBundle();
  void IndexPlan();
  void PlaceWanted();
  void PlaceCopy(const WantedCopy& aCopy);
  /** Unloads unwanted copies until a load fits, or as far as allowed. */
  void MakeRoom(Index aTarget, Bytes aNeed);
  void Relocate(const ModelName& aModel);
  bool RelocateTo(Index aTarget, const ModelSpec& aSpec);
  void CleanUp();

  /** Bytes that unloads of unwanted copies could free there. */
  Bytes Removable(Index aTarget) const;
  bool IsWantedAt(Index aTarget, const CopyKey& aKey) const;
  bool IsObsolete(Index aTarget, const ViewCopy& aCopy) const;
  /** True if every wanted copy of the model serves. */
  bool IsModelDone(const ModelName& aModel) const;
  const SpecOf* Find(const ModelName& aModel,
                     const AdapterName& aAdapter) const;

  enum class Permission
  {
    No,
    /** Nobody is served by it. */
    Free,
    /** A witness goes on serving. */
    Witnessed,
  };
  struct Decision
  {
    Permission mPermission = Permission::No;
    std::optional<RemainingReplica> mRemainingReplica;
  };
  Decision MayUnload(Index aTarget, const ViewCopy& aCopy) const;
  /** Unloads a copy, weights with their adapters. False if not allowed. */
  bool Unload(Index aTarget, const CopyKey& aKey);
  bool MayUnloadWithAdapters(Index aTarget, const ViewCopy& aCopy) const;
  std::vector<CopyKey> AdaptersBeside(Index aTarget, const CopyKey& aKey) const;
  bool Load(Index aTarget, const CopyKey& aKey, Bytes aMemory);
  Order MakeOrder(Index aTarget, const CopyKey& aKey,
                  OrderAction aAction) const;
  TargetObservation SeenOf(Index aTarget) const;

  const Bundle& mBundle;
  const Plan& mPlan;
  ClusterView& mView;
  LoadAllowance mAllowance;
  FencingToken mFence;
  std::map<std::pair<ModelName, AdapterName>, SpecOf> mSpecs;
  std::vector<std::vector<const WantedCopy*>> mWanted; // per target, by key
  std::map<ModelName, std::vector<Index>> mWantedOn;
  std::set<ModelName> mBlocked;
  std::vector<CommitOrder> mOrders;
  bool mIsSettled = false;
};

} // namespace carobtide
