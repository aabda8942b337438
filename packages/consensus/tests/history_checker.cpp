#include "history_checker.hpp"

#include "carobtide/base/hash.hpp"

namespace carobtide {

std::uint64_t FoldState(std::uint64_t aState, const LogEntry& aEntry)
{
  return ComputeChecksum(aEntry.mPayload + std::to_string(aEntry.mTerm),
                         aState + aEntry.mIndex);
}

void HistoryChecker::Fail(const std::string& aWhy)
{
  if (mViolation.empty()) {
    mViolation = aWhy;
  }
}

void HistoryChecker::OnLeader(std::uint64_t aTerm, ReplicaId aReplica)
{
  const auto [it, inserted] = mLeaders.emplace(aTerm, aReplica);
  if (!inserted && it->second != aReplica) {
    Fail("two leaders in term " + std::to_string(aTerm));
  }
}

void HistoryChecker::OnStored(const LogEntry& aEntry,
                              std::uint64_t aPreviousTerm)
{
  const auto key = std::pair(aEntry.mIndex, aEntry.mTerm);
  const auto [it, inserted] =
    mStored.emplace(key, StoredEntry{ aEntry, aPreviousTerm });
  const bool same =
    it->second.mEntry == aEntry && it->second.mPreviousTerm == aPreviousTerm;
  if (!inserted && !same) {
    Fail("logs do not match at index " + std::to_string(aEntry.mIndex));
  }
}

void HistoryChecker::OnStarted(ReplicaId aReplica)
{
  mApplied[aReplica] = 0;
}

void HistoryChecker::OnApplied(ReplicaId aReplica, const LogEntry& aEntry)
{
  const auto index = aEntry.mIndex;
  auto& applied = mApplied[aReplica];
  if (index != applied + 1) {
    Fail("replica " + std::to_string(aReplica.Value()) + " applied " +
         std::to_string(index) + " after " + std::to_string(applied));
    return;
  }
  applied = index;
  if (index <= mCommitted.size()) {
    if (mCommitted[index - 1] != aEntry) {
      Fail("committed entry changed at " + std::to_string(index));
    }
    return;
  }
  if (index != mCommitted.size() + 1) {
    Fail("committed entry skipped at " + std::to_string(index));
    return;
  }
  mStates.push_back(FoldState(mStates.empty() ? 0 : mStates.back(), aEntry));
  mCommitted.push_back(aEntry);
  if (aEntry.mKind == EntryKind::Command &&
      !mPayloads.insert(aEntry.mPayload).second) {
    Fail("a command was committed twice: " + aEntry.mPayload);
  }
}

void HistoryChecker::OnRestored(ReplicaId aReplica, std::uint64_t aIndex,
                                std::uint64_t aState)
{
  if (aIndex > mCommitted.size() || StateAt(aIndex) != aState) {
    Fail("restored a state that was never committed, index " +
         std::to_string(aIndex));
    return;
  }
  if (aIndex < mApplied[aReplica]) {
    Fail("restored an older state, index " + std::to_string(aIndex));
  }
  mApplied[aReplica] = aIndex;
}

void HistoryChecker::OnLeases(const std::vector<ReplicaId>& aHolders)
{
  if (aHolders.size() > 1) {
    Fail("replicas " + std::to_string(aHolders[0].Value()) + " and " +
         std::to_string(aHolders[1].Value()) + " hold the lease at once");
  }
}

std::uint64_t HistoryChecker::AppliedIndex(ReplicaId aReplica) const
{
  const auto it = mApplied.find(aReplica);
  return it == mApplied.end() ? 0 : it->second;
}

std::uint64_t HistoryChecker::StateAt(std::uint64_t aIndex) const
{
  return mStates.at(aIndex - 1);
}

bool HistoryChecker::IsCommitted(const std::string& aPayload) const
{
  return mPayloads.contains(aPayload);
}

} // namespace carobtide
