#include "carobtide/placement/store_budget.hpp"
#include "cluster_view.hpp"
#include "order_tracker.hpp"
#include "reconciler.hpp"

#include <algorithm>
#include <cassert>
#include <optional>
#include <set>

namespace carobtide {

namespace {

/** Maximum age of the announcement of a replica that an unload relies on. */
constexpr Duration kMaxReplicaReportAge = std::chrono::milliseconds(1500);

/** Minimum time between two reconciliation passes, in a small fleet. */
constexpr Duration kReconcileInterval = std::chrono::milliseconds(100);

/** Targets per unit of the factor that lengthens the planning intervals. */
constexpr std::size_t kTargetsPerIntervalStep = 700;

/** Silence after which a target's loads no longer count as store use. */
constexpr Duration kSilentLoadTimeout = std::chrono::minutes(1);

/** Time after which the account of an unannounced target is removed. */
constexpr Duration kMissingTargetTimeout = std::chrono::minutes(10);

bool IsModelLoad(const Order& aOrder)
{
  return aOrder.mAction == OrderAction::Load && aOrder.mAdapter.IsEmpty();
}

bool IsAdapterLoad(const Order& aOrder)
{
  return aOrder.mAction == OrderAction::Load && !aOrder.mAdapter.IsEmpty();
}

bool IsResident(const Announcement& aAnnouncement, const Order& aOrder)
{
  return std::ranges::any_of(
    aAnnouncement.mResident,
    [&](const auto& aResident) { return KeyOf(aResident) == KeyOf(aOrder); });
}

bool IsRefused(const Announcement& aAnnouncement, OrderId aId)
{
  return std::ranges::find(aAnnouncement.mRefusedOrders, aId) !=
         aAnnouncement.mRefusedOrders.end();
}

} // namespace

class PlacementController::Impl
{
public:
  Impl(PlacementOptions aOptions, FencingToken aTerm)
    : mOptions(std::move(aOptions))
    , mTerm(aTerm)
    , mTracker(aTerm, mOptions.mResendInterval, mOptions.mOrderLifetime)
    , mPlanner(MakePlanner(mOptions.mPlanner))
  {
    if (mPlanner == nullptr) {
      mPlanner = MakePlanner("demand");
    }
  }

  PlacementEffects Step(Instant aNow, const Bundle& aBundle,
                        const TargetRegistry& aTargets,
                        const Placement& aPlacement, const DemandTable& aDemand)
  {
    mNow = aNow;
    mTargets = &aTargets;
    mPlacement = &aPlacement;
    PlacementEffects effects;
    if (aPlacement.Term() != mTerm) {
      ProposeTerm(effects);
      return effects;
    }
    if (!mStartedAt) {
      mStartedAt = aNow;
    }
    mTracker.Follow(aNow, aPlacement);
    ExpireProposals();
    SettleOrders(effects);
    RetireAccounts(effects);
    if (!aBundle.mModels.empty()) {
      Reconcile(aBundle, aDemand, effects);
    }
    SendOrders(aBundle, effects);
    effects.mSettled = mIsSettled;
    return effects;
  }

private:
  void ProposeTerm(PlacementEffects& aEffects)
  {
    // A later term in the record means that this leader has been replaced.
    if (mPlacement->Term() < mTerm && mNow >= mProposeTermAt) {
      mProposeTermAt = mNow + mOptions.mProposalTimeout;
      aEffects.mPropose.emplace_back(BeginTerm{ mTerm });
    }
  }

  void ExpireProposals()
  {
    for (const auto& [id, order] : mPlacement->OpenOrders()) {
      mPending.erase(
        { { order.mTarget, order.mIncarnation }, KeyOf(order), order.mAction });
    }
    std::erase_if(mPending, [&](const auto& aEntry) {
      return mNow >= aEntry.second.mExpiresAt;
    });
    std::erase_if(mSettling, [&](const auto& aEntry) {
      return mNow >= aEntry.second ||
             !mPlacement->OpenOrders().contains(aEntry.first);
    });
    std::erase_if(mDeferredUnloads, [&](OrderId aId) {
      return !mPlacement->OpenOrders().contains(aId);
    });
    std::erase_if(mRetiring, [&](const auto& aEntry) {
      return mNow >= aEntry.second ||
             !mPlacement->Accounts().contains(aEntry.first);
    });
  }

