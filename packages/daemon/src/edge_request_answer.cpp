// How an edge takes a target's answer and passes it on.
#include "edge_request.hpp"

#include "answer_end.hpp"
#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"
#include "target_log.hpp"

#include <algorithm>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr std::uint16_t kTooManyRequests = 429;
constexpr std::uint16_t kRequestTimeout = 408;
constexpr std::uint16_t kMisdirected = 421;
constexpr std::uint16_t kServerErrors = 500;
constexpr std::uint16_t kUnavailable = 503;

/** Answers to other requests that are read past on one connection. */
constexpr int kMostStrayAnswers = 2;
/** Largest answer that is not a stream. */
constexpr Bytes kMaxAnswerBytes = 16 * kMiB;
/** Events that need no room of the memory account. */
constexpr std::size_t kFreeEventBytes = 16UL * 1024;
constexpr Bytes kSmallEventBytes = 64 * kKiB;
/** The longest part of an event beside as much of whole ones. */
constexpr Bytes kMaxHeldEventBytes = 2 * EventFrames::kMaxEventBytes;

bool IsPromise(std::uint16_t aStatus)
{
  return aStatus == kTooManyRequests || aStatus == kUnavailable ||
         aStatus == kRequestTimeout || aStatus == kMisdirected;
}

} // namespace

bool EdgeRequest::IsSuccess(std::uint16_t aStatus)
{
  constexpr std::uint16_t kFirst = 200;
  constexpr std::uint16_t kLast = 299;
  return aStatus >= kFirst && aStatus <= kLast;
}

awaitable<Result<Unit>> EdgeRequest::Drain(HttpConnection& aConnection)
{
  const Instant end = SteadyNow() + Left();
  std::string part;
  Bytes read = 0;
  for (bool more = true; more;) {
    auto reading =
      aConnection.ReadSome(part, std::max(end - SteadyNow(), Duration(1)));
    const auto result = co_await std::move(reading);
    if (!result) {
      co_return result.GetError();
    }
    more = *result;
    read += static_cast<Bytes>(part.size());
    if (read > kMaxAnswerBytes) {
      aConnection.Cancel();
      co_return MakeError(ErrorCode::TooLarge, "edge.drain-answer",
                          mLastTarget);
    }
  }
  co_return Success();
}

awaitable<Result<HttpResponseHead>> EdgeRequest::ReadOwnHead(
  HttpConnection& aConnection, HttpResponseHead aFirst)
{
  HttpResponseHead head = std::move(aFirst);
  for (int strays = 0; strays <= kMostStrayAnswers; ++strays) {
    if (mContext.mDialect.ReadTargetHead(head, mCaller).mIsForRequest) {
      co_return head;
    }
    auto draining = Drain(aConnection);
    const auto drained = co_await std::move(draining);
    if (!drained) {
      co_return drained.GetError();
    }
    auto reading = aConnection.ReadHead(Left());
    auto next = co_await std::move(reading);
    if (!next) {
      co_return next.GetError();
    }
    head = std::move(*next);
  }
  co_return MakeError(ErrorCode::Malformed, "edge.read-answer", mLastTarget,
                      "answers to other requests only");
}

EdgeRequest::AwaitAttempt EdgeRequest::TakeAnswer(SendTo aSend,
                                                  HttpConnection& aConnection,
                                                  HttpResponseHead aHead)
{
  const TargetHead said = mContext.mDialect.ReadTargetHead(aHead, mCaller);
  const bool isSuccess = IsSuccess(aHead.mStatus);
  NoteTarget(aSend, said);
  if (said.mNotRun) {
    auto draining = Drain(aConnection);
    const auto drained = co_await std::move(draining);
    if (!drained) {
      LogError(drained.GetError());
    }
    co_return Attempt{ aHead.mStatus == kUnavailable ? SendEnd::Full
                                                     : SendEnd::NotRun,
                       false };
  }
  if (isSuccess && !said.mIsSigned) {
    aConnection.Cancel();
    co_return Attempt{ SendEnd::Broken, false };
  }
  if (IsPromise(aHead.mStatus)) {
    // The target does not declare that it did not run it, so that its status,
    // passed on, would be a promise that nobody gave.
    aConnection.Cancel();
    co_return Attempt{ SendEnd::TargetFailed, false };
  }
  if (isSuccess && IsStream(mRoute.mKind)) {
    auto relaying = RelayStream(aSend, aConnection, std::move(aHead));
    const Attempt attempt = co_await std::move(relaying);
    co_return attempt;
  }
  auto relaying = RelayWhole(aSend, aConnection, std::move(aHead));
  const Attempt attempt = co_await std::move(relaying);
  co_return attempt;
}

