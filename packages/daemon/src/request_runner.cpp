#include "request_runner.hpp"

#include "answer_end.hpp"
#include "answers.hpp"
#include "clock.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

RequestRunner::RequestRunner(DaemonContext& aContext, HttpExchange& aExchange,
                             std::shared_ptr<const ForwardPlan> aPlan)
  : mContext(aContext)
  , mExchange(aExchange)
  , mPlan(std::move(aPlan))
  , mArrivedAt(SteadyNow())
{
}

RequestRunner::~RequestRunner()
{
  std::ranges::for_each(mAttempts,
                        [](auto& aEntry) { aEntry.second->Cancel(); });
  mContext.mRouter.Close(mPlan->mFacts.mId);
}

awaitable<void> RequestRunner::Run()
{
  const auto executor = co_await asio::this_coro::executor;
  mMailbox = std::make_shared<RequestMailbox>(executor);
  WatchCaller();
  mContext.mMetrics.Add(Counter::RequestsAccepted);
  RecordEvent(EventStep::RequestAccepted, mExchange.PeerName(), "");
  mContext.mRouter.Open(mPlan->mFacts, mMailbox);
  while (!mDone) {
    auto waiting = mMailbox->Next();
    RequestMessage message = co_await std::move(waiting);
    auto handling = std::visit(
      [this](auto& aMessage) { return Handle(std::move(aMessage)); }, message);
    co_await std::move(handling);
  }
}

void RequestRunner::WatchCaller()
{
  mExchange.OnClientGone([this] {
    if (mRelaying) {
      mRelaying->Cancel();
    }
    mMailbox->Push(CallerClosed{});
  });
}

awaitable<void> RequestRunner::Handle(DispatchAttempt aDispatch)
{
  const auto executor = co_await asio::this_coro::executor;
  mContext.mMetrics.Add(Counter::AttemptsDispatched);
  RecordEvent(EventStep::AttemptDispatched, aDispatch.mTarget.Text(),
              aDispatch.mHedge ? "hedge" : "");
  auto attempt = std::make_shared<Attempt>();
  attempt->mDispatch = std::move(aDispatch);
  attempt->mResumeOffset = mStream.TokenCount();
  mAttempts.emplace(attempt->mDispatch.mAttempt, attempt);
  asio::co_spawn(executor, RunAttempt(mContext, mPlan, attempt, mMailbox),
                 asio::detached);
}

awaitable<void> RequestRunner::Handle(RefuseRequest aRefusal)
{
  mDone = true;
  mContext.mMetrics.Add(Counter::RequestsRefused);
  RecordEvent(EventStep::RequestRefused, "",
              std::string(ErrorMessage(aRefusal.mCode)));
  const Error error =
    MakeError(aRefusal.mCode, "route.admit", "", aRefusal.mDetail);
  auto ending = EndWithError(error, aRefusal.mRetryAfter);
  co_await std::move(ending);
}

awaitable<void> RequestRunner::Handle(FailRequest aFailure)
{
  mDone = true;
  mContext.mMetrics.Add(Counter::RequestsFailed);
  RecordEvent(EventStep::RequestFinished, "",
              "failed: " + std::string(ErrorMessage(aFailure.mCode)));
  const Error error =
    MakeError(aFailure.mCode, "route.attempt", "", aFailure.mDetail);
  auto ending = EndWithError(error, Duration(0));
  co_await std::move(ending);
}

awaitable<void> RequestRunner::EndWithError(const Error& aError,
                                            Duration aRetryAfter)
{
  if (mStreamBegun) {
    // A cut stream must not look like a short answer.
    mExchange.Abort();
    co_return;
  }
  const RunOutcome outcome =
    WasAnySent() ? RunOutcome::Unknown : RunOutcome::NotRun;
  HttpResponse response =
    MakeCallerError(aError, mPlan->mFacts.mId, outcome, aRetryAfter);
  auto responding = mExchange.Respond(std::move(response));
  co_await std::move(responding);
}

awaitable<void> RequestRunner::Handle(CancelAttempt aCancel)
{
  const auto it = mAttempts.find(aCancel.mAttempt);
  if (it != mAttempts.end()) {
    it->second->Cancel();
  }
  co_return;
}

