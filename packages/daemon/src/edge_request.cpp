#include "edge_request.hpp"

#include "carobtide/daemon/logging.hpp"
#include "carobtide/routing/time_used.hpp"
#include "clock.hpp"
#include "target_log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/** Another target serves at the address. */
constexpr std::uint16_t kMisdirected = 421;
constexpr std::uint16_t kTooManyRequests = 429;
constexpr std::uint16_t kUnauthorized = 401;
constexpr std::uint16_t kBadGateway = 502;
constexpr std::uint16_t kUnavailable = 503;
constexpr std::uint16_t kGatewayTimeout = 504;

/** A lost opening packet is sent again after a second: another target first. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
/** A report needs no slot: it comes within milliseconds. */
constexpr Duration kProcessCheckTimeout = std::chrono::milliseconds(400);
constexpr Bytes kMaxReportBytes = 256 * kKiB;
constexpr int kMaxConnectionsPerSend = 2;
/** Time for the answer to reach the caller before its time is over. */
constexpr Duration kAnswerMargin = std::chrono::milliseconds(5);

/** True if no target can have begun to work on a send that ended so. */
bool IsNotRun(SendEnd aEnd)
{
  return aEnd == SendEnd::Withheld || aEnd == SendEnd::ConnectFailed ||
         aEnd == SendEnd::NotRun || aEnd == SendEnd::Full;
}

} // namespace

EdgeRequest::EdgeRequest(EdgeContext& aContext, HttpExchange& aExchange,
                         CallerRequest aCaller, CallerIdentity aIdentity,
                         const Route& aRoute, ServiceName aService,
                         Instant aArrived,
                         const std::optional<RelayCall>& aRelayed)
  : mContext(aContext)
  , mExchange(aExchange)
  , mCaller(std::move(aCaller))
  , mIdentity(std::move(aIdentity))
  , mRoute(aRoute)
  , mIsRelayed(aRelayed.has_value())
  , mRunsBefore(aRelayed ? aRelayed->mRuns : 0)
  , mFingerprints(
      ComputeDigest({ mCaller.mHost, mExchange.Request().mMethod,
                      mExchange.Request().mTarget, mExchange.Request().mBody }))
{
  const Duration patience =
    std::min(mCaller.mPatience.value_or(mRoute.mTimeout), mRoute.mTimeout);
  mDeadline =
    aArrived + (aRelayed ? Duration(aRelayed->mLeftMicros) : patience);
  const Instant arrived =
    aArrived - Duration(aRelayed ? aRelayed->mAgeMicros : 0);
  DispatchFacts& facts = mState.mFacts;
  facts.mService = std::move(aService);
  facts.mKind = mRoute.mKind;
  facts.mPriority = mIdentity.mPriority.value_or(mRoute.mPriority);
  facts.mOrganisation = mIdentity.mOrganisation;
  facts.mMaxAttempts = std::max(mRoute.mMaxAttempts, 1U);
  facts.mObjective = mRoute.mObjective;
  facts.mModel = mCaller.mModel;
  facts.mAdapter = mCaller.mAdapter;
  facts.mSharedPrefix = mCaller.mSharedPrefix;
  facts.mPromptTokens = mCaller.mPromptTokens;
  facts.mAnswerTokens = mCaller.mAnswerTokens;
  facts.mPauseObjective = mRoute.mPauseObjective;
  facts.mArrived = arrived;
  facts.mUsed = EstimateTimeUsed(patience, mRoute.mTimeout);
  facts.mDeadline = mDeadline;
  for (const std::string& part : mCaller.mSharedParts) {
    mFingerprints.AddPart(ComputeDigest({ "part", part }));
  }
  if (aRelayed) {
    mState.mIsRelayed = true;
    mState.mRuns = aRelayed->mRuns;
    mState.mDelivered = aRelayed->mDelivered;
    mState.mTried = aRelayed->mTried;
    mState.mSoftware = aRelayed->mSoftware;
    mFrames.StartAfter(aRelayed->mAfterEvent);
  }
  mDue = (arrived + mRoute.mObjective).time_since_epoch().count();
  mOrganisations = mContext.mOrganisations;
  mIsCharged = mIsRelayed;
}

Duration EdgeRequest::Left() const
{
  return std::max(mDeadline - kAnswerMargin - SteadyNow(), Duration(1));
}