  /**
   * Finds the target of an order. Null if it is unknown, has a different
   * incarnation, or its announcement is older than the record.
   */
  const TargetRecord* FindReceiver(const Order& aOrder) const
  {
    const TargetRecord* record = mTargets->Find(aOrder.mTarget);
    if (record == nullptr ||
        record->mAnnouncement.mIncarnation != aOrder.mIncarnation) {
      return nullptr;
    }
    const TargetAccount* account =
      mPlacement->FindAccount(aOrder.mTarget, aOrder.mIncarnation);
    const bool isFresh = account == nullptr ||
                         record->mAnnouncement.mSequence >= account->Sequence();
    return isFresh ? record : nullptr;
  }

  void SettleOrders(PlacementEffects& aEffects)
  {
    for (const auto& [id, order] : mPlacement->OpenOrders()) {
      const TargetRecord* record = FindReceiver(order);
      if (record == nullptr || mSettling.contains(id)) {
        continue;
      }
      if (const auto done = Outcome(order, *record)) {
        ProposeSettle(order, *done, *record, aEffects);
      }
    }
  }

  void ProposeSettle(const Order& aOrder, bool aDone,
                     const TargetRecord& aRecord, PlacementEffects& aEffects)
  {
    mSettling[aOrder.mId] = mNow + mOptions.mProposalTimeout;
    aEffects.mPropose.emplace_back(
      SettleOrder{ mTerm, aOrder.mId, aDone, aRecord.mAnnouncement.mSequence });
  }

  /** Result of an order; nullopt while it may still have an effect. */
  std::optional<bool> Outcome(const Order& aOrder,
                              const TargetRecord& aRecord) const
  {
    const Announcement& announcement = aRecord.mAnnouncement;
    const bool isResident = IsResident(announcement, aOrder);
    const bool noneInFlight =
      mTracker.HasNoCopyInFlight(aOrder, aRecord.mHeardAt);
    switch (aOrder.mAction) {
      case OrderAction::Load:
        if (isResident) {
          return true;
        }
        if (IsRefused(announcement, aOrder.mId) && noneInFlight) {
          return false;
        }
        return std::nullopt;
      case OrderAction::Unload:
        if (isResident) {
          const bool isFinished =
            noneInFlight && (IsRefused(announcement, aOrder.mId) ||
                             mDeferredUnloads.contains(aOrder.mId));
          return isFinished ? std::optional(false) : std::nullopt;
        }
        // A duplicate of an earlier load would restore the copy, unless the
        // unload's fencing token makes the target refuse it or no duplicate
        // can still be in flight.
        if ((announcement.mChecksFencing &&
             mTracker.IsSentByThisLeader(aOrder.mId)) ||
            noneInFlight) {
          return true;
        }
        return std::nullopt;
      case OrderAction::SetRole:
        return announcement.mRole == aOrder.mRole ? std::optional(true)
                                                  : std::nullopt;
    }
    return std::nullopt;
  }

  /** Proposes to remove the accounts of incarnations that have ended. */
  void RetireAccounts(PlacementEffects& aEffects)
  {
    if (mNow < mRetireCheckAt) {
      return;
    }
    mRetireCheckAt = mNow + mOptions.mPlanInterval;
    for (const auto& [id, account] : mPlacement->Accounts()) {
      if (mRetiring.contains(id) || !HasEnded(id, account)) {
        continue;
      }
      mRetiring[id] = mNow + mOptions.mProposalTimeout;
      aEffects.mPropose.emplace_back(
        RetireIncarnation{ mTerm, id.mTarget, id.mIncarnation });
    }
  }

