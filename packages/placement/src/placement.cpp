#include "carobtide/placement/placement.hpp"

#include "carobtide/base/codec.hpp"

namespace carobtide {

namespace {

struct Snapshot
{
  FencingToken mTerm;
  std::map<OrderId, Order> mOpen;
  std::map<TargetIncarnation, TargetAccount> mAccounts;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm, mOpen, mAccounts);
  }
};

} // namespace

bool Placement::Apply(std::uint64_t aIndex, const PlacementCommand& aCommand)
{
  struct Visitor
  {
    Placement& mPlacement;
    OrderId mId;

    bool operator()(const CommitOrder& aCommit) const
    {
      return mPlacement.Commit(mId, aCommit);
    }
    bool operator()(const SettleOrder& aSettle) const
    {
      return mPlacement.Settle(aSettle);
    }
    bool operator()(const RetireIncarnation& aRetire) const
    {
      return mPlacement.Retire(aRetire);
    }
    bool operator()(const BeginTerm& aBegin) const
    {
      return mPlacement.Begin(aBegin);
    }
  };
  return std::visit(Visitor{ *this, OrderId(aIndex) }, aCommand);
}

bool Placement::Commit(OrderId aId, const CommitOrder& aCommand)
{
  const Order& order = aCommand.mOrder;
  if (TermOf(order.mFence) < mTerm) {
    return false;
  }
  if (aCommand.mRemainingReplica &&
      !IsReplicaRemaining(*aCommand.mRemainingReplica, order)) {
    return false;
  }
  const TargetIncarnation where{ order.mTarget, order.mIncarnation };
  const auto it = mAccounts.find(where);
  TargetAccount account = it == mAccounts.end() ? TargetAccount{} : it->second;
  if (!account.Observe(aCommand.mObserved)) {
    return false;
  }
  const CopyKey key = KeyOf(order);
  switch (order.mAction) {
    case OrderAction::Load: {
      const Bytes reserved =
        account.Reserved() +
        LoadingInOtherIncarnations(order.mTarget, order.mIncarnation);
      if (order.mMemory < 0 || reserved + order.mMemory > account.Memory() ||
          !account.BeginLoad(key, order.mMemory, aId)) {
        return false;
      }
      break;
    }
    case OrderAction::Unload:
      if (!account.BeginUnload(key, aId)) {
        return false;
      }
      break;
    case OrderAction::SetRole:
      break;
  }
  mAccounts.insert_or_assign(where, std::move(account));
  Order& open = mOpen[aId];
  open = order;
  open.mId = aId;
  return true;
}

bool Placement::IsReplicaRemaining(const RemainingReplica& aReplica,
                                   const Order& aUnload) const
{
  if (aReplica.mTarget == aUnload.mTarget &&
      aReplica.mVersion == aUnload.mVersion) {
    return false;
  }
  const TargetAccount* account =
    FindAccount(aReplica.mTarget, aReplica.mIncarnation);
  if (account == nullptr) {
    return true; // No order for that incarnation is recorded.
  }
  const AccountedCopy* copy =
    account->Find({ aUnload.mModel, aUnload.mAdapter, aReplica.mVersion });
  return copy != nullptr && copy->mState == CopyState::Held;
}

bool Placement::Settle(const SettleOrder& aCommand)
{
  const auto it = mOpen.find(aCommand.mId);
  if (aCommand.mTerm < mTerm || it == mOpen.end()) {
    return false;
  }
  const Order& order = it->second;
  const auto account = mAccounts.find({ order.mTarget, order.mIncarnation });
  if (account != mAccounts.end()) {
    account->second.Settle(KeyOf(order), aCommand.mId, aCommand.mDone);
    account->second.NoteSequence(aCommand.mSequence);
  }
  mOpen.erase(it);
  return true;
}

bool Placement::Begin(const BeginTerm& aCommand)
{
  if (aCommand.mTerm <= mTerm) {
    return false;
  }
  mTerm = aCommand.mTerm;
  return true;
}

bool Placement::Retire(const RetireIncarnation& aCommand)
{
  if (aCommand.mTerm < mTerm) {
    return false;
  }
  std::erase_if(mOpen, [&](const auto& aEntry) {
    return aEntry.second.mTarget == aCommand.mTarget &&
           aEntry.second.mIncarnation == aCommand.mIncarnation;
  });
  return mAccounts.erase({ aCommand.mTarget, aCommand.mIncarnation }) != 0;
}

const TargetAccount* Placement::FindAccount(const TargetName& aTarget,
                                            Incarnation aIncarnation) const
{
  const auto it = mAccounts.find({ aTarget, aIncarnation });
  return it == mAccounts.end() ? nullptr : &it->second;
}

Bytes Placement::LoadingInOtherIncarnations(const TargetName& aTarget,
                                            Incarnation aIncarnation) const
{
  Bytes sum = 0;
  for (auto it = mAccounts.lower_bound({ aTarget, Incarnation(0) });
       it != mAccounts.end() && it->first.mTarget == aTarget; ++it) {
    if (it->first.mIncarnation != aIncarnation) {
      sum += it->second.Loading();
    }
  }
  return sum;
}

std::string Placement::Save() const
{
  return Encode(Snapshot{ mTerm, mOpen, mAccounts });
}

Result<Unit> Placement::Load(const std::string& aSnapshot)
{
  auto state = Decode<Snapshot>(aSnapshot);
  if (!state) {
    return state.GetError();
  }
  mTerm = state->mTerm;
  mOpen = std::move(state->mOpen);
  mAccounts = std::move(state->mAccounts);
  return Success();
}

} // namespace carobtide
