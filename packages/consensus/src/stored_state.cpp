/**
 * @file
 * Applies batches to stored state.
 */

#include "stored_state.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace carobtide {

namespace {

std::uint64_t BaseIndex(const RecoveredState& aState)
{
  return aState.mSnapshot ? aState.mSnapshot->mIndex : 0;
}

bool HoldsPosition(const RecoveredState& aState, const Snapshot& aSnapshot)
{
  const auto it =
    std::ranges::find(aState.mEntries, aSnapshot.mIndex, &LogEntry::mIndex);
  return it != aState.mEntries.end() && it->mTerm == aSnapshot.mTerm;
}

void ApplySnapshot(RecoveredState& aState, const Snapshot& aSnapshot)
{
  // A replay that starts behind the snapshot meets its mark again.
  if (aSnapshot.mIndex <= BaseIndex(aState)) {
    return;
  }
  auto& entries = aState.mEntries;
  if (HoldsPosition(aState, aSnapshot)) {
    const auto covered = aSnapshot.mIndex - BaseIndex(aState);
    entries.erase(entries.begin(),
                  entries.begin() + static_cast<std::ptrdiff_t>(covered));
  } else {
    entries.clear();
  }
  aState.mSnapshot = aSnapshot;
}

void ApplyEntries(RecoveredState& aState, const std::vector<LogEntry>& aEntries)
{
  const auto base = BaseIndex(aState);
  for (const LogEntry& entry : aEntries) {
    if (entry.mIndex > base) {
      aState.mEntries.resize(entry.mIndex - base - 1);
      aState.mEntries.push_back(entry);
    }
  }
}

} // namespace

bool FitsOnto(const RecoveredState& aState, const PersistBatch& aBatch)
{
  if (aBatch.mEntries.empty()) {
    return true;
  }
  auto last = BaseIndex(aState) + aState.mEntries.size();
  if (aBatch.mSnapshot && aBatch.mSnapshot->mIndex > BaseIndex(aState) &&
      !HoldsPosition(aState, *aBatch.mSnapshot)) {
    last = aBatch.mSnapshot->mIndex;
  }
  auto next = aBatch.mEntries.front().mIndex;
  return next <= last + 1 &&
         std::ranges::all_of(aBatch.mEntries, [&](const LogEntry& aEntry) {
           return aEntry.mIndex == next++;
         });
}

void ApplyBatch(RecoveredState& aState, const PersistBatch& aBatch)
{
  assert(FitsOnto(aState, aBatch));
  if (aBatch.mHardState) {
    aState.mHardState = *aBatch.mHardState;
  }
  if (aBatch.mSnapshot) {
    ApplySnapshot(aState, *aBatch.mSnapshot);
  }
  ApplyEntries(aState, aBatch.mEntries);
}

} // namespace carobtide
