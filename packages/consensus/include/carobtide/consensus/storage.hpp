#pragma once

/**
 * @file
 * Durable storage of a replicated log, behind an interface.
 */

#include "carobtide/consensus/types.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carobtide {

/** What a replica finds on its disk when it starts. */
struct RecoveredState
{
  /** Zero on an empty disk: the replica has no identity yet. */
  ReplicaId mReplica;
  HardState mHardState;
  std::optional<Snapshot> mSnapshot;
  /** Entries after the snapshot, without gaps. */
  std::vector<LogEntry> mEntries;
};

/** One batch that must be durable as a whole before it counts. */
struct PersistBatch
{
  /** Grows by one with each batch; reported back when durable. */
  std::uint64_t mSequence = 0;
  std::optional<HardState> mHardState;
  /** Entries to write; they replace any stored ones from the first index. */
  std::vector<LogEntry> mEntries;
  /** Replaces the log up to its index. */
  std::optional<Snapshot> mSnapshot;

  bool IsEmpty() const { return !mHardState && mEntries.empty() && !mSnapshot; }
};

/**
 * Durable storage of one group.
 *
 * Thread safety: none; one thread uses it. Calls block on the disk.
 */
class LogStorage
{
public:
  virtual ~LogStorage() = default;

  /**
   * Reads what is stored. A torn tail is cut; damage before the tail is
   * ErrorCode::Corrupt with the file and offset in the detail.
   */
  virtual Result<RecoveredState> Recover() = 0;

  /** Stores the replica's identity. Called once on an empty disk. */
  virtual Result<Unit> SetReplica(ReplicaId aReplica) = 0;

  /** Writes a batch and returns once it is durable. */
  virtual Result<Unit> Persist(const PersistBatch& aBatch) = 0;

  /**
   * After DiskFull from Persist: makes the storage ready to be given the same
   * batch again, before any other. DiskFull if there is still no room; any
   * other error is final.
   */
  virtual Result<Unit> Resume() = 0;
};

/** Storage in checksummed segment files under one folder. */
std::unique_ptr<LogStorage> OpenFileLogStorage(const std::string& aFolder);

/** Storage in memory, for tests. */
std::unique_ptr<LogStorage> MakeMemoryLogStorage();

} // namespace carobtide
