#include "order_runner.hpp"

#include "answer_end.hpp"
#include "answers.hpp"
#include "clock.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(2);
constexpr Bytes kMaxAnswerBytes = 8 * kMiB;

ErrorCode CodeOf(std::uint16_t aStatus)
{
  switch (static_cast<HttpStatus>(aStatus)) {
    case HttpStatus::Conflict:
      return ErrorCode::Conflict;
    case HttpStatus::BadGateway:
      return ErrorCode::ConnectionLost;
    case HttpStatus::GatewayTimeout:
      return ErrorCode::Timeout;
    default:
      return ErrorCode::NoCapacity;
  }
}

HttpResponse RenderStored(const StoredAnswer& aAnswer)
{
  HttpResponse response =
    MakeResponse(aAnswer.mStatus, aAnswer.mContentType, aAnswer.mBody);
  if (aAnswer.mBodyOmitted) {
    response.mHead.mHeaders.Add("Carobtide-Body", "omitted");
  }
  return response;
}

} // namespace

OrderRunner::OrderRunner(DaemonContext& aContext,
                         std::shared_ptr<const ForwardPlan> aPlan,
                         ClaimFacts aFacts,
                         const asio::any_io_executor& aExecutor)
  : mContext(aContext)
  , mPlan(std::move(aPlan))
  , mFlow(std::move(aFacts))
  , mMailbox(std::make_shared<RequestMailbox>(aExecutor))
  , mAnswered(aExecutor, asio::steady_timer::time_point::max())
{
}

awaitable<HttpResponse> OrderRunner::Answer()
{
  const auto self = shared_from_this();
  asio::co_spawn(
    mAnswered.get_executor(), [self] { return self->RunFlow(); },
    asio::detached);
  while (!mResponse) {
    boost::system::error_code ec;
    co_await mAnswered.async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
  }
  co_return *mResponse;
}

awaitable<void> OrderRunner::RunFlow()
{
  const auto self = shared_from_this();
  std::deque<ClaimEffect> effects;
  const auto append = [&](ClaimEffects aMore) {
    std::ranges::move(aMore, std::back_inserter(effects));
  };
  append(mFlow.Start());
  while (!effects.empty()) {
    ClaimEffect effect = std::move(effects.front());
    effects.pop_front();
    auto performing = Perform(std::move(effect));
    const auto event = co_await std::move(performing);
    if (event) {
      append(mFlow.Handle(*event));
    }
  }
  if (mIsOpen) {
    mContext.mRouter.Close(mPlan->mFacts.mId);
  }
}

awaitable<std::optional<ClaimEvent>> OrderRunner::Perform(ClaimEffect aEffect)
{
  std::optional<ClaimEvent> event;
  if (auto* claim = std::get_if<ProposeClaim>(&aEffect)) {
    auto claiming = Claim(std::move(*claim));
    event = co_await std::move(claiming);
  } else if (auto* settle = std::get_if<ProposeSettle>(&aEffect)) {
    auto settling = Settle(std::move(*settle));
    event = co_await std::move(settling);
  } else if (std::holds_alternative<DispatchRequest>(aEffect)) {
    auto dispatching = Dispatch();
    event = co_await std::move(dispatching);
  } else if (auto* pause = std::get_if<StartRetryPause>(&aEffect)) {
    auto pausing = Pause(pause->mPause);
    event = co_await std::move(pausing);
  } else if (auto* answer = std::get_if<AnswerCaller>(&aEffect)) {
    TakeAnswer(*answer);
  } else {
    Renew();
  }
  co_return event;
}

awaitable<ClaimEvent> OrderRunner::Claim(ProposeClaim aEffect)
{
  auto executing =
    mContext.mControl.Execute(LedgerCommand(std::move(aEffect.mCommand)));
  const auto outcome = co_await std::move(executing);
  ClaimEvent event = ClaimUncertain{};
  if (outcome) {
    ClaimDecided decided;
    decided.mOutcome = std::get<LedgerOutcome>(*outcome);
    RecordEvent(EventStep::KeyClaimed,
                std::string(kLedgerVerdicts.Name(decided.mOutcome.mVerdict)));
    mContext.mMetrics.Add(Counter::KeysClaimed);
    event = std::move(decided);
  } else if (outcome.Code() == ErrorCode::NoQuorum) {
    event = ClaimRefused{};
  }
  co_return event;
}

awaitable<ClaimEvent> OrderRunner::Settle(ProposeSettle aEffect)
{
  const bool isRelease = std::holds_alternative<ReleaseKey>(aEffect.mCommand);
  auto executing = mContext.mControl.Execute(std::move(aEffect.mCommand));
  const auto outcome = co_await std::move(executing);
  ClaimEvent event = SettleUncertain{};
  if (outcome) {
    SettleDecided decided;
    decided.mVerdict = std::get<LedgerOutcome>(*outcome).mVerdict;
    RecordEvent(isRelease ? EventStep::KeyReleased : EventStep::KeyCompleted,
                std::string(kLedgerVerdicts.Name(decided.mVerdict)));
    event = decided;
  }
  co_return event;
}

