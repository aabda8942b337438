// Requests that one daemon hands to another, which reaches their targets.
#include "edge_request.hpp"

#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace carobtide {

using boost::asio::awaitable;

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
/** Time for the other daemon's answer to come back before the deadline. */
constexpr Duration kHopMargin = std::chrono::milliseconds(10);
constexpr Bytes kMaxRefusalBytes = 64 * kKiB;

std::int64_t Micros(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aTime).count();
}

} // namespace

HttpHeaders EdgeRequest::AnswerHeaders(const HttpHeaders& aHeaders) const
{
  HttpHeaders headers = EndToEndHeaders(aHeaders);
  if (mIsRelayed && mLastSend) {
    const RelayAnswer note{ RelayEnd::Answered, mState.mRuns - mRunsBefore,
                            mLastSend->mTarget, mLastSend->mIncarnation,
                            mLastSend->mSoftware };
    WriteRelayAnswer(note, headers);
  }
  return headers;
}

HttpRequest EdgeRequest::MakeRelayRequest() const
{
  const HttpRequest& asked = mExchange.Request();
  HttpRequest request;
  request.mMethod = asked.mMethod;
  request.mTarget = asked.mTarget;
  request.mHeaders = EndToEndHeaders(asked.mHeaders);
  if (mIdentity.mHasOrganisations) {
    request.mHeaders = mContext.mDialect.WithoutKey(request.mHeaders);
    WriteIdentity(mIdentity, request.mHeaders);
  }
  RelayCall call;
  call.mCatalogVersion = mContext.mCatalogVersion;
  call.mService = mState.mFacts.mService;
  call.mAgeMicros = Micros(SteadyNow() - mState.mFacts.mArrived);
  call.mLeftMicros = Micros(std::max(Left() - kHopMargin, Duration(1)));
  call.mRuns = mState.mRuns;
  call.mDelivered = mState.mDelivered;
  std::ranges::copy_if(mState.mTried, std::back_inserter(call.mTried),
                       [this](const TargetName& aTarget) {
                         return std::ranges::find(mState.mUnreached, aTarget) ==
                                mState.mUnreached.end();
                       });
  call.mSoftware = mState.mSoftware;
  call.mAfterEvent = mFrames.LastId();
  WriteRelayCall(call, request.mHeaders);
  return request;
}

RelayEnd EdgeRequest::RelayEndOf(const Error& aError) const
{
  if (mIsGone) {
    return RelayEnd::CallerGone;
  }
  return mIsGivenUp || aError.mCode == ErrorCode::Timeout ? RelayEnd::TimedOut
                                                          : RelayEnd::Lost;
}

awaitable<bool> EdgeRequest::RunRelayed(RelayTo aRelay)
{
  mTrail.OnHandedOn(aRelay);
  mLastTarget = aRelay.mRelay.ToString();
  ++mSends;
  auto handing = HandOn(aRelay);
  const RelayAttempt attempt = co_await std::move(handing);
  mMayHaveRun = mMayHaveRun || attempt.mAnswered.has_value() ||
                attempt.mRuns > 0 || attempt.mEnd == RelayEnd::CallerGone;
  const bool again = mContext.mDispatcher.OnRelayEnd(
    SteadyNow(), aRelay, attempt.mEnd, attempt.mRuns, mState);
  mTrail.OnRelayEnded(aRelay, attempt.mEnd, again);
  mContext.NotifyCapacity();
  if (attempt.mAnswered) {
    End(*attempt.mAnswered == SendEnd::Whole ? RequestOutcome::Whole
                                             : RequestOutcome::TargetFailed,
        "answered");
    co_return true;
  }
  if (again || mIsGone) {
    co_return false;
  }
  auto failing = Fail(attempt.mEnd == RelayEnd::TimedOut ? SendEnd::TimedOut
                                                         : SendEnd::Broken);
  co_await std::move(failing);
  co_return true;
}

