#include "carobtide/transport/hold_account.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace carobtide {

namespace {

Bytes ShareOf(double aShare, Bytes aRoom)
{
  return static_cast<Bytes>(aShare * static_cast<double>(aRoom));
}

/** What a party has in a pool. */
Bytes HeldFor(const std::map<std::string, Bytes>& aByParty,
              const std::string& aParty)
{
  const auto it = aByParty.find(aParty);
  return it == aByParty.end() ? 0 : it->second;
}

void Add(std::map<std::string, Bytes>& aByParty, const std::string& aParty,
         Bytes aBytes)
{
  if (aParty.empty()) {
    return;
  }
  const auto it = aByParty.try_emplace(aParty, 0).first;
  it->second += aBytes;
  if (it->second == 0) {
    aByParty.erase(it);
  }
}

} // namespace

HoldAccount::HoldAccount(HoldAccountOptions aOptions)
  : mOptions(aOptions)
{
  const auto fill = [this](HoldKind aKind, const auto& aRoom) {
    for (std::size_t tier = 0; tier < aRoom.size(); ++tier) {
      PoolOf(aKind, tier).mRoom = aRoom[tier];
    }
  };
  fill(HoldKind::Request, mOptions.mRequestRoom);
  fill(HoldKind::Head, mOptions.mHeadRoom);
  fill(HoldKind::Answer, mOptions.mAnswerRoom);
  fill(HoldKind::Event, mOptions.mEventRoom);
}

Bytes HoldAccount::TierBytesFor(Bytes aBytes) const
{
  const auto it = std::ranges::lower_bound(mOptions.mTierBytes, aBytes);
  return it == mOptions.mTierBytes.end() ? aBytes : *it;
}

HoldAccount::Ticket HoldAccount::Open(HoldKind aKind, HoldParties aParties)
{
  const Ticket ticket = mNext++;
  Hold hold;
  hold.mKind = aKind;
  hold.mParties = std::move(aParties);
  mHolds.emplace(ticket, std::move(hold));
  return ticket;
}

std::optional<std::size_t> HoldAccount::TierOf(HoldKind aKind,
                                               Bytes aBytes) const
{
  const auto& pools = mPools[static_cast<std::size_t>(aKind)];
  for (std::size_t tier = 0; tier < pools.size(); ++tier) {
    if (aBytes <= mOptions.mTierBytes[tier] && aBytes <= pools[tier].mRoom) {
      return tier;
    }
  }
  return std::nullopt;
}

Bytes HoldAccount::Added(const Hold& aHold, std::size_t aTier, Bytes aBytes)
{
  return aHold.mBytes > 0 && aHold.mTier == aTier ? aBytes - aHold.mBytes
                                                  : aBytes;
}

bool HoldAccount::ExceedsShare(const Pool& aPool, const Hold& aHold,
                               Bytes aAdded) const
{
  const auto exceeds = [&](const std::map<std::string, Bytes>& aByParty,
                           const std::string& aParty, double aShare) {
    const Bytes held = HeldFor(aByParty, aParty);
    // One hold of a party always fits, or a large one never would.
    return !aParty.empty() && held > 0 &&
           held + aAdded > ShareOf(aShare, aPool.mRoom);
  };
  const HoldParties& parties = aHold.mParties;
  return exceeds(aPool.mByGiver, parties.mGiver, mOptions.mGiverShare) ||
         exceeds(aPool.mByReceiver, parties.mReceiver,
                 mOptions.mReceiverShare) ||
         exceeds(aPool.mByService, parties.mService, mOptions.mServiceShare);
}

void HoldAccount::Charge(Pool& aPool, const HoldParties& aParties, Bytes aBytes)
{
  aPool.mHeld += aBytes;
  Add(aPool.mByGiver, aParties.mGiver, aBytes);
  Add(aPool.mByReceiver, aParties.mReceiver, aBytes);
  Add(aPool.mByService, aParties.mService, aBytes);
}