awaitable<ClaimEvent> OrderRunner::Dispatch()
{
  if (!mIsOpen) {
    mIsOpen = true;
    mContext.mRouter.Open(mPlan->mFacts, mMailbox);
  }
  while (true) {
    auto waiting = mMailbox->Next();
    RequestMessage message = co_await std::move(waiting);
    if (auto* dispatch = std::get_if<DispatchAttempt>(&message)) {
      auto running = RunAttempt(std::move(*dispatch));
      auto event = co_await std::move(running);
      co_return event;
    }
    if (std::holds_alternative<RefuseRequest>(message) ||
        std::holds_alternative<FailRequest>(message)) {
      ClaimEvent event = NoTargetLeft{};
      co_return event;
    }
  }
}

awaitable<ClaimEvent> OrderRunner::RunAttempt(DispatchAttempt aDispatch)
{
  const AttemptId id = aDispatch.mAttempt;
  RecordEvent(EventStep::AttemptDispatched, aDispatch.mTarget.Text());
  auto connecting = ConnectHttp(
    aDispatch.mAddress, std::min(kConnectTimeout, TimeLeft(mPlan->mFacts)));
  auto connected = co_await std::move(connecting);
  if (!connected) {
    co_return EndAttempt(id, AttemptEnd::ConnectRefused, ConnectFailed{});
  }
  HttpConnection& connection = **connected;
  const Duration left = TimeLeft(mPlan->mFacts);
  auto sending = connection.Send(mPlan->mRequest, left);
  const auto head = co_await std::move(sending);
  if (!head) {
    const bool isLate = head.Code() == ErrorCode::Timeout;
    co_return EndAttempt(
      id, isLate ? AttemptEnd::TimedOut : AttemptEnd::ConnectionLost,
      isLate ? ClaimEvent(AnswerTimedOut{}) : ClaimEvent(ConnectionBroke{}));
  }
  auto reading = connection.ReadAll(kMaxAnswerBytes, left);
  auto body = co_await std::move(reading);
  if (!body) {
    co_return EndAttempt(id, AttemptEnd::ConnectionLost, ConnectionBroke{});
  }
  const Endpoint address = aDispatch.mAddress;
  auto confirming = ConfirmEnd(connection, address, TimeLeft(mPlan->mFacts));
  const auto confirmed = co_await std::move(confirming);
  if (!confirmed) {
    co_return EndAttempt(id, AttemptEnd::ConnectionLost, ConnectionBroke{});
  }
  AnswerArrived arrived;
  arrived.mAnswer.mStatus = head->mStatus;
  arrived.mAnswer.mContentType =
    std::string(head->mHeaders.Get("Content-Type"));
  arrived.mAnswer.mBody = std::move(*body);
  ClaimEvent event = std::move(arrived);
  co_return EndAttempt(id, AttemptEnd::Whole, std::move(event));
}

ClaimEvent OrderRunner::EndAttempt(AttemptId aAttempt, AttemptEnd aEnd,
                                   ClaimEvent aEvent)
{
  if (aEnd != AttemptEnd::Whole) {
    RecordEvent(EventStep::AttemptFailed, std::string(kAttemptEnds.Name(aEnd)));
  }
  mContext.mRouter.OnFinished(aAttempt, aEnd, aEnd == AttemptEnd::Whole);
  return aEvent;
}

awaitable<ClaimEvent> OrderRunner::Pause(Duration aPause)
{
  asio::steady_timer timer(mAnswered.get_executor(), aPause);
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  ClaimEvent event = RetryPauseOver{};
  co_return event;
}

void OrderRunner::TakeAnswer(const AnswerCaller& aEffect)
{
  RecordEvent(EventStep::RequestFinished,
              std::string(kRunOutcomes.Name(aEffect.mOutcome)));
  if (aEffect.mAnswer) {
    mResponse = RenderStored(*aEffect.mAnswer);
    AddOutcome(mResponse->mHead, mPlan->mFacts.mId, aEffect.mOutcome);
  } else {
    const Error error =
      MakeError(CodeOf(aEffect.mStatus), "order.run", "", aEffect.mDetail);
    mResponse = MakeCallerError(error, mPlan->mFacts.mId, aEffect.mOutcome,
                                aEffect.mRetryAfter);
    mResponse->mHead.mStatus = aEffect.mStatus;
  }
  mAnswered.cancel();
}

void OrderRunner::Renew()
{
  auto& incarnation = mContext.mClaimIncarnation;
  std::uint64_t expected = mFlow.Facts().mClaimant.mIncarnation;
  incarnation.compare_exchange_strong(expected,
                                      static_cast<std::uint64_t>(WallMicros()));
}

void OrderRunner::RecordEvent(EventStep aStep, std::string aDetail)
{
  EventFacts facts;
  facts.mStep = aStep;
  facts.mRequest = mPlan->mFacts.mId;
  facts.mDetail = std::move(aDetail);
  mContext.mEvents.Record(std::move(facts));
}

} // namespace carobtide