EdgeRequest::AwaitRelay EdgeRequest::HandOn(RelayTo aRelay)
{
  auto acquiring =
    mContext.mPool.Acquire(aRelay.mRelay, std::min(kConnectTimeout, Left()),
                           ComputeChecksum(mCaller.mId));
  auto connection = co_await std::move(acquiring);
  if (!connection) {
    LogError(connection.GetError());
    co_return RelayAttempt{ mIsGone ? RelayEnd::CallerGone
                                    : RelayEnd::ConnectFailed };
  }
  if (mIsGone || mIsGivenUp) {
    mContext.mPool.Release(aRelay.mRelay, std::move(*connection));
    co_return RelayAttempt{ mIsGone ? RelayEnd::CallerGone
                                    : RelayEnd::ConnectFailed };
  }
  if (IsKeyWithdrawn() || !mIsCharged) {
    mContext.mPool.Release(aRelay.mRelay, std::move(*connection));
    co_return RelayAttempt{ RelayEnd::Refused };
  }
  mConnection = connection->get();
  mConnection->HoldIn(mContext.mMemory,
                      PartiesOf(TargetName(aRelay.mRelay.ToString())));
  mIsAtRelay = true;
  auto exchanging = ExchangeWithRelay(aRelay, **connection);
  RelayAttempt attempt = co_await std::move(exchanging);
  attempt.mFraming = (*connection)->Framing();
  mIsAtRelay = false;
  mConnection = nullptr;
  EndHolds(**connection);
  mContext.mPool.Release(aRelay.mRelay, std::move(*connection));
  co_return attempt;
}

EdgeRequest::AwaitRelay EdgeRequest::ExchangeWithRelay(
  RelayTo aRelay, HttpConnection& aConnection)
{
  const HttpRequest request = MakeRelayRequest();
  auto sending = aConnection.Send(request, mExchange.Request().mBody, Left());
  auto first = co_await std::move(sending);
  if (!first) {
    LogError(first.GetError());
    co_return RelayAttempt{ RelayEndOf(first.GetError()), 1 };
  }
  auto reading = ReadOwnHead(aConnection, std::move(*first));
  auto head = co_await std::move(reading);
  if (!head) {
    LogError(head.GetError());
    co_return RelayAttempt{ RelayEndOf(head.GetError()), 1 };
  }
  auto taking = TakeRelayAnswer(aRelay, aConnection, std::move(*head));
  const RelayAttempt attempt = co_await std::move(taking);
  co_return attempt;
}

EdgeRequest::AwaitRelay EdgeRequest::TakeRelayAnswer(
  RelayTo aRelay, HttpConnection& aConnection, HttpResponseHead aHead)
{
  const auto note = ReadRelayAnswer(aHead.mHeaders, mLastTarget);
  if (!note) {
    LogError(note.GetError());
    aConnection.Cancel();
    co_return RelayAttempt{ RelayEnd::Lost, 1 };
  }
  if (note->mEnd != RelayEnd::Answered) {
    auto draining = aConnection.ReadAll(kMaxRefusalBytes, Left());
    const auto drained = co_await std::move(draining);
    if (!drained) {
      LogError(drained.GetError());
    }
    co_return RelayAttempt{ note->mEnd, note->mRuns };
  }
  SendTo through;
  through.mTarget = note->mTarget;
  through.mIncarnation = note->mIncarnation;
  through.mSoftware = note->mSoftware;
  through.mAddress = aRelay.mRelay;
  NoteTarget(through, mContext.mDialect.ReadTargetHead(aHead, mCaller));
  mState.mRuns += note->mRuns;
  const bool isStream = IsStream(mRoute.mKind) && IsSuccess(aHead.mStatus);
  auto relaying = isStream ? RelayStream(through, aConnection, std::move(aHead))
                           : RelayWhole(through, aConnection, std::move(aHead));
  const Attempt attempt = co_await std::move(relaying);
  if (attempt.mAnswered) {
    co_return RelayAttempt{ RelayEnd::Answered, 0, attempt.mEnd };
  }
  co_return RelayAttempt{ attempt.mEnd == SendEnd::CallerGone
                            ? RelayEnd::CallerGone
                          : attempt.mEnd == SendEnd::TimedOut
                            ? RelayEnd::TimedOut
                            : RelayEnd::Lost,
                          1 };
}

} // namespace carobtide