void EdgeRequest::EndHolds(HttpConnection& aConnection)
{
  aConnection.ReleaseMemory();
  mFrames.DropRest();
  mEventHold.Release();
}

void EdgeRequest::CancelWork()
{
  if (mConnection != nullptr) {
    mConnection->Cancel();
  }
  mEventHold.CancelWait();
}

void EdgeRequest::OnCallerGone()
{
  mIsGone = true;
  CancelWork();
  if (mState.mWaiter != 0) {
    mContext.mRoom.Wake(mState.mWaiter);
  } else {
    mContext.mRoom.Notify();
  }
}

void EdgeRequest::OnPathLost(const TargetName& aTarget)
{
  if (mConnection != nullptr && !mIsAtRelay && mLastSend &&
      mLastSend->mTarget == aTarget && IsRepeatable(mRoute.mKind)) {
    mIsPathLost = true;
    mConnection->Cancel();
  }
}

void EdgeRequest::GiveUp()
{
  mIsGivenUp = true;
  mDeadline = std::min(mDeadline, SteadyNow());
  CancelWork();
}

bool EdgeRequest::IsTooLateToSend() const
{
  return mContext.mStop != nullptr &&
         SteadyNow() >= mContext.mStop->SendLimit() &&
         mDeadline > mContext.mStop->Latest();
}

awaitable<void> EdgeRequest::Run()
{
  const auto self = shared_from_this();
  mExchange.OnClientGone([self] { self->OnCallerGone(); });
  if (!mIsRelayed) {
    mContext.mMetrics.Organisations().OnAsked(mIdentity.mOrganisation);
  }
  if (IsTakenUp() && !mIsRelayed) {
    auto finding = FindOrigin();
    const bool isFound = co_await std::move(finding);
    if (!isFound) {
      auto refusing = Refuse(MakeRejection("what began the stream is unknown"));
      co_await std::move(refusing);
      co_return;
    }
  }
  if (!mIsRelayed) {
    auto taking = TakeAllowance();
    const bool isAllowed = co_await std::move(taking);
    if (!isAllowed) {
      co_return;
    }
    mContext.mDispatcher.OnArrival(SteadyNow(), mState.mFacts);
  }
  while (!mIsGone) {
    if (SteadyNow() >= mDeadline) {
      auto failing = Fail(SendEnd::TimedOut);
      co_await std::move(failing);
      co_return;
    }
    // A busy daemon may read a request long after its caller left.
    if (mExchange.IsClientGone()) {
      OnCallerGone();
      break;
    }
    if (IsKeyWithdrawn()) {
      auto refusing = RefuseKey();
      co_await std::move(refusing);
      co_return;
    }
    if (!mIsCharged) {
      // The key is now another organisation's.
      auto taking = TakeAllowance();
      const bool isAllowed = co_await std::move(taking);
      if (!isAllowed) {
        co_return;
      }
      continue;
    }
    if (auto blocked = FindBlock()) {
      auto refusing = Refuse(std::move(*blocked));
      co_await std::move(refusing);
      co_return;
    }
    if (IsTooLateToSend()) {
      auto refusing = Refuse(MakeRejection("stopping"));
      co_await std::move(refusing);
      co_return;
    }
    auto decision = mContext.mDispatcher.Choose(SteadyNow(), mState);
    if (auto* away = std::get_if<Rejection>(&decision)) {
      auto refusing = Refuse(std::move(*away));
      co_await std::move(refusing);
      co_return;
    }
    if (const auto* wait = std::get_if<WaitForCapacity>(&decision)) {
      const Instant limit = WaitLimit();
      if (SteadyNow() >= limit) {
        auto refusing = Refuse(MakeRejection("stopping"));
        co_await std::move(refusing);
        co_return;
      }
      mTrail.OnWait(*wait, SteadyNow());
      if (mState.mWaiter != 0) {
        // What this request could not use is offered to the next.
        mContext.NotifyOffers();
      }
      auto waiting = Wait(std::min(wait->mUntil, limit));
      co_await std::move(waiting);
      continue;
    }
    if (const auto* load = std::get_if<LoadAdapter>(&decision)) {
      EnsureAdapter wanted;
      wanted.mService = mState.mFacts.mService;
      wanted.mModel = mCaller.mModel;
      wanted.mAdapter = mCaller.mAdapter;
      wanted.mOneMore = load->mOneMore;
      mTrail.OnAdapterAsked();
      auto ensuring = mContext.mEnsureAdapter(std::move(wanted));
      co_await std::move(ensuring);
      continue;
    }
    if (auto* relay = std::get_if<RelayTo>(&decision)) {
      auto relaying = RunRelayed(std::move(*relay));
      const bool hasEnded = co_await std::move(relaying);
      if (hasEnded) {
        co_return;
      }
      continue;
    }
    const SendTo send = std::get<SendTo>(decision);
    mLastTarget = send.mTarget.Text();
    mLastSend = send;
    mIsPathLost = false;
    mTrail.OnRouted(send, mFrames.LastId());
    ++mSends;
    const Instant sentAt = SteadyNow();
    auto sending = Send(send);
    const Attempt attempt = co_await std::move(sending);
    mMayHaveRun = mMayHaveRun || !IsNotRun(attempt.mEnd);
    const bool again =
      mContext.mDispatcher.OnEnd(SteadyNow(), send.mSend, attempt.mEnd, mState);
    mTrail.OnSendEnded(send, attempt.mEnd, attempt.mFraming, again,
                       std::exchange(mFlaw, {}));
    mContext.NotifyCapacity();
    auto noting = NoteEvidence(send, sentAt, attempt, again);
    co_await std::move(noting);
    if (attempt.mAnswered) {
      End(attempt.mEnd == SendEnd::Whole ? RequestOutcome::Whole
                                         : RequestOutcome::TargetFailed,
          "answered");
      co_return;
    }
    if (!again && !mIsGone) {
      auto failing = Fail(attempt.mEnd);
      co_await std::move(failing);
      co_return;
    }
  }
  End(RequestOutcome::CallerGone, mGoneReason);
  mExchange.Abort();
}