awaitable<void> RequestRunner::Handle(AttemptFailed aFailure)
{
  mContext.mMetrics.Add(Counter::AttemptsFailed);
  RecordEvent(EventStep::AttemptFailed, aFailure.mError.mPeer,
              aFailure.mError.ToString());
  mContext.mRouter.OnFinished(aFailure.mAttempt, aFailure.mEnd, false);
  co_return;
}

awaitable<void> RequestRunner::Handle(CallerClosed)
{
  mDone = true;
  RecordEvent(EventStep::RequestFinished, "", "caller gone");
  mContext.mRouter.OnCallerGone(mPlan->mFacts.mId);
  mExchange.Abort();
  co_return;
}

awaitable<void> RequestRunner::Handle(AttemptAnswered aAnswer)
{
  const auto it = mAttempts.find(aAnswer.mAttempt);
  if (it == mAttempts.end() || it->second->mCancelled) {
    co_return;
  }
  if (mStreamBegun && !CanGoOn(aAnswer.mHead)) {
    AttemptFailed failed;
    failed.mAttempt = aAnswer.mAttempt;
    failed.mEnd = AttemptEnd::Rejected;
    failed.mError = MakeError(ErrorCode::Malformed, "attempt.resume-stream",
                              it->second->mDispatch.mTarget.Text(),
                              std::to_string(aAnswer.mHead.mStatus));
    auto failing = Handle(std::move(failed));
    co_await std::move(failing);
    co_return;
  }
  mDone = true;
  mRelaying = it->second;
  CancelOthers(aAnswer.mAttempt);
  mContext.mRouter.OnFirstByte(aAnswer.mAttempt);
  mContext.mMetrics.Record(Timing::FirstByte, SteadyNow() - mArrivedAt);
  auto relay = IsEventStream(aAnswer.mHead)
                 ? RelayStream(mRelaying, std::move(aAnswer.mHead))
                 : RelayWhole(mRelaying, std::move(aAnswer.mHead));
  co_await std::move(relay);
}

bool RequestRunner::CanGoOn(const HttpResponseHead& aHead)
{
  constexpr std::uint16_t kOk = 200;
  return aHead.mStatus == kOk && IsEventStream(aHead);
}

HttpResponseHead RequestRunner::CallerHead(const HttpResponseHead& aHead) const
{
  HttpResponseHead head;
  head.mStatus = aHead.mStatus;
  const auto type = aHead.mHeaders.Get("Content-Type");
  if (!type.empty()) {
    head.mHeaders.Add("Content-Type", std::string(type));
  }
  AddOutcome(head, mPlan->mFacts.mId, RunOutcome::Ran);
  return head;
}

awaitable<void> RequestRunner::RelayWhole(AttemptPtr aAttempt,
                                          HttpResponseHead aHead)
{
  const std::uint32_t tokens = CountGeneratedTokens(aAttempt->mBody);
  if (mPlan->mIsEngine && tokens > 0) {
    mContext.mRouter.OnTokens(aAttempt->mDispatch.mAttempt, tokens);
  }
  HttpResponse response;
  response.mHead = CallerHead(aHead);
  response.mBody = std::move(aAttempt->mBody);
  auto responding = mExchange.Respond(std::move(response));
  const auto responded = co_await std::move(responding);
  FinishRelay(*aAttempt,
              responded ? AttemptEnd::Whole : AttemptEnd::CallerGone);
}

awaitable<void> RequestRunner::RelayStream(AttemptPtr aAttempt,
                                           HttpResponseHead aHead)
{
  if (!mStreamBegun) {
    mStreamBegun = true;
    const HttpResponseHead head = CallerHead(aHead);
    auto beginning = mExchange.BeginStream(head);
    const auto begun = co_await std::move(beginning);
    if (!begun) {
      FinishRelay(*aAttempt, AttemptEnd::CallerGone);
      co_return;
    }
  }
  auto copying = CopyStream(*aAttempt);
  const AttemptEnd end = co_await std::move(copying);
  if (end == AttemptEnd::Whole) {
    auto ending = EndStream(std::move(aAttempt));
    co_await std::move(ending);
  } else if (MayResume(end)) {
    mDone = false;
    mRelaying.reset();
    mStream.DropPartial();
    RecordEvent(EventStep::AttemptFailed, aAttempt->mDispatch.mTarget.Text(),
                "resuming after " + std::to_string(mStream.TokenCount()));
    mContext.mRouter.OnFinished(aAttempt->mDispatch.mAttempt, end, false);
  } else {
    mExchange.Abort();
    FinishRelay(*aAttempt, end);
  }
}

