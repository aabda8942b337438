#include "attempt.hpp"

#include "answer_end.hpp"
#include "clock.hpp"

#include <algorithm>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(2);
constexpr Duration kLongestWait = std::chrono::hours(24);
constexpr Duration kShortestWait = std::chrono::milliseconds(1);
constexpr Bytes kMaxAnswerBytes = 64 * kMiB;

HttpRequest MakeAttemptRequest(const ForwardPlan& aPlan,
                               const Attempt& aAttempt)
{
  HttpRequest request = aPlan.mRequest;
  request.mHeaders.Add("Carobtide-Request-Id",
                       std::to_string(aPlan.mFacts.mId.Value()));
  request.mHeaders.Add("Carobtide-Attempt",
                       std::to_string(aAttempt.mDispatch.mAttempt.Value()));
  request.mHeaders.Add("Carobtide-Priority",
                       std::to_string(aAttempt.mDispatch.mUrgency));
  if (aAttempt.mResumeOffset > 0) {
    request.mHeaders.Add("Carobtide-Resume-Offset",
                         std::to_string(aAttempt.mResumeOffset));
  }
  return request;
}

/** An answer that names another request or attempt is never delivered. */
bool IsOwnAnswer(const ForwardPlan& aPlan, const Attempt& aAttempt,
                 const HttpResponseHead& aHead)
{
  const auto matches = [&](std::string_view aName, std::uint64_t aExpected) {
    const auto value = aHead.mHeaders.Get(aName);
    return value == std::to_string(aExpected) ||
           (value.empty() && !aPlan.mIsEngine);
  };
  return matches("Carobtide-Request-Id", aPlan.mFacts.mId.Value()) &&
         matches("Carobtide-Attempt", aAttempt.mDispatch.mAttempt.Value());
}

/** True if the target did not run the request and another one may. */
bool IsRejection(const ForwardPlan& aPlan, std::uint16_t aStatus)
{
  constexpr std::uint16_t kNotFound = 404;
  constexpr std::uint16_t kTooManyRequests = 429;
  constexpr std::uint16_t kInternalError = 500;
  constexpr std::uint16_t kUnavailable = 503;
  if (!aPlan.mIsEngine) {
    return aStatus == kUnavailable;
  }
  return aStatus == kNotFound || aStatus == kTooManyRequests ||
         aStatus >= kInternalError;
}

AttemptEnd EndOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::ConnectRefused:
      return AttemptEnd::ConnectRefused;
    case ErrorCode::Timeout:
      return AttemptEnd::TimedOut;
    default:
      return AttemptEnd::ConnectionLost;
  }
}

void PushFailure(RequestMailbox& aMailbox, const Attempt& aAttempt,
                 AttemptEnd aEnd, Error aError)
{
  if (aAttempt.mCancelled) {
    return;
  }
  AttemptFailed failed;
  failed.mAttempt = aAttempt.mDispatch.mAttempt;
  failed.mEnd = aEnd;
  failed.mError = std::move(aError);
  aMailbox.Push(std::move(failed));
}

/** Reads the head, then the whole body or the first part of a stream. */
awaitable<Result<HttpResponseHead>> Exchange(const ForwardPlan& aPlan,
                                             Attempt& aAttempt)
{
  const HttpRequest request = MakeAttemptRequest(aPlan, aAttempt);
  const Duration left = TimeLeft(aPlan.mFacts);
  auto sending = aAttempt.mConnection->Send(request, left);
  auto head = co_await std::move(sending);
  if (!head) {
    co_return head;
  }
  if (IsEventStream(*head)) {
    auto reading = aAttempt.mConnection->ReadSome(aAttempt.mBody, left);
    const auto more = co_await std::move(reading);
    if (!more) {
      co_return more.GetError();
    }
    aAttempt.mHasMore = *more;
    co_return head;
  }
  auto reading = aAttempt.mConnection->ReadAll(kMaxAnswerBytes, left);
  auto body = co_await std::move(reading);
  if (!body) {
    co_return body.GetError();
  }
  auto confirming =
    ConfirmEnd(*aAttempt.mConnection, aAttempt.mDispatch.mAddress, left);
  const auto confirmed = co_await std::move(confirming);
  if (!confirmed) {
    co_return confirmed.GetError();
  }
  aAttempt.mBody = std::move(*body);
  co_return head;
}

awaitable<Result<std::unique_ptr<HttpConnection>>> OpenConnection(
  DaemonContext& aContext, const ForwardPlan& aPlan, Endpoint aAddress)
{
  const Duration timeout = std::min(kConnectTimeout, TimeLeft(aPlan.mFacts));
  if (aPlan.mFacts.mIdempotent) {
    auto acquiring = aContext.mPool.Acquire(aAddress, timeout);
    auto pooled = co_await std::move(acquiring);
    co_return pooled;
  }
  // A non-idempotent request goes out on a connection never used before.
  auto connecting = ConnectHttp(aAddress, timeout);
  auto fresh = co_await std::move(connecting);
  co_return fresh;
}

void JudgeAnswer(const ForwardPlan& aPlan, const Attempt& aAttempt,
                 Result<HttpResponseHead> aHead, RequestMailbox& aMailbox)
{
  const std::string peer = aAttempt.mDispatch.mTarget.Text();
  if (!aHead) {
    PushFailure(aMailbox, aAttempt, EndOf(aHead.Code()), aHead.GetError());
    return;
  }
  if (!IsOwnAnswer(aPlan, aAttempt, *aHead)) {
    PushFailure(aMailbox, aAttempt, AttemptEnd::ConnectionLost,
                MakeError(ErrorCode::Malformed, "attempt.match-answer", peer));
    return;
  }
  if (IsRejection(aPlan, aHead->mStatus)) {
    PushFailure(aMailbox, aAttempt, AttemptEnd::Rejected,
                MakeError(ErrorCode::Overloaded, "attempt.rejected", peer,
                          std::to_string(aHead->mStatus)));
    return;
  }
  AttemptAnswered answered;
  answered.mAttempt = aAttempt.mDispatch.mAttempt;
  answered.mHead = std::move(*aHead);
  aMailbox.Push(std::move(answered));
}

} // namespace

void Attempt::Cancel()
{
  mCancelled = true;
  if (mConnection) {
    mConnection->Cancel();
  }
}

Duration TimeLeft(const RequestFacts& aFacts)
{
  if (aFacts.mDeadline == Instant::max()) {
    return kLongestWait;
  }
  return std::clamp(aFacts.mDeadline - SteadyNow(), kShortestWait,
                    kLongestWait);
}

awaitable<void> RunAttempt(DaemonContext& aContext,
                           std::shared_ptr<const ForwardPlan> aPlan,
                           std::shared_ptr<Attempt> aAttempt,
                           std::shared_ptr<RequestMailbox> aMailbox)
{
  auto opening = OpenConnection(aContext, *aPlan, aAttempt->mDispatch.mAddress);
  auto connected = co_await std::move(opening);
  if (!connected) {
    PushFailure(*aMailbox, *aAttempt, AttemptEnd::ConnectRefused,
                connected.GetError());
    co_return;
  }
  if (aAttempt->mCancelled) {
    co_return;
  }
  aAttempt->mConnection = std::move(*connected);
  aAttempt->mSent = true;
  auto exchange = Exchange(*aPlan, *aAttempt);
  auto head = co_await std::move(exchange);
  if (!aAttempt->mCancelled) {
    JudgeAnswer(*aPlan, *aAttempt, std::move(head), *aMailbox);
  }
}

} // namespace carobtide
