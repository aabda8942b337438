// Execution of commands: proposed here on the leader, forwarded elsewhere.
#include "control_plane.hpp"

#include "carobtide/base/codec.hpp"
#include "clock.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/** A command is given up after this time. */
constexpr Duration kExecuteTimeout = std::chrono::seconds(4);
/** One try waits this long for its commit. */
constexpr Duration kTryTimeout = std::chrono::milliseconds(1500);
constexpr Duration kRetryPause = std::chrono::milliseconds(40);

awaitable<void> Pause(Duration aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

Error GiveUp(bool aMayBeCommitted)
{
  return MakeError(aMayBeCommitted ? ErrorCode::OutcomeUnknown
                                   : ErrorCode::NoQuorum,
                   "control.execute");
}

} // namespace

awaitable<Result<ControlOutcome>> ControlPlane::Execute(ControlBody aBody)
{
  ControlCommand command;
  command.mBody = std::move(aBody);
  {
    const std::lock_guard lock(mMutex);
    command.mNonce = mRandom() | 1U;
  }
  const std::string encoded = Encode(command);
  const Instant startedAt = SteadyNow();
  bool mayBeCommitted = false;
  while (SteadyNow() - startedAt < kExecuteTimeout) {
    auto attempt = TryOnce(command.mNonce, encoded);
    const TryResult tried = co_await std::move(attempt);
    if (tried.mCode == ErrorCode::Ok) {
      mMetrics.Record(Timing::Commit, SteadyNow() - startedAt);
      co_return tried.mOutcome;
    }
    mayBeCommitted |= tried.mCode != ErrorCode::NotLeader;
    co_await Pause(kRetryPause);
  }
  co_return GiveUp(mayBeCommitted);
}

awaitable<ControlPlane::TryResult> ControlPlane::TryOnce(std::uint64_t aNonce,
                                                         std::string aCommand)
{
  std::optional<Endpoint> leader;
  bool isHere = false;
  {
    const std::lock_guard lock(mMutex);
    isHere = IsLeading();
    leader = LeaderAddress();
  }
  TryResult result;
  if (isHere) {
    auto attempt = TryHere(aNonce, aCommand);
    result = co_await std::move(attempt);
  } else if (leader) {
    auto attempt = TryRemote(*leader, aCommand);
    result = co_await std::move(attempt);
  }
  co_return result;
}

awaitable<ControlPlane::TryResult> ControlPlane::TryHere(std::uint64_t aNonce,
                                                         std::string aCommand)
{
  const auto executor = co_await asio::this_coro::executor;
  const auto waiter = std::make_shared<CommandWaiter>(executor);
  TryResult result;
  bool isProposed = false;
  {
    const std::lock_guard lock(mMutex);
    mWaiters.Add(aNonce, waiter);
    LogEffects effects;
    const auto proposed = mLog->Propose(SteadyNow(), aCommand, effects);
    isProposed = proposed.HasValue();
    HandleEffects(std::move(effects));
  }
  if (isProposed) {
    auto wait = waiter->Wait(kTryTimeout);
    const auto outcome = co_await std::move(wait);
    result.mCode = outcome ? ErrorCode::Ok : ErrorCode::OutcomeUnknown;
    if (outcome) {
      result.mOutcome = *outcome;
    }
  }
  const std::lock_guard lock(mMutex);
  mWaiters.Remove(aNonce);
  co_return result;
}

awaitable<ControlPlane::TryResult> ControlPlane::TryRemote(Endpoint aLeader,
                                                           std::string aCommand)
{
  constexpr auto kType = static_cast<std::uint16_t>(PeerMessageType::Execute);
  constexpr Duration kReplyTimeout = 2 * kTryTimeout;
  auto call = mNetwork->Call(aLeader, kType, aCommand, kReplyTimeout);
  const auto reply = co_await std::move(call);
  co_return TakeReply(reply);
}

ControlPlane::TryResult ControlPlane::TakeReply(
  const Result<std::string>& aReply)
{
  TryResult result;
  if (!aReply) {
    const bool wasSent = aReply.Code() != ErrorCode::ConnectRefused &&
                         aReply.Code() != ErrorCode::Unreachable;
    result.mCode = wasSent ? ErrorCode::OutcomeUnknown : ErrorCode::NotLeader;
    return result;
  }
  const auto reply = Decode<ControlReply>(*aReply);
  if (!reply) {
    result.mCode = ErrorCode::OutcomeUnknown;
    return result;
  }
  if (reply->mCode == ErrorCode::NotLeader) {
    OnLeaderHint(reply->mLeader);
  }
  result.mCode = reply->mCode;
  result.mOutcome = reply->mOutcome;
  return result;
}

awaitable<ControlReply> ControlPlane::ExecuteForwarded(std::string aCommand)
{
  ControlReply reply;
  reply.mCode = ErrorCode::NotLeader;
  const auto command = Decode<ControlCommand>(aCommand);
  bool isHere = false;
  {
    const std::lock_guard lock(mMutex);
    isHere = IsLeading();
    reply.mLeader = LeaderName();
  }
  if (command && isHere) {
    auto attempt = TryHere(command->mNonce, aCommand);
    const TryResult tried = co_await std::move(attempt);
    reply.mCode = tried.mCode;
    reply.mOutcome = tried.mOutcome;
  }
  co_return reply;
}

} // namespace carobtide