Instant EdgeRequest::WaitLimit() const
{
  const Instant stop =
    mContext.mStop == nullptr ? Instant::max() : mContext.mStop->WaitLimit();
  return std::min(stop, mDeadline);
}

Rejection EdgeRequest::MakeRejection(std::string aReason)
{
  constexpr Duration kPause = std::chrono::milliseconds(300);
  Rejection rejection;
  rejection.mCode = ErrorCode::InvalidState;
  rejection.mRetryAfter = kPause;
  rejection.mReason = std::move(aReason);
  return rejection;
}

bool EdgeRequest::IsTakenUp() const
{
  return mRoute.mKind == RequestKind::ResumableStream &&
         !mCaller.mAfterEvent.empty();
}

StreamKey EdgeRequest::Stream() const
{
  return MakeStreamKey(IsTakenUp() ? mCaller.mResumes : mCaller.mId);
}

awaitable<bool> EdgeRequest::FindOrigin()
{
  ServiceName& service = mState.mFacts.mService;
  auto finding = mContext.mFindOrigin({ Stream(), service });
  const auto origin = co_await std::move(finding);
  // A route that changed may not lead to the service any more.
  if (!origin || origin->mSoftware.IsEmpty() ||
      std::ranges::find(mRoute.mServices, origin->mService,
                        &ServiceShare::mService) == mRoute.mServices.end()) {
    co_return false;
  }
  service = origin->mService;
  mState.mSoftware = origin->mSoftware;
  mTrail.OnOriginFound(*origin);
  co_return true;
}

std::optional<Rejection> EdgeRequest::FindBlock() const
{
  const Instant now = SteadyNow();
  const auto until = mContext.mGuard.BlockedUntil(now, mFingerprints);
  if (!until) {
    return std::nullopt;
  }
  Rejection rejection;
  rejection.mCode = ErrorCode::Quarantined;
  rejection.mRetryAfter = *until - now;
  rejection.mReason = "its content crashes targets";
  return rejection;
}

awaitable<void> EdgeRequest::NoteEvidence(SendTo aSend, Instant aSentAt,
                                          Attempt aAttempt, bool aMayRetry)
{
  const Instant now = SteadyNow();
  const TargetProcess process{ aSend.mTarget, aSend.mIncarnation };
  if (aAttempt.mEnd == SendEnd::Broken && !mIsPathLost) {
    const bool mustWait = aMayRetry && mContext.mGuard.IsSuspect(mFingerprints);
    if (!mContext.mGuard.OnConnectionLost(now, process, aSentAt,
                                          mFingerprints)) {
      co_return;
    }
    auto probing = mContext.mProbe(process, aSend.mAddress);
    if (mustWait) {
      // One more crash may block the content: know it before a retry.
      co_await std::move(probing);
    } else {
      const auto executor = co_await asio::this_coro::executor;
      asio::co_spawn(executor, std::move(probing), asio::detached);
    }
  } else if (aAttempt.mEnd == SendEnd::Whole && aAttempt.mSucceeded) {
    mContext.mGuard.OnWhole(now, mFingerprints);
    mContext.mReportCrashes();
  }
}

