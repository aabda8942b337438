// Requests of callers: routing, attempts and claim flows.
#include "daemon.hpp"
#include "world.hpp"

#include <algorithm>

namespace carobtide::matrix {

namespace {

constexpr Duration kAttemptTimeout = 3s;
constexpr Duration kDeadline = 12s;
/** Services refuse the connections of one submission in this many. */
constexpr std::uint64_t kRefusals = 8;

} // namespace

void DaemonProcess::OnModelRequest(RequestId aRequest, const ModelName& aModel)
{
  if (!IsReady()) {
    mWorld.mChecker.OnToldNotRun(aRequest.Value());
    return;
  }
  mModelRequests[aRequest] = ModelRequest{ aModel, 0 };
  RequestFacts facts;
  facts.mId = aRequest;
  facts.mCaller = CallerName("fitter");
  facts.mModel = aModel;
  facts.mPriority = PriorityClass::Interactive;
  facts.mStreaming = true;
  facts.mFingerprint = Digest{ 1, aRequest.Value() };
  facts.mDeadline = Now() + kDeadline;
  Perform(mRouter->Admit(Now(), facts));
}

void DaemonProcess::OnOrderRequest(const std::string& aKey,
                                   std::uint64_t aSubmission)
{
  if (!IsReady()) {
    AnswerCaller answer;
    answer.mOutcome = RunOutcome::NotRun;
    mWorld.OnOrderAnswered(aKey, answer, aSubmission);
    return;
  }
  ClaimFacts facts;
  facts.mKey = LedgerKey{ CallerName("fitter"), IdempotencyKey(aKey) };
  facts.mContent = ComputeDigest(aKey);
  facts.mClaimant = ClaimantId{ DaemonName(Name()), mClaimant };
  facts.mAttempt = aSubmission;
  Flow& flow = mFlows[aSubmission];
  flow.mFlow = std::make_unique<ClaimFlow>(facts);
  flow.mKey = aKey;
  PerformFlow(aSubmission, flow.mFlow->Start());
}

void DaemonProcess::HandleFlow(std::uint64_t aSubmission,
                               const ClaimEvent& aEvent)
{
  const auto it = mFlows.find(aSubmission);
  if (it == mFlows.end() || !mWorld.mSim.IsAlive(mId)) {
    return;
  }
  PerformFlow(aSubmission, it->second.mFlow->Handle(aEvent));
  const auto after = mFlows.find(aSubmission);
  if (after != mFlows.end() && after->second.mFlow->IsFinished()) {
    mFlows.erase(after);
  }
}

void DaemonProcess::PerformFlow(std::uint64_t aSubmission,
                                const ClaimEffects& aEffects)
{
  for (const ClaimEffect& effect : aEffects) {
    if (!mWorld.mSim.IsAlive(mId)) {
      return;
    }
    if (const auto* claim = std::get_if<ProposeClaim>(&effect)) {
      Ask(Step::Claim, Command(LedgerCommand(claim->mCommand)),
          [this, aSubmission](const AskResult& aResult) {
            if (aResult.mEnd == AskEnd::Decided) {
              HandleFlow(aSubmission, ClaimDecided{ aResult.mLedger });
            } else if (aResult.mEnd == AskEnd::Refused) {
              HandleFlow(aSubmission, ClaimRefused{});
            } else {
              HandleFlow(aSubmission, ClaimUncertain{});
            }
          });
    } else if (const auto* settle = std::get_if<ProposeSettle>(&effect)) {
      ProposeSettling(aSubmission, settle->mCommand);
    } else if (std::holds_alternative<DispatchRequest>(effect)) {
      AdmitOrder(aSubmission);
    } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
      AnswerCaller said = *answer;
      if (mWorld.mMutation == Mutation::SaysNotRunAfterDispatch &&
          said.mStatus == 502) {
        said.mOutcome = RunOutcome::NotRun;
      }
      mWorld.OnOrderAnswered(mFlows.at(aSubmission).mKey, said, aSubmission);
    } else if (const auto* pause = std::get_if<StartRetryPause>(&effect)) {
      mWorld.mSim.After(mId, pause->mPause, [this, aSubmission] {
        HandleFlow(aSubmission, RetryPauseOver{});
      });
    } else {
      mClaimant = mWorld.NextNumber();
    }
  }
}

