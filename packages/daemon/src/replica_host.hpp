#pragma once

/**
 * @file
 * Runs one replica of a control log: disk, messages, timers, and calls that
 * wait for their command.
 */

#include "carobtide/consensus.hpp"
#include "storage_worker.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace carobtide {

/** What the owner of a replica does. Called on the executor. */
struct ReplicaHandlers
{
  std::function<void(const ConsensusEnvelope&)> mSend;
  std::function<void(const LogEntry&)> mApply;
  std::function<void(const std::string&)> mRestore;
  std::function<std::string()> mSave;
  /** Leadership was gained or lost, or the members changed. */
  std::function<void()> mOnChange;
};

/** What a proposed command came to. */
enum class CommitOutcome : std::uint8_t
{
  Committed,
  /** Certainly not proposed. */
  NotLeader,
  /** It may be committed, now or later. */
  Unknown,
};

/**
 * One replica and its disk. The disk is written by a thread of its own.
 *
 * Thread safety: everything on the executor, which has one thread.
 */
class ReplicaHost
{
public:
  ReplicaHost(boost::asio::any_io_executor aExecutor,
              ReplicaHandlers aHandlers);
  ~ReplicaHost();
  ReplicaHost(const ReplicaHost&) = delete;
  ReplicaHost& operator=(const ReplicaHost&) = delete;

  /** Reads the disk. The identity found there, zero on an empty one. */
  Result<ReplicaId> Open(const std::string& aFolder);

  /** Gives an empty disk its identity. Precondition: Open found none. */
  Result<Unit> SetIdentity(ReplicaId aReplica);

  /**
   * Starts to take part. `aInitial` counts only if the disk holds no log.
   * Precondition: the disk has an identity.
   */
  void Start(const Membership& aInitial, const ReplicatedLogOptions& aOptions,
             std::uint64_t aSeed);

  bool IsStarted() const { return mLog.has_value(); }
  void OnMessage(const ConsensusEnvelope& aEnvelope);
  void Tick();

  /** Proposes a command here and waits until it is applied. */
  boost::asio::awaitable<CommitOutcome> Commit(std::string aPayload,
                                               Duration aTimeout);

  /** Proposes a change of members; a refusal is logged. */
  void ProposeMembership(const Membership& aMembership);

  /** Hands leadership to another voter. */
  void HandOver();

  /** Precondition of all below: IsStarted. */
  const ReplicatedLog& Log() const { return *mLog; }
  bool IsLeading() const;
  const TimingHistogram& DiskTimes() const { return mWorker->Times(); }

private:
  struct Waiter
  {
    std::uint64_t mTerm = 0;
    boost::asio::steady_timer* mTimer = nullptr;
    CommitOutcome* mOutcome = nullptr;
  };

  void Handle(LogEffects aEffects);
  void Perform(LogEffects& aEffects, std::vector<LogEffects>& aMore);
  void Apply(const LogEntry& aEntry);
  void WakeAll();

  boost::asio::any_io_executor mExecutor;
  ReplicaHandlers mHandlers;
  std::unique_ptr<LogStorage> mStorage;
  RecoveredState mRecovered;
  std::optional<ReplicatedLog> mLog;
  std::uint64_t mAppliedIndex = 0;
  /** The disk refused the last batch. */
  bool mDiskFailed = false;
  std::map<std::uint64_t, Waiter> mWaiters;
  /** Posts of the storage thread that outlive this are dropped. */
  std::shared_ptr<ReplicaHost*> mSelf;
  /** Last, so that its thread ends first. */
  std::unique_ptr<StorageWorker> mWorker;
};

} // namespace carobtide
