#include "carobtide/transport/memory_hold.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <mutex>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

/** A claim that waits. Its timer is only touched on its executor. */
struct MemoryHold::Waiter
{
  explicit Waiter(const asio::any_io_executor& aExecutor)
    : mTimer(aExecutor)
  {
  }

  asio::steady_timer mTimer;
};

class MemoryRoom::Impl
{
public:
  using Ticket = HoldAccount::Ticket;

  Impl(HoldAccountOptions aOptions, Observer aObserver)
    : mAccount(aOptions)
    , mObserver(std::move(aObserver))
  {
  }

  /** Runs an operation on the account, then wakes whom it gave room to. */
  template<class Operation>
  auto Change(Operation aOperation)
  {
    const std::lock_guard lock(mMutex);
    struct Waker
    {
      ~Waker() { mSelf.WakeGranted(); }
      Impl& mSelf;
    } const waker{ *this };
    return aOperation(mAccount);
  }

  template<class Operation>
  auto Look(Operation aOperation) const
  {
    const std::lock_guard lock(mMutex);
    return aOperation(mAccount);
  }

  /** Precondition: within Change. */
  void AddWaiter(Ticket aTicket, std::shared_ptr<MemoryHold::Waiter> aWaiter)
  {
    mWaiters.emplace(aTicket, std::move(aWaiter));
  }

  /** Ends a hold, also one whose claim still waits. */
  void Close(Ticket aTicket)
  {
    Change([&](HoldAccount& aAccount) {
      mWaiters.erase(aTicket);
      aAccount.Close(aTicket);
    });
  }

  /** True if the claim was granted meanwhile; else it is withdrawn. */
  bool EndWait(Ticket aTicket)
  {
    return Change([&](HoldAccount& aAccount) {
      const bool isGranted = mWaiters.erase(aTicket) == 0;
      if (!isGranted) {
        aAccount.Withdraw(aTicket);
      }
      return isGranted;
    });
  }

  const Observer& GetObserver() const { return mObserver; }

private:
  void WakeGranted()
  {
    for (const Ticket ticket : mAccount.TakeGranted()) {
      const auto it = mWaiters.find(ticket);
      if (it != mWaiters.end()) {
        const auto waiter = std::move(it->second);
        mWaiters.erase(it);
        asio::post(waiter->mTimer.get_executor(),
                   [waiter] { waiter->mTimer.cancel(); });
      }
    }
  }

  /** Guards what follows. */
  mutable std::mutex mMutex;
  HoldAccount mAccount;
  std::map<Ticket, std::shared_ptr<MemoryHold::Waiter>> mWaiters;
  const Observer mObserver;
};

MemoryRoom::MemoryRoom(HoldAccountOptions aOptions, Observer aObserver)
  : mImpl(std::make_unique<Impl>(aOptions, std::move(aObserver)))
{
}

MemoryRoom::~MemoryRoom() = default;

HoldStats MemoryRoom::Stats(HoldKind aKind) const
{
  return mImpl->Look(
    [&](const HoldAccount& aAccount) { return aAccount.Stats(aKind); });
}

Bytes MemoryRoom::TierBytesFor(Bytes aBytes) const
{
  return mImpl->Look(
    [&](const HoldAccount& aAccount) { return aAccount.TierBytesFor(aBytes); });
}

MemoryHold::MemoryHold(std::shared_ptr<MemoryRoom> aRoom, HoldKind aKind,
                       HoldParties aParties)
  : mRoom(std::move(aRoom))
  , mKind(aKind)
  , mParties(std::move(aParties))
{
}

MemoryHold::~MemoryHold()
{
  Release();
}

MemoryHold::MemoryHold(MemoryHold&& aOther) noexcept
{
  *this = std::move(aOther);
}

MemoryHold& MemoryHold::operator=(MemoryHold&& aOther) noexcept
{
  if (this != &aOther) {
    Release();
    mRoom = std::move(aOther.mRoom);
    mKind = aOther.mKind;
    mParties = std::move(aOther.mParties);
    mTicket = std::exchange(aOther.mTicket, 0);
    mSize = std::exchange(aOther.mSize, 0);
    mWaiter = std::move(aOther.mWaiter);
    mIsCancelled = aOther.mIsCancelled;
  }
  return *this;
}