void DaemonProcess::ProposeSettling(std::uint64_t aSubmission,
                                    const LedgerCommand& aCommand)
{
  Step step = Step::Complete;
  if (std::holds_alternative<ReleaseKey>(aCommand)) {
    step = Step::Release;
  } else if (std::holds_alternative<AbandonKey>(aCommand)) {
    step = Step::Abandon;
  }
  if (mWorld.mMutation == Mutation::NeverSettles && step == Step::Complete) {
    return;
  }
  Ask(step, Command(aCommand), [this, aSubmission](const AskResult& aResult) {
    if (aResult.mEnd == AskEnd::Decided) {
      HandleFlow(aSubmission, SettleDecided{ aResult.mLedger.mVerdict });
    } else {
      HandleFlow(aSubmission, SettleUncertain{});
    }
  });
}

void DaemonProcess::AdmitOrder(std::uint64_t aSubmission)
{
  RequestFacts facts;
  facts.mId = RequestId(mWorld.NextNumber());
  facts.mCaller = CallerName("fitter");
  facts.mService = ServiceName("orders");
  facts.mPriority = PriorityClass::Interactive;
  facts.mIdempotent = false;
  facts.mFingerprint = Digest{ 2, aSubmission };
  mOrderRequests[facts.mId] = aSubmission;
  Perform(mRouter->Admit(Now(), facts));
}

void DaemonProcess::EndFlowRequest(RequestId aRequest, const ClaimEvent& aEvent)
{
  const auto it = mOrderRequests.find(aRequest);
  if (it == mOrderRequests.end()) {
    return;
  }
  const std::uint64_t submission = it->second;
  mOrderRequests.erase(it);
  // Not within the call that caused it.
  mWorld.mSim.After(mId, Duration::zero(), [this, submission, aEvent] {
    HandleFlow(submission, aEvent);
  });
}

void DaemonProcess::Perform(const RouterEffects& aEffects)
{
  for (const RouterEffect& effect : aEffects) {
    if (!mWorld.mSim.IsAlive(mId)) {
      return;
    }
    if (const auto* dispatch = std::get_if<DispatchAttempt>(&effect)) {
      Dispatch(*dispatch);
    } else if (const auto* refuse = std::get_if<RefuseRequest>(&effect)) {
      if (mModelRequests.erase(refuse->mRequest) != 0) {
        mWorld.mChecker.OnToldNotRun(refuse->mRequest.Value());
      }
      EndFlowRequest(refuse->mRequest, NoTargetLeft{});
    } else if (const auto* fail = std::get_if<FailRequest>(&effect)) {
      const bool wasCut = mModelRequests.erase(fail->mRequest) != 0;
      if (wasCut && mWorld.mMutation == Mutation::EndsCutAnswer) {
        mWorld.mChecker.OnWhole(fail->mRequest);
      }
      EndFlowRequest(fail->mRequest, ConnectionBroke{});
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
      CloseConnection(cancel->mAttempt);
    }
  }
}

void DaemonProcess::Dispatch(const DispatchAttempt& aEffect)
{
  mAttempts[aEffect.mAttempt] = Attempt{ aEffect.mRequest, aEffect.mTarget, 0 };
  Work work;
  work.mDaemon = mIndex;
  work.mBoot = mBoot;
  work.mAttempt = aEffect.mAttempt;
  work.mRequest = aEffect.mRequest;
  work.mSubmission = aEffect.mRequest.Value();
  work.mSentAt = mWorld.mSim.Now();
  work.mForth = std::make_shared<Stream>();
  work.mBack = std::make_shared<Stream>();
  Step step = Step::AttemptDispatch;
  const auto refused = [this, boot = mBoot, attempt = aEffect.mAttempt] {
    if (boot == mBoot) {
      Refused(attempt);
    }
  };
  if (const auto it = mOrderRequests.find(aEffect.mRequest);
      it != mOrderRequests.end()) {
    step = Step::OrderDispatch;
    work.mSubmission = it->second;
    work.mKey = mFlows.at(it->second).mKey;
    if (it->second % kRefusals == 0) {
      mWorld.mSim.After(mId, 1ms, refused);
      return;
    }
  } else {
    work.mModel = mModelRequests.at(aEffect.mRequest).mModel;
  }
  TargetProcess* target = mWorld.FindTarget(aEffect.mTarget);
  mWorld.mSim.SendOn(
    work.mForth, step, mId, target->Id(),
    [target, work] { target->OnWork(work); }, refused);
  OnTimeout(aEffect.mAttempt, 0);
}

void DaemonProcess::OnTimeout(AttemptId aAttempt, std::uint32_t aChunks)
{
  mWorld.mSim.After(mId, kAttemptTimeout, [this, aAttempt, aChunks] {
    const auto it = mAttempts.find(aAttempt);
    if (it == mAttempts.end()) {
      return;
    }
    if (it->second.mChunks > aChunks) {
      OnTimeout(aAttempt, it->second.mChunks);
      return;
    }
    EndAttempt(aAttempt, AttemptEnd::TimedOut);
  });
}