awaitable<void> EdgeRequest::Wait(Instant aUntil)
{
  const Duration longest = std::max(aUntil - SteadyNow(), Duration(1));
  auto waiting = mState.mWaiter == 0
                   ? mContext.mRoom.Wait(longest, mDue)
                   : mContext.mRoom.WaitFor(longest, mState.mWaiter);
  co_await std::move(waiting);
}

SendEnd EdgeRequest::EndOf(const Error& aError)
{
  if (aError.mCode == ErrorCode::Malformed) {
    mFlaw = aError.mDetail;
  }
  if (mIsGone) {
    return SendEnd::CallerGone;
  }
  if (mIsGivenUp) {
    return SendEnd::TimedOut;
  }
  if (aError.mCode == ErrorCode::ConnectRefused) {
    return SendEnd::ConnectFailed;
  }
  return aError.mCode == ErrorCode::Timeout ? SendEnd::TimedOut
                                            : SendEnd::Broken;
}

EdgeRequest::AwaitConnection EdgeRequest::Connect(const Endpoint& aAddress)
{
  auto acquiring = mContext.mPool.Acquire(
    aAddress, std::min(kConnectTimeout, Left()), ComputeChecksum(mCaller.mId));
  auto connection = co_await std::move(acquiring);
  if (!connection) {
    LogError(connection.GetError());
    co_return nullptr;
  }
  co_return std::move(*connection);
}

std::optional<SendEnd> EdgeRequest::FindObstacle(const SendTo& aSend)
{
  if (mIsGone) {
    return SendEnd::CallerGone;
  }
  // Connecting takes time, in which the target may have said more.
  if (mIsGivenUp || IsKeyWithdrawn() || !mIsCharged ||
      !mContext.mDispatcher.MaySend(SteadyNow(), aSend, mState)) {
    return SendEnd::Withheld;
  }
  return std::nullopt;
}

EdgeRequest::AwaitAttempt EdgeRequest::Send(SendTo aSend)
{
  Attempt attempt;
  std::unique_ptr<HttpConnection> connection;
  const bool goesOn = mState.mSoftware.has_value();
  const PeerProcess process{ aSend.mIncarnation.Value(), false };
  // A target that is asked which process it is may end the connection.
  for (int tries = 0; tries < kMaxConnectionsPerSend; ++tries) {
    auto connecting = Connect(aSend.mAddress);
    connection = co_await std::move(connecting);
    NoteEndedConnections(aSend);
    if (connection == nullptr) {
      co_return Attempt{ mIsGone ? SendEnd::CallerGone : SendEnd::ConnectFailed,
                         false };
    }
    if (const auto obstacle = FindObstacle(aSend)) {
      mContext.mPool.Release(aSend.mAddress, std::move(connection));
      co_return Attempt{ *obstacle, false };
    }
    if (connection->Peer().mId != process.mId) {
      connection->SetPeer(process);
    }
    // A new stream begins without an answer to that, if need be.
    if (!mContext.mDispatcher.MustCheckProcess(SteadyNow(), aSend, mState,
                                               connection->Peer().mIsProven) ||
        (tries > 0 && !goesOn)) {
      break;
    }
    mConnection = connection.get();
    mConnection->HoldIn(mContext.mMemory, PartiesOf(aSend.mTarget));
    auto checking = CheckProcess(aSend, *connection);
    const auto check = co_await std::move(checking);
    mConnection = nullptr;
    if (!check) {
      mContext.mDispatcher.OnConnectionEnded(SteadyNow(), aSend.mTarget,
                                             aSend.mIncarnation);
    }
    const bool mayGo = check ? mContext.mDispatcher.OnProcessChecked(
                                 SteadyNow(), aSend, mState, *check)
                             : !goesOn && !mIsPathLost;
    if (mIsGone || !mayGo) {
      co_return Attempt{ mIsGone ? SendEnd::CallerGone : SendEnd::Withheld,
                         false };
    }
    connection->SetPeer({ process.mId, check == ProcessCheck::Same });
    if (check && connection->IsReusable()) {
      break;
    }
    connection.reset();
  }
  if (connection == nullptr) {
    co_return Attempt{ SendEnd::Withheld, false };
  }
  if (const auto obstacle = FindObstacle(aSend)) {
    mContext.mPool.Release(aSend.mAddress, std::move(connection));
    co_return Attempt{ *obstacle, false };
  }
  aSend.mSoftware = mContext.mDispatcher.SoftwareOf(
    SteadyNow(), aSend, mState, connection->Peer().mIsProven);
  mLastSend->mSoftware = aSend.mSoftware;
  mConnection = connection.get();
  mConnection->HoldIn(mContext.mMemory, PartiesOf(aSend.mTarget));
  auto exchanging = Exchange(aSend, *connection);
  attempt = co_await std::move(exchanging);
  attempt.mFraming = connection->Framing();
  mConnection = nullptr;
  EndHolds(*connection);
  mContext.mPool.Release(aSend.mAddress, std::move(connection));
  co_return attempt;
}