  bool HasEnded(const TargetIncarnation& aId,
                const TargetAccount& aAccount) const
  {
    const TargetRecord* record = mTargets->Find(aId.mTarget);
    if (record == nullptr) {
      return mNow - *mStartedAt >= kMissingTargetTimeout;
    }
    if (record->mAnnouncement.mIncarnation == aId.mIncarnation) {
      return false;
    }
    return std::ranges::all_of(aAccount.Copies(), [&](const auto& aEntry) {
      if (aEntry.second.mState != CopyState::Loading) {
        return true;
      }
      const auto it = mPlacement->OpenOrders().find(aEntry.second.mOrder);
      return it == mPlacement->OpenOrders().end() ||
             !mTracker.MayBeSent(it->second) ||
             mTracker.HasNoCopyInFlight(it->second, mNow);
    });
  }

  void Reconcile(const Bundle& aBundle, const DemandTable& aDemand,
                 PlacementEffects& aEffects)
  {
    const bool isPlanDue = mNow >= mPlanAt ||
                           aBundle.mDigest != mPlannedDigest ||
                           aBundle.mVersion != mPlannedVersion;
    const OrderId last = mPlacement->OpenOrders().empty()
                           ? OrderId{}
                           : mPlacement->OpenOrders().rbegin()->first;
    const std::pair openState{ last, mPlacement->OpenOrders().size() };
    if (!isPlanDue && (openState == mReconciledState || mNow < mReconcileAt)) {
      return;
    }
    mReconciledState = openState;
    mReconcileAt = mNow + ScaleInterval(kReconcileInterval);
    ClusterView view(*mTargets, *mPlacement, mPending);
    MarkReloadable(view);
    if (isPlanDue) {
      MakePlan(aBundle, aDemand, view);
    }
    Reconciler reconciler(aBundle, mPlan, view, Allowance(aBundle.mStore),
                          MakeFence(mTerm, 0));
    for (CommitOrder& commit : reconciler.Run()) {
      const Order& order = commit.mOrder;
      mPending[{ { order.mTarget, order.mIncarnation },
                 KeyOf(order),
                 order.mAction }] = { order.mMemory,
                                      mNow + mOptions.mProposalTimeout };
      aEffects.mPropose.emplace_back(std::move(commit));
    }
    mIsSettled = reconciler.IsSettled();
    CancelUnwanted(reconciler, aEffects);
  }

  /**
   * Marks copies that must not be unloaded yet. If a load arrives after the
   * unload, a target that checks fencing refuses it. Any other target loads the
   * copy again, in addition to the loads counted against the store's limit.
   */
  void MarkReloadable(ClusterView& aView) const
  {
    for (ClusterView::Index n = 0; n < aView.Targets().size(); ++n) {
      ViewTarget& target = aView.Target(n);
      if (target.mRecord->mAnnouncement.mChecksFencing) {
        continue;
      }
      for (ViewCopy& copy : target.mCopies) {
        copy.mMayReturn =
          mTracker.MayLoadBeInFlight(mNow, target.mId, copy.mKey);
      }
    }
  }

  void MakePlan(const Bundle& aBundle, const DemandTable& aDemand,
                const ClusterView& aView)
  {
    PlannerInput input;
    input.mBundle = &aBundle;
    input.mTargets = aView.ForPlanner();
    input.mDemand = &aDemand;
    input.mNow = mNow;
    mPlan = {};
    mPlan = mPlanner->MakePlan(input);
    mPlanAt = mNow + ScaleInterval(mOptions.mPlanInterval);
    mPlannedDigest = aBundle.mDigest;
    mPlannedVersion = aBundle.mVersion;
  }

  /** Lengthens an interval in proportion to the number of targets. */
  Duration ScaleInterval(Duration aInterval) const
  {
    const auto factor = static_cast<std::int64_t>(std::max<std::size_t>(
      1, mTargets->All().size() / kTargetsPerIntervalStep));
    return aInterval * factor;
  }