void HoldAccount::Take(Hold& aHold, std::size_t aTier, Bytes aBytes)
{
  const Bytes added = Added(aHold, aTier, aBytes);
  const bool isMoved = aHold.mBytes > 0 && aHold.mTier != aTier;
  Charge(PoolOf(aHold.mKind, aTier), aHold.mParties, added);
  HoldStats& stats = StatsOf(aHold.mKind);
  stats.mHeld += added;
  stats.mPeak = std::max(stats.mPeak, stats.mHeld);
  const std::size_t before = aHold.mTier;
  const Bytes old = aHold.mBytes;
  aHold.mTier = aTier;
  aHold.mBytes = aBytes;
  aHold.mWanted.reset();
  if (isMoved) {
    Charge(PoolOf(aHold.mKind, before), aHold.mParties, -old);
    stats.mHeld -= old;
    Serve(aHold.mKind, before);
  }
}

HoldAccount::Claim HoldAccount::Grow(Ticket aTicket, Bytes aBytes)
{
  Hold& hold = mHolds.at(aTicket);
  assert(!hold.mWanted);
  if (aBytes <= hold.mBytes) {
    return Claim::Granted;
  }
  const auto tier = TierOf(hold.mKind, aBytes);
  if (!tier) {
    return Claim::TooLarge;
  }
  Pool& pool = PoolOf(hold.mKind, *tier);
  const Bytes added = Added(hold, *tier, aBytes);
  const bool isFree = pool.mHeld + added <= pool.mRoom;
  // Who waits within the share of its parties comes first.
  const bool isFirst =
    std::ranges::none_of(pool.mWaiting, [&](Ticket aWaiting) {
      const Hold& other = mHolds.at(aWaiting);
      return !ExceedsShare(pool, other, Added(other, *tier, *other.mWanted));
    });
  if (isFree && isFirst && !ExceedsShare(pool, hold, added)) {
    Take(hold, *tier, aBytes);
    return Claim::Granted;
  }
  hold.mWanted = aBytes;
  pool.mWaiting.push_back(aTicket);
  HoldStats& stats = StatsOf(hold.mKind);
  ++stats.mWaiting;
  ++stats.mDelayed;
  return Claim::Waiting;
}

void HoldAccount::Withdraw(Ticket aTicket)
{
  Hold& hold = mHolds.at(aTicket);
  if (!hold.mWanted) {
    return;
  }
  const std::size_t tier = *TierOf(hold.mKind, *hold.mWanted);
  std::erase(PoolOf(hold.mKind, tier).mWaiting, aTicket);
  hold.mWanted.reset();
  --StatsOf(hold.mKind).mWaiting;
  // Another one may have waited behind it.
  Serve(hold.mKind, tier);
}

void HoldAccount::Close(Ticket aTicket)
{
  Withdraw(aTicket);
  const auto it = mHolds.find(aTicket);
  Hold& hold = it->second;
  const HoldKind kind = hold.mKind;
  const std::size_t tier = hold.mTier;
  const Bytes held = hold.mBytes;
  if (held > 0) {
    Charge(PoolOf(kind, tier), hold.mParties, -held);
    StatsOf(kind).mHeld -= held;
  }
  mHolds.erase(it);
  if (held > 0) {
    Serve(kind, tier);
  }
}

void HoldAccount::Serve(HoldKind aKind, std::size_t aTier)
{
  Pool& pool = PoolOf(aKind, aTier);
  for (auto it = pool.mWaiting.begin(); it != pool.mWaiting.end();) {
    const Ticket ticket = *it;
    Hold& hold = mHolds.at(ticket);
    const Bytes added = Added(hold, aTier, *hold.mWanted);
    if (ExceedsShare(pool, hold, added)) {
      ++it;
      continue;
    }
    if (pool.mHeld + added > pool.mRoom) {
      return;
    }
    it = pool.mWaiting.erase(it);
    const Bytes wanted = *hold.mWanted;
    --StatsOf(aKind).mWaiting;
    mGranted.push_back(ticket);
    // Gives room of a smaller pool back, whose waiting holds are served then.
    Take(hold, aTier, wanted);
  }
}

std::vector<HoldAccount::Ticket> HoldAccount::TakeGranted()
{
  return std::exchange(mGranted, {});
}

Bytes HoldAccount::Capacity() const
{
  Bytes sum = 0;
  for (const auto& pools : mPools) {
    for (const Pool& pool : pools) {
      sum += pool.mRoom;
    }
  }
  return sum;
}

} // namespace carobtide
