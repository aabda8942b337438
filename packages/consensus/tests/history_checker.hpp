#pragma once

/**
 * @file
 * Checks the safety properties of a replicated log on what a run reports.
 */

#include "carobtide/consensus/types.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carobtide {

/**
 * Collects what replicas do and remembers the first contradiction.
 *
 * Thread safety: none.
 */
class HistoryChecker
{
public:
  /** A replica became leader of a term. */
  void OnLeader(std::uint64_t aTerm, ReplicaId aReplica);
  /** A replica stored an entry after one of a given term (log matching). */
  void OnStored(const LogEntry& aEntry, std::uint64_t aPreviousTerm);
  /** A process of a replica started; it has applied nothing. */
  void OnStarted(ReplicaId aReplica);
  /** A process applied a committed entry. */
  void OnApplied(ReplicaId aReplica, const LogEntry& aEntry);
  /** A process replaced its state; `aState` is what FoldState made. */
  void OnRestored(ReplicaId aReplica, std::uint64_t aIndex,
                  std::uint64_t aState);
  /** The replicas that have the lease at one moment. */
  void OnLeases(const std::vector<ReplicaId>& aHolders);

  /** The first contradiction; empty if there is none. */
  const std::string& Violation() const { return mViolation; }
  /** Highest index that any replica applied. */
  std::uint64_t CommittedIndex() const { return mCommitted.size(); }
  std::uint64_t AppliedIndex(ReplicaId aReplica) const;
  /** The state after an index. Precondition: 0 < index <= committed. */
  std::uint64_t StateAt(std::uint64_t aIndex) const;
  bool IsCommitted(const std::string& aPayload) const;

private:
  struct StoredEntry
  {
    LogEntry mEntry;
    std::uint64_t mPreviousTerm = 0;
  };

  void Fail(const std::string& aWhy);

  std::string mViolation;
  std::map<std::uint64_t, ReplicaId> mLeaders;
  std::map<std::pair<std::uint64_t, std::uint64_t>, StoredEntry> mStored;
  std::map<ReplicaId, std::uint64_t> mApplied;
  std::vector<LogEntry> mCommitted;
  std::vector<std::uint64_t> mStates;
  std::set<std::string> mPayloads;
};

/** The test state machine: a hash over all entries applied so far. */
std::uint64_t FoldState(std::uint64_t aState, const LogEntry& aEntry);

} // namespace carobtide