bool RequestRunner::MayResume(AttemptEnd aEnd) const
{
  return aEnd == AttemptEnd::ConnectionLost && mPlan->mIsEngine;
}

awaitable<void> RequestRunner::EndStream(AttemptPtr aAttempt)
{
  if (mPlan->mIsEngine && !mStream.HasEnded()) {
    // Generation had finished; only the end mark was lost.
    auto delivering = Deliver("data: [DONE]\n\n");
    co_await std::move(delivering);
  }
  auto finishing = mExchange.FinishStream();
  const auto finished = co_await std::move(finishing);
  FinishRelay(*aAttempt, finished ? AttemptEnd::Whole : AttemptEnd::CallerGone);
}

awaitable<bool> RequestRunner::Deliver(std::string_view aBytes)
{
  auto writing = mExchange.WriteChunk(aBytes);
  const auto written = co_await std::move(writing);
  co_return written.HasValue();
}

awaitable<AttemptEnd> RequestRunner::CopyStream(Attempt& aAttempt)
{
  const AttemptId id = aAttempt.mDispatch.mAttempt;
  while (true) {
    const std::string_view events = mStream.Take(aAttempt.mBody);
    const std::uint32_t tokens = mStream.TakeTokens();
    if (tokens > 0) {
      mContext.mRouter.OnTokens(id, tokens);
    }
    auto delivering = Deliver(events);
    const bool isDelivered = co_await std::move(delivering);
    if (!isDelivered) {
      co_return AttemptEnd::CallerGone;
    }
    if (!aAttempt.mHasMore) {
      break;
    }
    auto reading =
      aAttempt.mConnection->ReadSome(aAttempt.mBody, TimeLeft(mPlan->mFacts));
    const auto more = co_await std::move(reading);
    if (!more && mStream.HasFinished()) {
      break;
    }
    if (!more) {
      co_return more.Code() == ErrorCode::Timeout ? AttemptEnd::TimedOut
                                                  : AttemptEnd::ConnectionLost;
    }
    aAttempt.mHasMore = *more;
  }
  if (!mPlan->mIsEngine) {
    // Services mark no end.
    if (mStream.HasPartial()) {
      co_return AttemptEnd::ConnectionLost;
    }
    auto confirming =
      ConfirmEnd(*aAttempt.mConnection, aAttempt.mDispatch.mAddress,
                 TimeLeft(mPlan->mFacts));
    const auto confirmed = co_await std::move(confirming);
    co_return confirmed ? AttemptEnd::Whole : AttemptEnd::ConnectionLost;
  }
  // An engine marks the end of its stream; without the mark it was cut.
  const bool isWhole = mStream.HasEnded() || mStream.HasFinished();
  co_return isWhole ? AttemptEnd::Whole : AttemptEnd::ConnectionLost;
}

void RequestRunner::FinishRelay(Attempt& aAttempt, AttemptEnd aEnd)
{
  const bool isWhole = aEnd == AttemptEnd::Whole;
  mContext.mRouter.OnFinished(aAttempt.mDispatch.mAttempt, aEnd, true);
  mContext.mMetrics.Add(isWhole ? Counter::RequestsWhole
                                : Counter::RequestsFailed);
  mContext.mMetrics.Record(Timing::Whole, SteadyNow() - mArrivedAt);
  RecordEvent(EventStep::RequestFinished, aAttempt.mDispatch.mTarget.Text(),
              std::string(kAttemptEnds.Name(aEnd)));
  if (isWhole) {
    mContext.mPool.Release(aAttempt.mDispatch.mAddress,
                           std::move(aAttempt.mConnection));
  }
}

void RequestRunner::CancelOthers(AttemptId aWinner)
{
  for (auto& [id, attempt] : mAttempts) {
    if (id != aWinner) {
      attempt->Cancel();
    }
  }
}

bool RequestRunner::WasAnySent() const
{
  return std::ranges::any_of(
    mAttempts, [](const auto& aEntry) { return aEntry.second->mSent; });
}

void RequestRunner::RecordEvent(EventStep aStep, std::string aPeer,
                                std::string aDetail)
{
  EventFacts facts;
  facts.mStep = aStep;
  facts.mPeer = std::move(aPeer);
  facts.mRequest = mPlan->mFacts.mId;
  facts.mDetail = std::move(aDetail);
  mContext.mEvents.Record(std::move(facts));
}

} // namespace carobtide
