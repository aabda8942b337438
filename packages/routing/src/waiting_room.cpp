#include "carobtide/routing/waiting_room.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace carobtide {

namespace {

/** A tolerant request is urgent if its slack is its objective / divisor. */
constexpr int kUrgentDivisor = 5;
/** Time in which recent use falls by a factor of e, in seconds. */
constexpr double kUseDecaySeconds = 5.0;
/** Organisations whose use is kept; those that used nothing lately go first. */
constexpr std::size_t kMaxUses = 1024;
constexpr double kNegligibleUse = 1e-3;

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

WaitingClass WaitingRoom::ClassOf(Instant aNow, const WaitingRequest& aRequest)
{
  if (aNow >= aRequest.mInTimeUntil) {
    return WaitingClass::Late;
  }
  return aRequest.mIsTolerant && aRequest.mInTimeUntil - aNow >=
                                   aRequest.mObjective / kUrgentDivisor
           ? WaitingClass::Tolerant
           : WaitingClass::InTime;
}

Instant WaitingRoom::ChangeAfter(Instant aNow, const WaitingRequest& aRequest)
{
  switch (ClassOf(aNow, aRequest)) {
    case WaitingClass::Tolerant:
      return aRequest.mInTimeUntil - aRequest.mObjective / kUrgentDivisor +
             Duration(1);
    case WaitingClass::InTime:
      return aRequest.mInTimeUntil;
    case WaitingClass::Late:
      break;
  }
  return Instant::max();
}

WaitingRoom::Position WaitingRoom::PositionOf(WaiterId aId,
                                              const WaitingRequest& aRequest,
                                              WaitingClass aClass)
{
  return { aClass == WaitingClass::Late ? aRequest.mServableUntil
                                        : aRequest.mInTimeUntil,
           aRequest.mTokens, aId };
}

double WaitingRoom::UseOf(Instant aNow,
                          const OrganisationName& aOrganisation) const
{
  const auto it = mUses.find(aOrganisation);
  return it == mUses.end()
           ? 0
           : it->second.mWork *
               std::exp(-Seconds(aNow - it->second.mAt) / kUseDecaySeconds);
}

void WaitingRoom::OnUsed(Instant aNow, const OrganisationName& aOrganisation,
                         double aWork)
{
  if (mUses.size() >= kMaxUses) {
    std::erase_if(mUses, [&](const auto& aUse) {
      return UseOf(aNow, aUse.first) < kNegligibleUse;
    });
  }
  const double before = UseOf(aNow, aOrganisation);
  mUses[aOrganisation] = { before + aWork, aNow };
}

WaitingRoom::Group* WaitingRoom::FindGroup(const ServiceName& aService,
                                           const ModelName& aModel)
{
  const auto pool = mPools.find(aService);
  if (pool == mPools.end()) {
    return nullptr;
  }
  const auto group = pool->second.mGroups.find(aModel);
  return group == pool->second.mGroups.end() ? nullptr : &group->second;
}

void WaitingRoom::Insert(WaiterId aId, const Entry& aEntry)
{
  const WaitingRequest& request = aEntry.mRequest;
  mPools[request.mService]
    .mGroups[request.mModel]
    .mLines[{ aEntry.mClass, request.mPriority }][request.mOrganisation]
    .insert(PositionOf(aId, request, aEntry.mClass));
}

void WaitingRoom::Erase(WaiterId aId, const Entry& aEntry)
{
  const WaitingRequest& request = aEntry.mRequest;
  auto& lines = mPools.at(request.mService).mGroups.at(request.mModel).mLines;
  const auto line = lines.find({ aEntry.mClass, request.mPriority });
  const auto own = line->second.find(request.mOrganisation);
  own->second.erase(PositionOf(aId, request, aEntry.mClass));
  if (own->second.empty()) {
    line->second.erase(own);
  }
  if (line->second.empty()) {
    lines.erase(line);
  }
}

void WaitingRoom::Count(const Entry& aEntry, bool aIsAdded)
{
  const WaitingRequest& request = aEntry.mRequest;
  const LineKey key{ aEntry.mClass, request.mPriority };
  Pool& pool = mPools[request.mService];
  Group& group = pool.mGroups[request.mModel];
  std::size_t& total = mCounts[static_cast<std::size_t>(aEntry.mClass)];
  if (aIsAdded) {
    ++total;
    ++pool.mCounts[key];
    ++group.mCounts[key];
    return;
  }
  --total;
  if (--group.mCounts[key] == 0) {
    group.mCounts.erase(key);
  }
  if (group.mCounts.empty()) {
    pool.mGroups.erase(request.mModel);
  }
  if (--pool.mCounts[key] == 0) {
    pool.mCounts.erase(key);
  }
  if (pool.mCounts.empty()) {
    mPools.erase(request.mService);
  }
}

WaiterId WaitingRoom::Add(Instant aNow, WaitingRequest aRequest)
{
  Advance(aNow);
  const WaiterId id = mNext++;
  Entry entry;
  entry.mClass = ClassOf(aNow, aRequest);
  entry.mChangesAt = ChangeAfter(aNow, aRequest);
  entry.mRequest = std::move(aRequest);
  Count(entry, true);
  Insert(id, entry);
  mChanges.emplace(entry.mChangesAt, id);
  mEntries.emplace(id, std::move(entry));
  return id;
}

void WaitingRoom::Remove(WaiterId aId)
{
  const auto it = mEntries.find(aId);
  if (it == mEntries.end()) {
    return;
  }
  const Entry& entry = it->second;
  if (entry.mPlace == Place::Ordered) {
    Erase(aId, entry);
  }
  Count(entry, false);
  mChanges.erase({ entry.mChangesAt, aId });
  mEntries.erase(it);
}

void WaitingRoom::Advance(Instant aNow)
{
  while (!mChanges.empty() && mChanges.begin()->first <= aNow) {
    const WaiterId id = mChanges.begin()->second;
    mChanges.erase(mChanges.begin());
    Entry& entry = mEntries.at(id);
    if (entry.mPlace == Place::Ordered) {
      Erase(id, entry);
    }
    Entry moved = entry;
    moved.mClass = ClassOf(aNow, moved.mRequest);
    moved.mChangesAt = ChangeAfter(aNow, moved.mRequest);
    Count(moved, true);
    Count(entry, false);
    entry = std::move(moved);
    if (entry.mPlace == Place::Ordered) {
      Insert(id, entry);
    }
    mChanges.emplace(entry.mChangesAt, id);
  }
}

std::optional<WaitingRoom::Rank> WaitingRoom::BestOf(Instant aNow,
                                                     const Group& aGroup) const
{
  if (aGroup.mLines.empty()) {
    return std::nullopt;
  }
  const auto& [key, line] = *aGroup.mLines.begin();
  std::optional<Rank> best;
  for (const auto& [organisation, positions] : line) {
    Rank rank{ key, UseOf(aNow, organisation), *positions.begin() };
    if (!best || rank < *best) {
      best = rank;
    }
  }
  return best;
}

std::optional<WaiterId> WaitingRoom::Best(Instant aNow,
                                          const ServiceName& aService,
                                          const std::vector<ModelName>& aModels)
{
  Advance(aNow);
  std::optional<Rank> best;
  for (const ModelName& model : aModels) {
    if (const Group* group = FindGroup(aService, model)) {
      const auto rank = BestOf(aNow, *group);
      if (rank && (!best || *rank < *best)) {
        best = rank;
      }
    }
  }
  return best ? std::optional(std::get<WaiterId>(best->mPosition))
              : std::nullopt;
}

const WaitingRequest& WaitingRoom::Get(WaiterId aId) const
{
  return mEntries.at(aId).mRequest;
}

void WaitingRoom::Offer(WaiterId aId)
{
  Entry& entry = mEntries.at(aId);
  Erase(aId, entry);
  entry.mPlace = Place::Offered;
}

void WaitingRoom::Return(WaiterId aId)
{
  const auto it = mEntries.find(aId);
  if (it != mEntries.end() && it->second.mPlace == Place::Offered) {
    it->second.mPlace = Place::Returned;
    mReturned.push_back(aId);
  }
}

void WaitingRoom::BeginRound(Instant aNow)
{
  Advance(aNow);
  for (const WaiterId id : std::exchange(mReturned, {})) {
    const auto it = mEntries.find(id);
    if (it != mEntries.end() && it->second.mPlace == Place::Returned) {
      it->second.mPlace = Place::Ordered;
      Insert(id, it->second);
    }
  }
}

bool WaitingRoom::HasBetter(Instant aNow, const WaitingRequest& aRequest,
                            WaiterId aSelf)
{
  Advance(aNow);
  const Group* group = FindGroup(aRequest.mService, aRequest.mModel);
  if (group == nullptr) {
    return false;
  }
  const auto best = BestOf(aNow, *group);
  const WaitingClass own = ClassOf(aNow, aRequest);
  const WaiterId id = aSelf == 0 ? mNext : aSelf;
  return best && *best < Rank{ { own, aRequest.mPriority },
                               UseOf(aNow, aRequest.mOrganisation),
                               PositionOf(id, aRequest, own) };
}

std::size_t WaitingRoom::CountAhead(Instant aNow,
                                    const WaitingRequest& aRequest,
                                    bool aOfModel)
{
  Advance(aNow);
  const auto pool = mPools.find(aRequest.mService);
  if (pool == mPools.end()) {
    return 0;
  }
  const Counts* counts = &pool->second.mCounts;
  if (aOfModel) {
    const Group* group = FindGroup(aRequest.mService, aRequest.mModel);
    if (group == nullptr) {
      return 0;
    }
    counts = &group->mCounts;
  }
  const LineKey key{ ClassOf(aNow, aRequest), aRequest.mPriority };
  std::size_t ahead = 0;
  for (auto it = counts->begin(); it != counts->end() && it->first <= key;
       ++it) {
    ahead += it->second;
  }
  return ahead;
}

} // namespace carobtide
