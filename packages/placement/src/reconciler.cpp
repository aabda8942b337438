#include "reconciler.hpp"

#include <algorithm>
#include <tuple>

namespace carobtide {

namespace {

using CopyKeyRef =
  std::tuple<const ModelName&, const AdapterName&, std::uint32_t>;

/** Returns references, since copying the names would allocate. */
CopyKeyRef KeyRefOf(const WantedCopy* aCopy)
{
  return { aCopy->mModel, aCopy->mAdapter, aCopy->mVersion };
}

} // namespace

Reconciler::Reconciler(const Bundle& aBundle, const Plan& aPlan,
                       ClusterView& aView, LoadAllowance aAllowance,
                       FencingToken aFence)
  : mBundle(aBundle)
  , mPlan(aPlan)
  , mView(aView)
  , mAllowance(aAllowance)
  , mFence(aFence)
  , mWanted(aView.Targets().size())
{
  IndexBundle();
  IndexPlan();
}

std::vector<CommitOrder> Reconciler::Run()
{
  mIsSettled = mPlan.mUnplaced.empty();
  PlaceWanted();
  for (const ModelName& model : mBlockedModels) {
    Relocate(model);
  }
  UnloadObsolete();
  return std::move(mOrders);
}

void Reconciler::IndexBundle()
{
  for (const ModelSpec& model : mBundle.mModels) {
    mSpecs[{ model.mName, {} }] = { model.mVersion, model.mMemory };
    for (const AdapterSpec& adapter : model.mAdapters) {
      mSpecs[{ model.mName, adapter.mName }] = { adapter.mVersion,
                                                 adapter.mMemory };
    }
  }
}

void Reconciler::IndexPlan()
{
  for (const WantedCopy& copy : mPlan.mCopies) {
    if (const auto index = mView.Find(copy.mTarget)) {
      mWanted[*index].push_back(&copy);
      if (copy.mAdapter.IsEmpty()) {
        mWantedTargets[copy.mModel].push_back(*index);
      }
    }
  }
  for (auto& wanted : mWanted) {
    std::ranges::sort(wanted, {}, KeyRefOf);
  }
}

bool Reconciler::IsWanted(const TargetName& aTarget, const CopyKey& aKey) const
{
  const auto index = mView.Find(aTarget);
  return index && IsWantedAt(*index, aKey);
}

bool Reconciler::IsWantedAt(Index aTarget, const CopyKey& aKey) const
{
  const CopyKeyRef key{ aKey.mModel, aKey.mAdapter, aKey.mVersion };
  return std::ranges::binary_search(mWanted[aTarget], key, {}, KeyRefOf);
}

const Reconciler::CopySpec* Reconciler::FindSpec(
  const ModelName& aModel, const AdapterName& aAdapter) const
{
  const auto it = mSpecs.find({ aModel, aAdapter });
  return it == mSpecs.end() ? nullptr : &it->second;
}

void Reconciler::PlaceWanted()
{
  for (const WantedCopy& copy : mPlan.mCopies) {
    PlaceCopy(copy);
  }
}

void Reconciler::PlaceCopy(const WantedCopy& aCopy)
{
  const CopyKey key{ aCopy.mModel, aCopy.mAdapter, aCopy.mVersion };
  const auto index = mView.Find(aCopy.mTarget);
  const CopySpec* spec = FindSpec(aCopy.mModel, aCopy.mAdapter);
  if (!index || spec == nullptr) {
    mIsSettled = false;
    return;
  }
  const ViewTarget& target = mView.Target(*index);
  if (const ViewCopy* copy = target.Find(key)) {
    mIsSettled = mIsSettled && mView.IsServing(*index, *copy);
    return;
  }
  mIsSettled = false;
  if (!target.IsLive() || !target.mIsFresh) {
    return;
  }
  if (!aCopy.mAdapter.IsEmpty()) {
    const std::uint32_t version = FindSpec(aCopy.mModel, {})->mVersion;
    const ViewCopy* weights = target.Find({ aCopy.mModel, {}, version });
    if (weights == nullptr || !mView.IsServing(*index, *weights)) {
      return;
    }
  }
  if (target.Free() >= spec->mMemory) {
    Load(*index, key, spec->mMemory);
    return;
  }
  MakeRoom(*index, spec->mMemory);
}

void Reconciler::MakeRoom(Index aTarget, Bytes aNeed)
{
  const ViewTarget& target = mView.Target(aTarget);
  Bytes missing = aNeed - target.Free() - target.Unloading();
  while (missing > 0) {
    // Prefers obsolete copies, then the smallest copy that frees enough, then
    // the largest one.
    const ViewCopy* victim = nullptr;
    std::tuple<bool, bool, Bytes> bestRank;
    for (const ViewCopy& copy : target.mCopies) {
      if (copy.mState != CopyState::Held || copy.mMayReturn ||
          IsWantedAt(aTarget, copy.mKey)) {
        continue;
      }
      if (!MayUnloadWithAdapters(aTarget, copy)) {
        mBlockedModels.insert(copy.mKey.mModel);
        continue;
      }
      const bool isEnough = copy.mMemory >= missing;
      const std::tuple<bool, bool, Bytes> rank{ IsObsolete(aTarget, copy),
                                                isEnough,
                                                isEnough ? -copy.mMemory
                                                         : copy.mMemory };
      if (victim == nullptr || rank > bestRank) {
        victim = &copy;
        bestRank = rank;
      }
    }
    if (victim == nullptr) {
      return;
    }
    const CopyKey key = victim->mKey;
    if (!Unload(aTarget, key)) {
      return;
    }
    missing = aNeed - target.Free() - target.Unloading();
  }
}

Bytes Reconciler::RemovableMemory(Index aTarget) const
{
  Bytes sum = 0;
  for (const ViewCopy& copy : mView.Target(aTarget).mCopies) {
    if (copy.mState == CopyState::Held && !IsWantedAt(aTarget, copy.mKey) &&
        MayUnloadWithAdapters(aTarget, copy)) {
      sum += copy.mMemory;
    }
  }
  return sum;
}

void Reconciler::Relocate(const ModelName& aModel)
{
  const ModelSpec* spec = nullptr;
  const auto it = std::ranges::find(mBundle.mModels, aModel, &ModelSpec::mName);
  if (it == mBundle.mModels.end()) {
    return;
  }
  spec = &*it;
  // Once it is resident, the replica being loaded allows the unload.
  const bool isLoading =
    std::ranges::any_of(mView.Holders(aModel, {}), [&](Index aTarget) {
      const ViewCopy* copy =
        mView.Target(aTarget).Find({ aModel, {}, spec->mVersion });
      return copy != nullptr && copy->mState == CopyState::Loading;
    });
  if (isLoading) {
    return;
  }
  for (const bool hasRoomNow : { true, false }) {
    for (Index n = 0; n < mView.Targets().size(); ++n) {
      const ViewTarget& target = mView.Target(n);
      const bool isInPool = spec->mPool.empty() ||
                            spec->mPool == target.mRecord->mAnnouncement.mPool;
      if (!isInPool || !target.IsLive() || !target.mIsFresh ||
          target.Find({ aModel, {}, spec->mVersion }) != nullptr) {
        continue;
      }
      if (hasRoomNow
            ? RelocateTo(n, *spec)
            : target.Free() + target.Unloading() + RemovableMemory(n) >=
                spec->mMemory) {
        if (!hasRoomNow) {
          MakeRoom(n, spec->mMemory);
        }
        return;
      }
    }
  }
}

bool Reconciler::RelocateTo(Index aTarget, const ModelSpec& aSpec)
{
  return mView.Target(aTarget).Free() >= aSpec.mMemory &&
         Load(aTarget, { aSpec.mName, {}, aSpec.mVersion }, aSpec.mMemory);
}

bool Reconciler::AreReplicasServing(const ModelName& aModel) const
{
  const auto it = mWantedTargets.find(aModel);
  const CopySpec* spec = FindSpec(aModel, {});
  return it != mWantedTargets.end() && spec != nullptr &&
         std::ranges::all_of(it->second, [&](Index aTarget) {
           const ViewCopy* copy =
             mView.Target(aTarget).Find({ aModel, {}, spec->mVersion });
           return copy != nullptr && mView.IsServing(aTarget, *copy);
         });
}

bool Reconciler::IsObsolete(Index aTarget, const ViewCopy& aCopy) const
{
  const CopySpec* spec = FindSpec(aCopy.mKey.mModel, aCopy.mKey.mAdapter);
  if (spec == nullptr || spec->mVersion != aCopy.mKey.mVersion) {
    return true;
  }
  const bool isOrphan =
    !aCopy.mKey.mAdapter.IsEmpty() &&
    std::ranges::none_of(mView.Target(aTarget).mCopies,
                         [&](const ViewCopy& aOther) {
                           return aOther.mKey.mModel == aCopy.mKey.mModel &&
                                  aOther.mKey.mAdapter.IsEmpty();
                         });
  return isOrphan;
}

void Reconciler::UnloadObsolete()
{
  for (Index n = 0; n < mView.Targets().size(); ++n) {
    const ViewTarget& target = mView.Target(n);
    if (!target.IsLive() || !target.mIsFresh) {
      continue;
    }
    std::vector<CopyKey> obsolete;
    for (const ViewCopy& copy : target.mCopies) {
      if (IsObsolete(n, copy)) {
        mIsSettled = false;
        const bool isServed = FindSpec(copy.mKey.mModel, {}) != nullptr;
        if (copy.mState == CopyState::Held &&
            (!isServed || AreReplicasServing(copy.mKey.mModel))) {
          obsolete.push_back(copy.mKey);
        }
      }
    }
    for (const CopyKey& key : obsolete) {
      Unload(n, key);
    }
  }
}

Reconciler::Decision Reconciler::MayUnload(Index aTarget,
                                           const ViewCopy& aCopy) const
{
  const ViewTarget& target = mView.Target(aTarget);
  if (aCopy.mState != CopyState::Held || aCopy.mMayReturn || !target.IsLive() ||
      !target.mIsFresh) {
    return {};
  }
  const CopySpec* spec = FindSpec(aCopy.mKey.mModel, aCopy.mKey.mAdapter);
  if (spec == nullptr) {
    return { Permission::Unused, std::nullopt };
  }
  auto remaining =
    mView.FindRemainingReplica(aTarget, aCopy.mKey, spec->mVersion);
  if (!remaining && spec->mVersion != aCopy.mKey.mVersion) {
    // Until the new version serves, a replica of any version is enough.
    remaining = mView.FindRemainingReplica(aTarget, aCopy.mKey, std::nullopt);
  }
  if (remaining) {
    return { Permission::Replicated, remaining };
  }
  const bool isServing = mView.IsServing(aTarget, aCopy);
  const bool isOrphan =
    !aCopy.mKey.mAdapter.IsEmpty() && IsObsolete(aTarget, aCopy);
  if (!isServing && isOrphan) {
    return { Permission::Unused, std::nullopt };
  }
  return {};
}

std::vector<CopyKey> Reconciler::AdaptersOfWeights(Index aTarget,
                                                   const CopyKey& aKey) const
{
  std::vector<CopyKey> adapters;
  if (!aKey.mAdapter.IsEmpty()) {
    return adapters;
  }
  for (const ViewCopy& copy : mView.Target(aTarget).mCopies) {
    if (copy.mKey.mModel != aKey.mModel || copy.mKey == aKey) {
      continue;
    }
    if (copy.mKey.mAdapter.IsEmpty()) {
      if (copy.mState == CopyState::Held) {
        return {}; // The adapters can use the model's other weights.
      }
    } else if (copy.mState != CopyState::Unloading) {
      adapters.push_back(copy.mKey);
    }
  }
  return adapters;
}

bool Reconciler::MayUnloadWithAdapters(Index aTarget,
                                       const ViewCopy& aCopy) const
{
  if (MayUnload(aTarget, aCopy).mPermission == Permission::No) {
    return false;
  }
  const auto adapters = AdaptersOfWeights(aTarget, aCopy.mKey);
  return std::ranges::all_of(adapters, [&](const CopyKey& aKey) {
    const ViewCopy* copy = mView.Target(aTarget).Find(aKey);
    return MayUnload(aTarget, *copy).mPermission != Permission::No;
  });
}

bool Reconciler::Unload(Index aTarget, const CopyKey& aKey)
{
  const ViewCopy* copy = mView.Target(aTarget).Find(aKey);
  if (copy == nullptr || !MayUnloadWithAdapters(aTarget, *copy)) {
    return false;
  }
  std::vector<CopyKey> keys = AdaptersOfWeights(aTarget, aKey);
  keys.push_back(aKey);
  std::vector<CommitOrder> orders;
  for (const CopyKey& key : keys) {
    const Decision decision =
      MayUnload(aTarget, *mView.Target(aTarget).Find(key));
    orders.push_back({ MakeOrder(aTarget, key, OrderAction::Unload),
                       ObservationOf(aTarget), decision.mRemainingReplica });
  }
  for (const CopyKey& key : keys) {
    mView.Target(aTarget).Find(key)->mState = CopyState::Unloading;
  }
  std::ranges::move(orders, std::back_inserter(mOrders));
  return true;
}

bool Reconciler::Load(Index aTarget, const CopyKey& aKey, Bytes aMemory)
{
  std::size_t& left =
    aKey.mAdapter.IsEmpty() ? mAllowance.mModels : mAllowance.mAdapters;
  if (left == 0) {
    return false;
  }
  --left;
  Order order = MakeOrder(aTarget, aKey, OrderAction::Load);
  order.mMemory = aMemory;
  mOrders.push_back({ std::move(order), ObservationOf(aTarget), std::nullopt });
  mView.AddLoad(aTarget, aKey, aMemory);
  return true;
}

Order Reconciler::MakeOrder(Index aTarget, const CopyKey& aKey,
                            OrderAction aAction) const
{
  const ViewTarget& target = mView.Target(aTarget);
  Order order;
  order.mFence = mFence;
  order.mTarget = target.mId.mTarget;
  order.mIncarnation = target.mId.mIncarnation;
  order.mAction = aAction;
  order.mModel = aKey.mModel;
  order.mAdapter = aKey.mAdapter;
  order.mVersion = aKey.mVersion;
  return order;
}

TargetObservation Reconciler::ObservationOf(Index aTarget) const
{
  const ViewTarget& target = mView.Target(aTarget);
  return { target.Memory(), target.mRecord->mAnnouncement.mSequence,
           target.mUnaccounted };
}

} // namespace carobtide
