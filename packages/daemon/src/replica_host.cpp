#include "replica_host.hpp"

#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr GroupId kControlGroup{ 1 };

} // namespace

ReplicaHost::ReplicaHost(asio::any_io_executor aExecutor,
                         ReplicaHandlers aHandlers)
  : mExecutor(std::move(aExecutor))
  , mHandlers(std::move(aHandlers))
  , mSelf(std::make_shared<ReplicaHost*>(this))
{
}

ReplicaHost::~ReplicaHost()
{
  *mSelf = nullptr;
}

Result<ReplicaId> ReplicaHost::Open(const std::string& aFolder)
{
  mStorage = OpenFileLogStorage(aFolder);
  auto recovered = mStorage->Recover();
  if (!recovered) {
    return recovered.GetError();
  }
  mRecovered = std::move(*recovered);
  return mRecovered.mReplica;
}

Result<Unit> ReplicaHost::SetIdentity(ReplicaId aReplica)
{
  auto stored = mStorage->SetReplica(aReplica);
  if (stored) {
    mRecovered.mReplica = aReplica;
  }
  return stored;
}

void ReplicaHost::Start(const Membership& aInitial,
                        const ReplicatedLogOptions& aOptions,
                        std::uint64_t aSeed)
{
  mWorker = std::make_unique<StorageWorker>(
    std::move(mStorage),
    [self = mSelf, executor = mExecutor](std::uint64_t aSequence) {
      asio::post(executor, [self, aSequence] {
        if (*self != nullptr) {
          auto& host = **self;
          if (std::exchange(host.mDiskFailed, false)) {
            carobtide::Log(LogLevel::Info, { "disk.regained", {}, {}, {}, {} });
          }
          host.Handle(host.mLog->OnPersisted(SteadyNow(), aSequence));
        }
      });
    },
    [self = mSelf, executor = mExecutor](const Error& aError) {
      asio::post(executor, [self, aError] {
        LogError(aError);
        if (*self != nullptr) {
          auto& host = **self;
          host.mDiskFailed = true;
          host.Handle(host.mLog->OnPersistFailed(SteadyNow(), aError));
        }
      });
    });
  const Instant now = SteadyNow();
  mLog.emplace(kControlGroup, std::move(mRecovered), aInitial, aOptions, now,
               aSeed);
  Handle(mLog->Tick(now));
}

void ReplicaHost::OnMessage(const ConsensusEnvelope& aEnvelope)
{
  if (mLog) {
    Handle(mLog->Receive(SteadyNow(), aEnvelope));
  }
}

void ReplicaHost::Tick()
{
  const Instant now = SteadyNow();
  if (mLog && now >= mLog->NextWakeup()) {
    Handle(mLog->Tick(now));
  }
}

bool ReplicaHost::IsLeading() const
{
  return mLog && mLog->Role() == ReplicaRole::Leader &&
         mLog->HasLease(SteadyNow());
}

void ReplicaHost::Handle(LogEffects aEffects)
{
  std::vector<LogEffects> pending;
  pending.push_back(std::move(aEffects));
  while (!pending.empty()) {
    std::vector<LogEffects> more;
    for (LogEffects& effects : pending) {
      Perform(effects, more);
    }
    pending = std::move(more);
  }
}

void ReplicaHost::Perform(LogEffects& aEffects, std::vector<LogEffects>& aMore)
{
  if (!aEffects.mPersist.IsEmpty()) {
    mWorker->Enqueue(std::move(aEffects.mPersist));
  }
  std::ranges::for_each(aEffects.mMessages, mHandlers.mSend);
  if (aEffects.mRestore) {
    mAppliedIndex = aEffects.mRestore->mIndex;
    mHandlers.mRestore(aEffects.mRestore->mState);
  }
  std::ranges::for_each(aEffects.mCommitted,
                        [this](const LogEntry& aEntry) { Apply(aEntry); });
  if (aEffects.mSnapshotWanted) {
    aMore.push_back(
      mLog->OnSnapshotTaken(SteadyNow(), mAppliedIndex, mHandlers.mSave()));
  }
  if (aEffects.mLostLeadership) {
    WakeAll();
  }
  if (aEffects.mBecameLeader || aEffects.mLostLeadership ||
      aEffects.mMembershipChanged) {
    mHandlers.mOnChange();
  }
}

void ReplicaHost::Apply(const LogEntry& aEntry)
{
  mAppliedIndex = aEntry.mIndex;
  if (aEntry.mKind == EntryKind::Command) {
    mHandlers.mApply(aEntry);
  }
  const auto it = mWaiters.find(aEntry.mIndex);
  if (it == mWaiters.end()) {
    return;
  }
  // Another leader's entry took the index: this command is lost for good, but
  // "unknown" is all that a caller needs to know.
  *it->second.mOutcome = it->second.mTerm == aEntry.mTerm
                           ? CommitOutcome::Committed
                           : CommitOutcome::Unknown;
  it->second.mTimer->cancel();
}

void ReplicaHost::WakeAll()
{
  for (auto& [index, waiter] : mWaiters) {
    waiter.mTimer->cancel();
  }
}

awaitable<CommitOutcome> ReplicaHost::Commit(std::string aPayload,
                                             Duration aTimeout)
{
  if (!IsLeading()) {
    co_return CommitOutcome::NotLeader;
  }
  LogEffects effects;
  const auto index = mLog->Propose(SteadyNow(), std::move(aPayload), effects);
  if (!index) {
    co_return CommitOutcome::NotLeader;
  }
  asio::steady_timer timer(mExecutor, aTimeout);
  CommitOutcome outcome = CommitOutcome::Unknown;
  mWaiters[*index] = Waiter{ mLog->Term(), &timer, &outcome };
  // Nothing commits before the storage thread has reported back, so the timer
  // is waited for before anything can cancel it.
  Handle(std::move(effects));
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  // A later command may have taken over the index.
  const auto it = mWaiters.find(*index);
  if (it != mWaiters.end() && it->second.mTimer == &timer) {
    mWaiters.erase(it);
  }
  co_return outcome;
}

void ReplicaHost::ProposeMembership(const Membership& aMembership)
{
  LogEffects effects;
  const auto proposed =
    mLog->ProposeMembership(SteadyNow(), aMembership, effects);
  if (!proposed) {
    LogError(proposed.GetError());
  }
  Handle(std::move(effects));
}

void ReplicaHost::HandOver()
{
  if (mLog && mLog->Role() == ReplicaRole::Leader) {
    Handle(mLog->TransferLeadership(SteadyNow()));
  }
}

} // namespace carobtide