void MemoryHold::Release()
{
  if (mTicket != 0) {
    mRoom->mImpl->Close(std::exchange(mTicket, 0));
  }
  mSize = 0;
}

Error MemoryHold::MakeFailure(ErrorCode aCode, Bytes aBytes) const
{
  return MakeError(aCode, "memory.hold",
                   mKind == HoldKind::Request ? mParties.mGiver
                                              : mParties.mReceiver,
                   "no room for " + std::to_string(aBytes) + " bytes");
}

void MemoryHold::Report(HoldOutcome aOutcome, Bytes aBytes,
                        Duration aWaited) const
{
  if (const auto& observer = mRoom->mImpl->GetObserver()) {
    observer({ mKind, aOutcome, mParties, aBytes, mRoom->Stats(mKind).mHeld,
               aWaited });
  }
}

bool MemoryHold::TryGrow(Bytes aBytes)
{
  if (mRoom == nullptr || aBytes <= mSize) {
    return true;
  }
  const bool isGranted = mRoom->mImpl->Change([&](HoldAccount& aAccount) {
    if (mTicket == 0) {
      mTicket = aAccount.Open(mKind, mParties);
    }
    const auto claim = aAccount.Grow(mTicket, aBytes);
    if (claim != HoldAccount::Claim::Granted) {
      aAccount.Withdraw(mTicket);
      aAccount.CountRefusal(mKind);
    }
    return claim == HoldAccount::Claim::Granted;
  });
  if (isGranted) {
    mSize = aBytes;
  } else {
    Report(HoldOutcome::Refused, aBytes, Duration::zero());
  }
  return isGranted;
}

awaitable<Result<Unit>> MemoryHold::GrowToTier(Bytes aBytes, Duration aTimeout)
{
  const Bytes bytes = mRoom == nullptr ? aBytes : mRoom->TierBytesFor(aBytes);
  auto growing = Grow(bytes, aTimeout);
  auto grown = co_await std::move(growing);
  co_return grown;
}

awaitable<Result<Unit>> MemoryHold::Grow(Bytes aBytes, Duration aTimeout)
{
  if (mRoom == nullptr || aBytes <= mSize) {
    co_return Success();
  }
  // The account may outlive this hold's owner, not the other way round.
  const auto room = mRoom;
  auto waiter = std::make_shared<Waiter>(co_await asio::this_coro::executor);
  const auto claim = room->mImpl->Change([&](HoldAccount& aAccount) {
    if (mTicket == 0) {
      mTicket = aAccount.Open(mKind, mParties);
    }
    const auto result = aAccount.Grow(mTicket, aBytes);
    if (result == HoldAccount::Claim::Waiting) {
      room->mImpl->AddWaiter(mTicket, waiter);
    } else if (result == HoldAccount::Claim::TooLarge) {
      aAccount.CountRefusal(mKind);
    }
    return result;
  });
  if (claim == HoldAccount::Claim::Granted) {
    mSize = aBytes;
    co_return Success();
  }
  if (claim == HoldAccount::Claim::TooLarge) {
    Report(HoldOutcome::Refused, aBytes, Duration::zero());
    const Error error = MakeFailure(ErrorCode::TooLarge, aBytes);
    co_return error;
  }
  Report(HoldOutcome::Delayed, aBytes, Duration::zero());
  const auto startedAt = std::chrono::steady_clock::now();
  mWaiter = waiter;
  waiter->mTimer.expires_after(aTimeout);
  if (!mIsCancelled) {
    co_await waiter->mTimer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  mWaiter.reset();
  const bool isGranted = room->mImpl->EndWait(mTicket);
  const auto waited = std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now() - startedAt);
  Report(isGranted ? HoldOutcome::Granted : HoldOutcome::Refused, aBytes,
         waited);
  if (isGranted) {
    mSize = aBytes;
    co_return Success();
  }
  const Error error = MakeFailure(
    mIsCancelled ? ErrorCode::Cancelled : ErrorCode::Timeout, aBytes);
  co_return error;
}

void MemoryHold::CancelWait()
{
  mIsCancelled = true;
  if (mWaiter) {
    mWaiter->mTimer.cancel();
  }
}

} // namespace carobtide
