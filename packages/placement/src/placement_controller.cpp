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

/** Greatest age of the announcement of a replica that an unload relies on. */
constexpr Duration kWitnessAge = std::chrono::milliseconds(1500);

/** Least time between two passes over the plan, for few targets. */
constexpr Duration kReconcileInterval = std::chrono::milliseconds(100);

/** Targets above which plans and passes over them become rarer. */
constexpr std::size_t kTargetsPerPace = 700;

/** A load of a silent target takes a place at the store for this long. */
constexpr Duration kSilentLoadTimeout = std::chrono::minutes(1);

/** An account without any announcement of its target is kept for this long. */
constexpr Duration kUnheardTimeout = std::chrono::minutes(10);

bool IsModelLoad(const Order& aOrder)
{
  return aOrder.mAction == OrderAction::Load && aOrder.mAdapter.IsEmpty();
}

bool IsAdapterLoad(const Order& aOrder)
{
  return aOrder.mAction == OrderAction::Load && !aOrder.mAdapter.IsEmpty();
}

bool IsResident(const Announcement& aSaid, const Order& aOrder)
{
  return std::ranges::any_of(aSaid.mResident, [&](const auto& aResident) {
    return KeyOf(aResident) == KeyOf(aOrder);
  });
}

bool IsRefused(const Announcement& aSaid, OrderId aId)
{
  return std::ranges::find(aSaid.mRefusedOrders, aId) !=
         aSaid.mRefusedOrders.end();
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
    ForgetProposals();
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
    // A later term means that this leader has been deposed.
    if (mPlacement->Term() < mTerm && mNow >= mProposeTermAt) {
      mProposeTermAt = mNow + mOptions.mProposalTimeout;
      aEffects.mPropose.emplace_back(BeginTerm{ mTerm });
    }
  }

  void ForgetProposals()
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
    std::erase_if(mHeldBack, [&](OrderId aId) {
      return !mPlacement->OpenOrders().contains(aId);
    });
    std::erase_if(mRetiring, [&](const auto& aEntry) {
      return mNow >= aEntry.second ||
             !mPlacement->Accounts().contains(aEntry.first);
    });
  }

  /** The record of the incarnation that an order is for, if it is current. */
  const TargetRecord* Addressee(const Order& aOrder) const
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
      const TargetRecord* record = Addressee(order);
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

  /** What an order came to, once it can have no further effect. */
  std::optional<bool> Outcome(const Order& aOrder,
                              const TargetRecord& aRecord) const
  {
    const Announcement& said = aRecord.mAnnouncement;
    const bool isResident = IsResident(said, aOrder);
    const bool isQuiet = mTracker.HasNoCopyInFlight(aOrder, aRecord.mHeardAt);
    switch (aOrder.mAction) {
      case OrderAction::Load:
        if (isResident) {
          return true;
        }
        if (IsRefused(said, aOrder.mId) && isQuiet) {
          return false;
        }
        return std::nullopt;
      case OrderAction::Unload:
        if (isResident) {
          const bool isOver = isQuiet && (IsRefused(said, aOrder.mId) ||
                                          mHeldBack.contains(aOrder.mId));
          return isOver ? std::optional(false) : std::nullopt;
        }
        // A load delivered again would bring the copy back: either the
        // unload's fencing token bars it, or time has.
        if ((said.mChecksFencing && mTracker.IsSentByThisLeader(aOrder.mId)) ||
            isQuiet) {
          return true;
        }
        return std::nullopt;
      case OrderAction::SetRole:
        return said.mRole == aOrder.mRole ? std::optional(true) : std::nullopt;
    }
    return std::nullopt;
  }

  /** Drops the accounts of incarnations that have ended. */
  void RetireAccounts(PlacementEffects& aEffects)
  {
    if (mNow < mRetireCheckAt) {
      return;
    }
    mRetireCheckAt = mNow + mOptions.mPlanInterval;
    for (const auto& [id, account] : mPlacement->Accounts()) {
      if (mRetiring.contains(id) || !IsOver(id, account)) {
        continue;
      }
      mRetiring[id] = mNow + mOptions.mProposalTimeout;
      aEffects.mPropose.emplace_back(
        RetireIncarnation{ mTerm, id.mTarget, id.mIncarnation });
    }
  }

  bool IsOver(const TargetIncarnation& aId, const TargetAccount& aAccount) const
  {
    const TargetRecord* record = mTargets->Find(aId.mTarget);
    if (record == nullptr) {
      return mNow - *mStartedAt >= kUnheardTimeout;
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
    const std::pair progress{ last, mPlacement->OpenOrders().size() };
    if (!isPlanDue && (progress == mProgress || mNow < mReconcileAt)) {
      return;
    }
    mProgress = progress;
    mReconcileAt = mNow + Paced(kReconcileInterval);
    ClusterView view(*mTargets, *mPlacement, mPending);
    MarkReturning(view);
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
   * Marks copies that must not be unloaded yet. A target that checks fencing
   * refuses a load from before the unload; any other would load again, beside
   * the loads that the store's places are counted for.
   */
  void MarkReturning(ClusterView& aView) const
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
    mPlanAt = mNow + Paced(mOptions.mPlanInterval);
    mPlannedDigest = aBundle.mDigest;
    mPlannedVersion = aBundle.mVersion;
  }

  /** An interval, longer in proportion where there are many targets. */
  Duration Paced(Duration aInterval) const
  {
    const auto factor = static_cast<std::int64_t>(
      std::max<std::size_t>(1, mTargets->All().size() / kTargetsPerPace));
    return aInterval * factor;
  }

  LoadAllowance Allowance(const StoreSpec& aStore) const
  {
    std::size_t models = 0;
    std::size_t adapters = 0;
    for (const auto& [id, order] : mPlacement->OpenOrders()) {
      models += IsModelLoad(order) && TakesStore(order) ? 1 : 0;
      adapters += IsAdapterLoad(order) && TakesStore(order) ? 1 : 0;
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

  /** True unless the load's target has been silent for long. */
  bool TakesStore(const Order& aOrder) const
  {
    const TargetRecord* record = mTargets->Find(aOrder.mTarget);
    return record == nullptr || mNow - record->mHeardAt < kSilentLoadTimeout;
  }

  /** Withdraws loads that were never sent and are not wanted any more. */
  void CancelUnwanted(const Reconciler& aReconciler, PlacementEffects& aEffects)
  {
    for (const auto& [id, order] : mPlacement->OpenOrders()) {
      const TargetRecord* record = Addressee(order);
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

  /** True if requests are served without the copy that would be unloaded. */
  bool MayLose(const Bundle& aBundle, const Order& aOrder,
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
      return StandsIn(aEntry.second, aOrder);
    });
  }

  /** True if a copy other than the order's serves on that target. */
  bool StandsIn(const TargetRecord& aRecord, const Order& aOrder) const
  {
    const Announcement& said = aRecord.mAnnouncement;
    if (aRecord.mState != TargetState::Live ||
        mNow - aRecord.mHeardAt > kWitnessAge) {
      return false;
    }
    const TargetAccount* account =
      mPlacement->FindAccount(said.mTarget, said.mIncarnation);
    return std::ranges::any_of(said.mResident, [&](const auto& aResident) {
      if (aResident.mModel != aOrder.mModel ||
          aResident.mAdapter != aOrder.mAdapter ||
          (said.mTarget == aOrder.mTarget &&
           KeyOf(aResident) == KeyOf(aOrder))) {
        return false;
      }
      const AccountedCopy* copy =
        account == nullptr ? nullptr : account->Find(KeyOf(aResident));
      return copy == nullptr || copy->mState == CopyState::Held;
    });
  }

  /** True for an earlier leader's unload that a late load could undo. */
  bool WaitsForLoads(const Order& aOrder, const Announcement& aSaid) const
  {
    return aOrder.mAction == OrderAction::Unload && !aSaid.mChecksFencing &&
           !mTracker.IsSentByThisLeader(aOrder.mId) &&
           mTracker.MayLoadBeInFlight(
             mNow, { aOrder.mTarget, aOrder.mIncarnation }, KeyOf(aOrder));
  }

  /** True for an unload that only waits until no late load can undo it. */
  bool IsUnloaded(const Order& aOrder, const Announcement& aSaid) const
  {
    return aOrder.mAction == OrderAction::Unload &&
           mTracker.IsSentByThisLeader(aOrder.mId) &&
           !IsResident(aSaid, aOrder);
  }

  void SendOrders(const Bundle& aBundle, PlacementEffects& aEffects)
  {
    mStoreTokens.Refill(mNow, aBundle.mStore.mLoadsPerSecond);
    std::size_t models = 0;
    std::size_t adapters = 0;
    for (const auto& [id, order] : mPlacement->OpenOrders()) {
      if (mTracker.MayBeSent(order) && TakesStore(order)) {
        models += IsModelLoad(order) ? 1 : 0;
        adapters += IsAdapterLoad(order) ? 1 : 0;
      }
    }
    for (const auto& [id, order] : mPlacement->OpenOrders()) {
      const TargetRecord* record = Addressee(order);
      if (record == nullptr || mSettling.contains(id) ||
          record->mState != TargetState::Live ||
          IsRefused(record->mAnnouncement, id) || !mTracker.IsDue(mNow, id) ||
          IsUnloaded(order, record->mAnnouncement) ||
          WaitsForLoads(order, record->mAnnouncement)) {
        continue;
      }
      if (order.mAction == OrderAction::Unload &&
          !MayLose(aBundle, order, *record)) {
        mHeldBack.insert(id);
        continue;
      }
      mHeldBack.erase(id);
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
  std::pair<OrderId, std::size_t> mProgress;
  bool mIsSettled = false;

  PendingProposals mPending;
  std::map<OrderId, Instant> mSettling;
  /** Unloads not sent since no other replica serves. */
  std::set<OrderId> mHeldBack;
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