  /** Loads that the store's limits still permit. */
  LoadAllowance Allowance(const StoreSpec& aStore) const
  {
    std::size_t models = 0;
    std::size_t adapters = 0;
    for (const auto& [id, order] : mPlacement->OpenOrders()) {
      models += IsModelLoad(order) && UsesStore(order) ? 1 : 0;
      adapters += IsAdapterLoad(order) && UsesStore(order) ? 1 : 0;
    }
    for (const auto& [proposal, state] : mPending) {
      if (proposal.mAction == OrderAction::Load) {
        ++(proposal.mKey.mAdapter.IsEmpty() ? models : adapters);
      }
    }
    const auto left = [](std::size_t aLimit, std::size_t aUsed) {
      return aLimit > aUsed ? aLimit - aUsed : 0;
    };
    return { left(aStore.mMaxConcurrentLoads, models),
             left(aStore.mAdapterConcurrency, adapters) };
  }

  /** True unless the target has been silent for kSilentLoadTimeout. */
  bool UsesStore(const Order& aOrder) const
  {
    const TargetRecord* record = mTargets->Find(aOrder.mTarget);
    return record == nullptr || mNow - record->mHeardAt < kSilentLoadTimeout;
  }

  /** Cancels loads that were never sent and are no longer wanted. */
  void CancelUnwanted(const Reconciler& aReconciler, PlacementEffects& aEffects)
  {
    for (const auto& [id, order] : mPlacement->OpenOrders()) {
      const TargetRecord* record = FindReceiver(order);
      if (order.mAction != OrderAction::Load || record == nullptr ||
          mSettling.contains(id) || mTracker.MayBeSent(order)) {
        continue;
      }
      if (record->mState != TargetState::Live ||
          !aReconciler.IsWanted(order.mTarget, KeyOf(order))) {
        ProposeSettle(order, false, *record, aEffects);
      }
    }
  }

  /** True if no request depends on the copy that the order unloads. */
  bool IsUnloadSafe(const Bundle& aBundle, const Order& aOrder,
                    const TargetRecord& aRecord) const
  {
    const auto model =
      std::ranges::find(aBundle.mModels, aOrder.mModel, &ModelSpec::mName);
    if (model == aBundle.mModels.end()) {
      return true;
    }
    if (!aOrder.mAdapter.IsEmpty()) {
      const bool isNamed =
        std::ranges::any_of(model->mAdapters, [&](const AdapterSpec& aAdapter) {
          return aAdapter.mName == aOrder.mAdapter;
        });
      const bool hasWeights = std::ranges::any_of(
        aRecord.mAnnouncement.mResident, [&](const auto& aResident) {
          return aResident.mModel == aOrder.mModel &&
                 aResident.mAdapter.IsEmpty();
        });
      if (!isNamed || !hasWeights) {
        return true;
      }
    }
    return std::ranges::any_of(mTargets->All(), [&](const auto& aEntry) {
      return ServesAnotherCopy(aEntry.second, aOrder);
    });
  }

  /** True if the target serves a copy other than the order's. */
  bool ServesAnotherCopy(const TargetRecord& aRecord, const Order& aOrder) const
  {
    const Announcement& announcement = aRecord.mAnnouncement;
    if (aRecord.mState != TargetState::Live ||
        mNow - aRecord.mHeardAt > kMaxReplicaReportAge) {
      return false;
    }
    const TargetAccount* account =
      mPlacement->FindAccount(announcement.mTarget, announcement.mIncarnation);
    return std::ranges::any_of(
      announcement.mResident, [&](const auto& aResident) {
        if (aResident.mModel != aOrder.mModel ||
            aResident.mAdapter != aOrder.mAdapter ||
            (announcement.mTarget == aOrder.mTarget &&
             KeyOf(aResident) == KeyOf(aOrder))) {
          return false;
        }
        const AccountedCopy* copy =
          account == nullptr ? nullptr : account->Find(KeyOf(aResident));
        return copy == nullptr || copy->mState == CopyState::Held;
      });
  }

  /** True for an earlier leader's unload that a late load could reverse. */
  bool AwaitsLateLoads(const Order& aOrder,
                       const Announcement& aAnnouncement) const
  {
    return aOrder.mAction == OrderAction::Unload &&
           !aAnnouncement.mChecksFencing &&
           !mTracker.IsSentByThisLeader(aOrder.mId) &&
           mTracker.MayLoadBeInFlight(
             mNow, { aOrder.mTarget, aOrder.mIncarnation }, KeyOf(aOrder));
  }

