#pragma once

/**
 * @file
 * The invariants of the system, checked on what a run reports.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace carobtide::matrix {

/** What must always hold. */
enum class Invariant : std::uint8_t
{
  Memory,
  Reachable,
  WholeAnswer,
  NotRun,
  AtMostOnce,
  Leaving,
  PlannedStop,
  Configuration,
  /** One leader a term; all replicas apply the same entries. */
  Agreement,
  /** Once the faults are over, everything that was begun ends. */
  Convergence,
};

inline constexpr EnumTable<Invariant, 10> kInvariants{ { {
  { Invariant::Memory, "memory" },
  { Invariant::Reachable, "reachable" },
  { Invariant::WholeAnswer, "whole answer" },
  { Invariant::NotRun, "not run" },
  { Invariant::AtMostOnce, "at most once" },
  { Invariant::Leaving, "leaving" },
  { Invariant::PlannedStop, "planned stop" },
  { Invariant::Configuration, "configuration" },
  { Invariant::Agreement, "agreement" },
  { Invariant::Convergence, "convergence" },
} } };

/** A broken invariant. */
struct Violation
{
  Invariant mInvariant = Invariant::Memory;
  std::string mWhat;
};

/**
 * Collects violations.
 *
 * Thread safety: none.
 */
class Checker
{
public:
  /** Answers to callers are made of this many chunks. */
  static constexpr std::uint32_t kChunks = 4;

  void Fail(Invariant aInvariant, std::string aWhat);
  const std::vector<Violation>& Violations() const { return mViolations; }

  void OnLeader(std::uint64_t aTerm, ReplicaId aReplica);
  void OnCommitted(std::uint64_t aIndex, const std::string& aEntry);

  /** A ready daemon acts on this configuration. */
  void OnInForce(const std::string& aDaemon, Epoch aEpoch,
                 const std::string& aText);
  /** An operator was told that a roll succeeded. */
  void OnRolled() { ++mRolled; }
  int Rolled() const { return mRolled; }

  void OnMemory(const std::string& aTarget, Bytes aUsed, Bytes aMemory);

  /** The caller of a request received a chunk. */
  void OnChunk(RequestId aRequest, RequestId aWritten, std::uint32_t aNumber);
  /** The caller of a request was shown the end of a whole answer. */
  void OnWhole(RequestId aRequest);

  /** A target ran one submission; `aKey` is empty for idempotent work. */
  void OnRun(std::uint64_t aSubmission, const std::string& aKey);
  /** The caller was told that this submission was not run. */
  void OnToldNotRun(std::uint64_t aSubmission);
  /** The caller was given an answer of this key. */
  void OnToldRan(const std::string& aKey, const std::string& aBody);

private:
  std::vector<Violation> mViolations;
  std::map<std::uint64_t, ReplicaId> mLeaders;
  std::map<std::uint64_t, std::string> mCommitted;
  std::map<std::string, Epoch> mInForce;
  std::map<Epoch, std::string> mTexts;
  int mRolled = 0;
  std::map<RequestId, std::uint32_t> mChunks;
  std::set<std::uint64_t> mRun;
  std::set<std::uint64_t> mToldNotRun;
  std::map<std::string, int> mRunsOfKey;
};

} // namespace carobtide::matrix