EdgeRequest::AwaitAttempt EdgeRequest::RelayWhole(SendTo aSend,
                                                  HttpConnection& aConnection,
                                                  HttpResponseHead aHead)
{
  OnFirstByte(aSend);
  auto reading = aConnection.ReadAll(kMaxAnswerBytes, Left());
  auto body = co_await std::move(reading);
  if (!body) {
    LogError(body.GetError());
    co_return Attempt{ EndOf(body.GetError()), false };
  }
  auto confirming = ConfirmEnd(aConnection, aSend.mAddress, Left());
  const auto confirmed = co_await std::move(confirming);
  if (!confirmed) {
    LogError(confirmed.GetError());
    co_return Attempt{ EndOf(confirmed.GetError()), false };
  }
  const bool isFailure = aHead.mStatus >= kServerErrors;
  const bool mayRepeat =
    IsRepeatable(mRoute.mKind) && mState.mRuns + 1 < mState.mFacts.mMaxAttempts;
  if (mHasBegun || (isFailure && mayRepeat)) {
    co_return Attempt{ SendEnd::TargetFailed, false };
  }
  HttpResponse response;
  response.mHead.mStatus = aHead.mStatus;
  response.mHead.mHeaders = AnswerHeaders(aHead.mHeaders);
  response.mBody = std::move(*body);
  mHasBegun = true;
  auto sending = mExchange.Respond(std::move(response));
  const auto sent = co_await std::move(sending);
  if (!sent) {
    LogError(sent.GetError());
  }
  co_return Attempt{ isFailure ? SendEnd::TargetFailed : SendEnd::Whole, true,
                     IsSuccess(aHead.mStatus) };
}

awaitable<bool> EdgeRequest::IsWholeAtEnd(SendTo aSend,
                                          HttpConnection& aConnection)
{
  if (mFrames.HasRest()) {
    LogError(MakeError(ErrorCode::ConnectionLost, "edge.read-event",
                       mLastTarget, "the stream ended inside an event"));
    aConnection.Cancel();
    co_return false;
  }
  auto confirming = ConfirmEnd(aConnection, aSend.mAddress, Left());
  const auto confirmed = co_await std::move(confirming);
  if (!confirmed) {
    LogError(confirmed.GetError());
  }
  co_return confirmed.HasValue();
}

awaitable<Result<Unit>> EdgeRequest::BeginStream(const HttpResponseHead& aHead)
{
  if (std::exchange(mHasBegun, true)) {
    co_return Success();
  }
  HttpResponseHead head;
  head.mStatus = aHead.mStatus;
  head.mHeaders = AnswerHeaders(aHead.mHeaders);
  auto beginning = mExchange.BeginStream(std::move(head));
  const auto begun = co_await std::move(beginning);
  co_return begun;
}

HoldParties EdgeRequest::PartiesOf(const TargetName& aTarget) const
{
  const std::string& peer = mExchange.PeerName();
  HoldParties parties;
  parties.mGiver = aTarget.Text();
  parties.mReceiver = peer.substr(0, peer.rfind(':'));
  parties.mService = mState.mFacts.mService.Text();
  return parties;
}

awaitable<Result<Unit>> EdgeRequest::HoldEvents(std::size_t aBytes)
{
  if (aBytes <= kFreeEventBytes) {
    mEventHold.Release();
    co_return Success();
  }
  const auto bytes = static_cast<Bytes>(aBytes);
  auto growing = mEventHold.Grow(bytes <= kSmallEventBytes
                                   ? kSmallEventBytes
                                   : std::max(kMaxHeldEventBytes, bytes),
                                 Left());
  auto grown = co_await std::move(growing);
  co_return grown;
}