  /** True for an executed unload that a late load could still reverse. */
  bool AwaitsSettlement(const Order& aOrder,
                        const Announcement& aAnnouncement) const
  {
    return aOrder.mAction == OrderAction::Unload &&
           mTracker.IsSentByThisLeader(aOrder.mId) &&
           !IsResident(aAnnouncement, aOrder);
  }

  void SendOrders(const Bundle& aBundle, PlacementEffects& aEffects)
  {
    mStoreTokens.Refill(mNow, aBundle.mStore.mLoadsPerSecond);
    std::size_t models = 0;
    std::size_t adapters = 0;
    for (const auto& [id, order] : mPlacement->OpenOrders()) {
      if (mTracker.MayBeSent(order) && UsesStore(order)) {
        models += IsModelLoad(order) ? 1 : 0;
        adapters += IsAdapterLoad(order) ? 1 : 0;
      }
    }
    for (const auto& [id, order] : mPlacement->OpenOrders()) {
      const TargetRecord* record = FindReceiver(order);
      if (record == nullptr || mSettling.contains(id) ||
          record->mState != TargetState::Live ||
          IsRefused(record->mAnnouncement, id) || !mTracker.IsDue(mNow, id) ||
          AwaitsSettlement(order, record->mAnnouncement) ||
          AwaitsLateLoads(order, record->mAnnouncement)) {
        continue;
      }
      if (order.mAction == OrderAction::Unload &&
          !IsUnloadSafe(aBundle, order, *record)) {
        mDeferredUnloads.insert(id);
        continue;
      }
      mDeferredUnloads.erase(id);
      if (!mTracker.MayBeSent(order)) {
        if (IsModelLoad(order) &&
            (models >= aBundle.mStore.mMaxConcurrentLoads ||
             !mStoreTokens.Take())) {
          continue;
        }
        if (IsAdapterLoad(order) &&
            adapters >= aBundle.mStore.mAdapterConcurrency) {
          continue;
        }
        models += IsModelLoad(order) ? 1 : 0;
        adapters += IsAdapterLoad(order) ? 1 : 0;
      }
      aEffects.mSend.push_back(mTracker.Stamp(mNow, order));
    }
  }

  PlacementOptions mOptions;
  FencingToken mTerm;
  OrderTracker mTracker;
  std::unique_ptr<Planner> mPlanner;
  TokenBucket mStoreTokens;

  Instant mNow;
  const TargetRegistry* mTargets = nullptr;
  const Placement* mPlacement = nullptr;
  std::optional<Instant> mStartedAt;
  Instant mProposeTermAt;

  Plan mPlan;
  Instant mPlanAt;
  Instant mReconcileAt;
  Digest mPlannedDigest;
  std::uint64_t mPlannedVersion = 0;
  /** Last id and number of open orders at the latest reconciliation. */
  std::pair<OrderId, std::size_t> mReconciledState;
  bool mIsSettled = false;

  PendingProposals mPending;
  /** Proposed settlements, with the time after which they may be repeated. */
  std::map<OrderId, Instant> mSettling;
  /** Unloads that are not sent because no other replica serves. */
  std::set<OrderId> mDeferredUnloads;
  /** Proposed retirements, likewise. */
  std::map<TargetIncarnation, Instant> mRetiring;
  Instant mRetireCheckAt;
};

PlacementController::PlacementController(PlacementOptions aOptions,
                                         FencingToken aTerm)
  : mImpl(std::make_unique<Impl>(std::move(aOptions), aTerm))
{
}

PlacementController::~PlacementController() = default;

PlacementEffects PlacementController::Step(Instant aNow, const Bundle& aBundle,
                                           const TargetRegistry& aTargets,
                                           const Placement& aPlacement,
                                           const DemandTable& aDemand)
{
  return mImpl->Step(aNow, aBundle, aTargets, aPlacement, aDemand);
}

} // namespace carobtide