void EdgeRequest::NoteEndedConnections(const SendTo& aSend)
{
  for (const std::uint64_t id : mContext.mPool.TakeEnded(aSend.mAddress)) {
    const Incarnation process(id);
    if (mContext.mDispatcher.OnConnectionEnded(SteadyNow(), aSend.mTarget,
                                               process)) {
      LogConnectionEnded(aSend.mTarget, process, mCaller.mId);
    }
  }
}

awaitable<std::optional<ProcessCheck>> EdgeRequest::CheckProcess(
  SendTo aSend, HttpConnection& aConnection)
{
  const Duration patience = std::min(kProcessCheckTimeout, Left());
  const HttpRequest request =
    mContext.mDialect.MakeReportRequest(aSend.mTarget);
  auto sending = aConnection.Send(request, patience);
  auto head = co_await std::move(sending);
  if (!head) {
    LogError(head.GetError());
    co_return std::nullopt;
  }
  auto reading = aConnection.ReadAll(kMaxReportBytes, patience);
  const auto body = co_await std::move(reading);
  if (!body) {
    LogError(body.GetError());
    co_return std::nullopt;
  }
  ProcessCheck check =
    head->mStatus == kMisdirected ? ProcessCheck::Other : ProcessCheck::Unclear;
  if (IsSuccess(head->mStatus)) {
    if (const auto report = mContext.mDialect.ReadReport(*body)) {
      check = report->mIncarnation == Incarnation() ? ProcessCheck::Unstated
              : report->mIncarnation == aSend.mIncarnation
                ? ProcessCheck::Same
                : ProcessCheck::Other;
    }
  }
  mTrail.OnProcessChecked(aSend, check);
  co_return check;
}

EdgeRequest::AwaitAttempt EdgeRequest::Exchange(SendTo aSend,
                                                HttpConnection& aConnection)
{
  TargetCall call;
  call.mTarget = aSend.mTarget;
  call.mPatience = Left();
  if (!mCaller.mModel.IsEmpty()) {
    call.mUrgency = aSend.mUrgency;
  }
  call.mAfterEvent = mFrames.LastId();
  call.mHasOrganisations = mIdentity.mHasOrganisations;
  call.mOrganisation = mIdentity.mOrganisation;
  const HttpRequest request =
    mContext.mDialect.MakeTargetRequest(mExchange.Request(), call);
  auto sending = aConnection.Send(request, mExchange.Request().mBody, Left());
  auto first = co_await std::move(sending);
  if (!first) {
    LogError(first.GetError());
    co_return Attempt{ EndOf(first.GetError()), false };
  }
  auto reading = ReadOwnHead(aConnection, std::move(*first));
  auto head = co_await std::move(reading);
  if (!head) {
    LogError(head.GetError());
    co_return Attempt{ EndOf(head.GetError()), false };
  }
  auto taking = TakeAnswer(aSend, aConnection, std::move(*head));
  const Attempt attempt = co_await std::move(taking);
  co_return attempt;
}