void DaemonProcess::Refused(AttemptId aAttempt)
{
  EndAttempt(aAttempt, AttemptEnd::ConnectRefused);
}

void DaemonProcess::OnRejected(std::uint64_t aBoot, AttemptId aAttempt)
{
  if (aBoot == mBoot) {
    EndAttempt(aAttempt, AttemptEnd::Rejected);
  }
}

void DaemonProcess::OnBroken(std::uint64_t aBoot, AttemptId aAttempt)
{
  if (aBoot == mBoot) {
    EndAttempt(aAttempt, AttemptEnd::ConnectionLost);
  }
}

void DaemonProcess::EndAttempt(AttemptId aAttempt, AttemptEnd aEnd)
{
  const auto it = mAttempts.find(aAttempt);
  if (it == mAttempts.end()) {
    return;
  }
  const Attempt attempt = it->second;
  mAttempts.erase(it);
  const bool isOrder = mOrderRequests.contains(attempt.mRequest);
  if (isOrder) {
    ClaimEvent event = ConnectionBroke{};
    if (aEnd == AttemptEnd::ConnectRefused || aEnd == AttemptEnd::Rejected) {
      event = ConnectFailed{};
    } else if (aEnd == AttemptEnd::TimedOut) {
      event = AnswerTimedOut{};
    }
    if (aEnd == AttemptEnd::ConnectionLost &&
        mWorld.mMutation == Mutation::RetriesOrder) {
      const std::uint64_t submission = mOrderRequests.at(attempt.mRequest);
      mOrderRequests.erase(attempt.mRequest);
      AdmitOrder(submission);
    } else {
      EndFlowRequest(attempt.mRequest, event);
    }
  }
  Perform(mRouter->OnFinished(Now(), aAttempt, aEnd, attempt.mChunks > 0));
}

void DaemonProcess::CloseConnection(AttemptId aAttempt)
{
  const auto it = mAttempts.find(aAttempt);
  if (it == mAttempts.end()) {
    return;
  }
  const Attempt attempt = it->second;
  mAttempts.erase(it);
  TargetProcess* target = mWorld.FindTarget(attempt.mTarget);
  mWorld.mSim.Send(std::nullopt, mId, target->Id(),
                   [target, index = mIndex, boot = mBoot, aAttempt] {
                     target->OnCancel(index, boot, aAttempt);
                   });
  EndFlowRequest(attempt.mRequest, AnswerTimedOut{});
}

void DaemonProcess::OnChunk(std::uint64_t aBoot, AttemptId aAttempt,
                            RequestId aWritten, std::uint32_t aNumber)
{
  if (aBoot != mBoot || !mAttempts.contains(aAttempt)) {
    return;
  }
  if (aNumber == 0) {
    Perform(mRouter->OnFirstByte(Now(), aAttempt));
  }
  const auto it = mAttempts.find(aAttempt);
  if (it == mAttempts.end()) {
    return;
  }
  ++it->second.mChunks;
  RequestId receiver = it->second.mRequest;
  if (mWorld.mMutation == Mutation::CrossesAnswers) {
    receiver = mModelRequests.begin()->first;
  }
  mWorld.mChecker.OnChunk(receiver, aWritten, aNumber);
  mRouter->OnTokens(Now(), aAttempt, 1);
}

void DaemonProcess::OnAnswerEnd(std::uint64_t aBoot, AttemptId aAttempt)
{
  const auto it = mAttempts.find(aAttempt);
  if (aBoot != mBoot || it == mAttempts.end()) {
    return;
  }
  const RequestId request = it->second.mRequest;
  mAttempts.erase(it);
  mModelRequests.erase(request);
  mWorld.mChecker.OnWhole(request);
  Perform(mRouter->OnFinished(Now(), aAttempt, AttemptEnd::Whole, true));
}

void DaemonProcess::OnOrderAnswer(std::uint64_t aBoot, AttemptId aAttempt,
                                  const std::string& aBody)
{
  const auto it = mAttempts.find(aAttempt);
  if (aBoot != mBoot || it == mAttempts.end()) {
    return;
  }
  const RequestId request = it->second.mRequest;
  mAttempts.erase(it);
  AnswerArrived arrived;
  arrived.mAnswer = StoredAnswer{ 200, "text/plain", aBody, false };
  EndFlowRequest(request, arrived);
  Perform(mRouter->OnFinished(Now(), aAttempt, AttemptEnd::Whole, true));
}

} // namespace carobtide::matrix