EdgeRequest::AwaitAttempt EdgeRequest::RelayStream(SendTo aSend,
                                                   HttpConnection& aConnection,
                                                   HttpResponseHead aHead)
{
  if (mHasBegun && !IsEventStream(aHead)) {
    LogError(MakeError(ErrorCode::Malformed, "edge.resume-stream", mLastTarget,
                       "the answer is no event stream"));
    aConnection.Cancel();
    co_return Attempt{ SendEnd::Broken, false };
  }
  std::string bytes;
  bool isFirst = true;
  mFrames.DropRest();
  mEventHold =
    MemoryHold(mContext.mMemory, HoldKind::Event, PartiesOf(aSend.mTarget));
  for (bool more = true; more;) {
    auto reading = aConnection.ReadSome(bytes, Left());
    const auto read = co_await std::move(reading);
    if (!read) {
      LogError(read.GetError());
      co_return Attempt{ EndOf(read.GetError()), false };
    }
    more = *read;
    if (std::exchange(isFirst, false)) {
      OnFirstByte(aSend);
    }
    mContext.mDispatcher.OnBytes(SteadyNow(), aSend.mSend);
    const std::string events = mFrames.Take(bytes);
    auto holding = HoldEvents(mFrames.RestBytes() + events.size());
    const auto held = co_await std::move(holding);
    if (!held) {
      LogError(held.GetError());
      aConnection.Cancel();
      co_return Attempt{ EndOf(held.GetError()), false };
    }
    if (mFrames.IsTooLong()) {
      LogError(MakeError(ErrorCode::TooLarge, "edge.read-event", mLastTarget,
                         "no end of an event"));
      aConnection.Cancel();
      co_return Attempt{ SendEnd::Broken, false };
    }
    // A part of an event waits for its rest: what was passed on stays between
    // two events.
    if (!events.empty()) {
      NoteOrigin(aSend);
      auto passing = PassOn(aHead, events);
      const bool isPassed = co_await std::move(passing);
      if (!isPassed) {
        aConnection.Cancel();
        co_return Attempt{ SendEnd::CallerGone, false };
      }
    }
  }
  auto checking = IsWholeAtEnd(aSend, aConnection);
  const bool isWhole = co_await std::move(checking);
  if (!isWhole) {
    co_return Attempt{ mIsGone ? SendEnd::CallerGone : SendEnd::Broken, false };
  }
  auto beginning = BeginStream(aHead);
  const auto begun = co_await std::move(beginning);
  if (!begun) {
    mIsGone = true;
    mGoneReason = begun.GetError().ToString();
    co_return Attempt{ SendEnd::CallerGone, false };
  }
  auto finishing = mExchange.FinishStream();
  const auto finished = co_await std::move(finishing);
  if (!finished) {
    LogError(finished.GetError());
  }
  co_return Attempt{ SendEnd::Whole, true, true };
}

void EdgeRequest::NoteTarget(const SendTo& aSend, const TargetHead& aSaid)
{
  if (aSaid.mLeaves &&
      mContext.mDispatcher.OnLeaving(aSend.mTarget, aSend.mIncarnation)) {
    mContext.mTargetLeaves({ aSend.mTarget, aSend.mIncarnation });
  }
  if (aSaid.mPause) {
    mContext.mDispatcher.OnPause(SteadyNow(), aSend.mTarget, aSend.mIncarnation,
                                 *aSaid.mPause);
    LogPause(aSend.mTarget, *aSaid.mPause, mCaller.mId);
  }
  if (aSaid.mRefusals) {
    const bool isBrittle = *aSaid.mRefusals != RateLimit::kNone;
    if (mContext.mDispatcher.OnStatedRefusals(
          SteadyNow(), aSend, isBrittle ? aSaid.mRefusals : std::nullopt)) {
      LogBrittle(mState.mFacts.mService, aSend.mTarget, *aSaid.mRefusals,
                 mCaller.mId);
    }
  }
  if (aSaid.mLimit) {
    const auto limit =
      mContext.mDispatcher.OnStatedLimit(SteadyNow(), aSend, *aSaid.mLimit);
    if (limit) {
      mContext.mTargetLimited({ aSend.mTarget, aSend.mIncarnation }, *limit,
                              mCaller.mId);
    }
  }
}

void EdgeRequest::NoteOrigin(const SendTo& aSend)
{
  if (mRoute.mKind != RequestKind::ResumableStream) {
    return;
  }
  const bool isFirst = mEventAt == Instant();
  SoftwareVersion software = aSend.mSoftware;
  if (!isFirst && mState.mSoftware->IsEmpty() && !mIsAtRelay) {
    // A process that nothing else is heard of is the one that was chosen.
    software =
      mContext.mDispatcher.SoftwareOf(SteadyNow(), aSend, mState, false);
  }
  if (isFirst || (mState.mSoftware->IsEmpty() && !software.IsEmpty())) {
    mState.mSoftware = software;
    mContext.mStreamBegun(Stream(), { mState.mFacts.mService, software });
  }
}

awaitable<bool> EdgeRequest::PassOn(const HttpResponseHead& aHead,
                                    std::string_view aEvents)
{
  auto beginning = BeginStream(aHead);
  auto passed = co_await std::move(beginning);
  if (passed) {
    NoteEvent();
    auto writing = mExchange.WriteChunk(aEvents);
    passed = co_await std::move(writing);
  }
  if (!passed && !std::exchange(mIsGone, true)) {
    mGoneReason = passed.GetError().ToString();
  }
  co_return passed.HasValue() && !mIsGone;
}

} // namespace carobtide