awaitable<void> EdgeRequest::Refuse(Rejection aAway)
{
  mTrail.OnRefused(aAway);
  mRefusal = aAway.mCode == ErrorCode::Quarantined ||
                 aAway.mCode == ErrorCode::InvalidState
               ? RefusalReason::Other
               : RefusalReason::NoCapacity;
  // Every send so far was declared not run, or never left.
  const bool isCertain = mState.mRuns == mRunsBefore;
  mIsUnreachable = aAway.mIsUnreachable;
  auto answering =
    Answer(isCertain ? kUnavailable : kBadGateway,
           isCertain ? aAway.mRetryAfter : Duration::zero(), aAway.mReason);
  co_await std::move(answering);
}

awaitable<void> EdgeRequest::Fail(SendEnd aEnd)
{
  std::uint16_t status = kBadGateway;
  Duration pause = Duration::zero();
  if (mState.mRuns == mRunsBefore) {
    constexpr Duration kPause = std::chrono::milliseconds(300);
    status = kUnavailable;
    pause = kPause;
    mRefusal = RefusalReason::NoCapacity;
  } else if (aEnd == SendEnd::TimedOut) {
    status = kGatewayTimeout;
  }
  std::string reason(kSendEnds.Name(aEnd));
  auto answering = Answer(status, pause, std::move(reason));
  co_await std::move(answering);
}

awaitable<void> EdgeRequest::Answer(std::uint16_t aStatus, Duration aRetryAfter,
                                    std::string aReason)
{
  const RequestOutcome outcome = mHasBegun ? RequestOutcome::BrokenOff
                                 : aStatus == kUnavailable ||
                                     aStatus == kTooManyRequests ||
                                     aStatus == kUnauthorized
                                   ? RequestOutcome::TurnedAway
                                   : RequestOutcome::Failed;
  End(outcome, std::to_string(aStatus) + ": " + aReason);
  if (mHasBegun) {
    mExchange.Abort();
    co_return;
  }
  mHasBegun = true;
  HttpResponse response =
    mContext.mDialect.MakeAnswer(aStatus, mCaller, aRetryAfter, aReason);
  if (mIsRelayed) {
    RelayAnswer note;
    note.mEnd = aStatus != kUnavailable ? RelayEnd::Failed
                : mIsUnreachable        ? RelayEnd::Unreachable
                                        : RelayEnd::Refused;
    note.mRuns = mState.mRuns - mRunsBefore;
    WriteRelayAnswer(note, response.mHead.mHeaders);
  }
  auto sending = mExchange.Respond(std::move(response));
  const auto sent = co_await std::move(sending);
  if (!sent) {
    LogError(sent.GetError());
  }
}

void EdgeRequest::OnFirstByte(const SendTo& aSend)
{
  const Instant now = SteadyNow();
  mContext.mDispatcher.OnFirstByte(now, aSend.mSend);
  mContext.mGuard.OnAlive(now, { aSend.mTarget, aSend.mIncarnation });
  if (!mIsRelayed) {
    mContext.mMetrics.OnFirstByte(mRoute.mKind, now - mState.mFacts.mArrived);
  }
  mContext.NotifyCapacity();
}

void EdgeRequest::NoteEvent()
{
  const Instant now = SteadyNow();
  if (mEventAt != Instant()) {
    mLongestPause = std::max(mLongestPause, now - mEventAt);
  }
  mEventAt = now;
}

void EdgeRequest::End(RequestOutcome aOutcome, std::string_view aReason)
{
  mContext.mDispatcher.Withdraw(mState);
  ReturnCost();
  TrailEnd end;
  end.mOutcome = aOutcome;
  end.mReason = aReason;
  end.mOrganisation = mIdentity.mOrganisation;
  if (aOutcome == RequestOutcome::TurnedAway) {
    end.mRefusal = mRefusal;
  }
  end.mTook = SteadyNow() - mState.mFacts.mArrived;
  end.mSends = mSends;
  end.mLongestPause = mLongestPause;
  end.mContent = mFingerprints.Content();
  // The daemon that took the request from its caller counts it.
  if (!mIsRelayed) {
    mContext.mMetrics.OnEnd(mRoute.mKind, aOutcome, end.mTook);
    OrganisationMetrics& metrics = mContext.mMetrics.Organisations();
    if (aOutcome == RequestOutcome::Whole) {
      metrics.OnServed(end.mOrganisation);
    }
    if (end.mRefusal) {
      metrics.OnRefused(end.mOrganisation, *end.mRefusal);
    }
    metrics.OnSpent(end.mOrganisation, static_cast<double>(mCost));
  }
  mTrail.Write(mCaller, mRoute, end, mContext.mLeftOut);
}

} // namespace carobtide
