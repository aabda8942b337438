#include "carobtide/ledger/claim_flow.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace carobtide {

namespace {

constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kBadGateway = 502;
constexpr std::uint16_t kUnavailable = 503;
constexpr std::uint16_t kGatewayTimeout = 504;

constexpr Duration kRetryAfter = std::chrono::seconds(1);

} // namespace

ClaimFlow::ClaimFlow(ClaimFacts aFacts, ClaimFlowLimits aLimits)
  : mFacts(std::move(aFacts))
  , mLimits(aLimits)
{
}

ClaimEffects ClaimFlow::Start()
{
  assert(mState == ClaimState::Idle);
  mState = ClaimState::Claiming;
  mEffects.emplace_back(
    ProposeClaim{ ClaimKey{ mFacts.mKey, mFacts.mContent, mFacts.mClaimant,
                            mFacts.mAttempt, mFacts.mWallMicros } });
  return std::exchange(mEffects, {});
}

ClaimEffects ClaimFlow::Handle(const ClaimEvent& aEvent)
{
  assert(mState != ClaimState::Idle);
  std::visit([&](const auto& aAlternative) { On(aAlternative); }, aEvent);
  return std::exchange(mEffects, {});
}

void ClaimFlow::On(const ClaimDecided& aEvent)
{
  if (mState != ClaimState::Claiming) {
    return;
  }
  if (aEvent.mOutcome.mVerdict == LedgerVerdict::Granted) {
    Granted();
    return;
  }
  mState = ClaimState::Finished;
  switch (aEvent.mOutcome.mVerdict) {
    case LedgerVerdict::Replay:
      AnswerWithStored(aEvent.mOutcome.mAnswer.value_or(StoredAnswer{}));
      break;
    case LedgerVerdict::Unknown:
      Refuse(kConflict, RunOutcome::Unknown,
             "an earlier attempt under this key has no known outcome");
      break;
    case LedgerVerdict::Conflict:
      Refuse(kConflict, RunOutcome::NotRun,
             "the key was used with other content");
      break;
    case LedgerVerdict::Full:
      Refuse(kUnavailable, RunOutcome::NotRun, "the ledger is full",
             kRetryAfter);
      break;
    default:
      mEffects.emplace_back(RenewClaimant{});
      Refuse(kUnavailable, RunOutcome::NotRun, "the claim was not granted",
             kRetryAfter);
      break;
  }
}

void ClaimFlow::Granted()
{
  if (mCallerIsThere) {
    mState = ClaimState::Dispatching;
    Dispatch();
  } else {
    BeginSettle(ClaimState::Releasing);
  }
}

void ClaimFlow::On(const ClaimRefused& /*aEvent*/)
{
  if (mState == ClaimState::Claiming) {
    mState = ClaimState::Finished;
    Refuse(kUnavailable, RunOutcome::NotRun, "no quorum", kRetryAfter);
  }
}

void ClaimFlow::On(const ClaimUncertain& /*aEvent*/)
{
  if (mState == ClaimState::Claiming) {
    Refuse(kUnavailable, RunOutcome::NotRun,
           "the claim was not confirmed in time", kRetryAfter);
    BeginSettle(ClaimState::Releasing);
  }
}

void ClaimFlow::On(const ConnectFailed& /*aEvent*/)
{
  if (mState != ClaimState::Dispatching) {
    return;
  }
  if (mConnects < mLimits.mMaxConnects && mCallerIsThere) {
    Dispatch();
  } else {
    On(NoTargetLeft{});
  }
}

void ClaimFlow::On(const NoTargetLeft& /*aEvent*/)
{
  if (mState == ClaimState::Dispatching) {
    mPending = AnswerCaller{ kUnavailable, RunOutcome::NotRun,
                             "no target accepted the connection", std::nullopt,
                             kRetryAfter };
    BeginSettle(ClaimState::Releasing);
  }
}

void ClaimFlow::On(const AnswerArrived& aEvent)
{
  if (mState == ClaimState::Dispatching) {
    mRunAnswer = aEvent.mAnswer;
    mPending = AnswerCaller{ mRunAnswer.mStatus, RunOutcome::Ran, "",
                             mRunAnswer, Duration::zero() };
    BeginSettle(ClaimState::Completing);
  }
}

void ClaimFlow::On(const ConnectionBroke& /*aEvent*/)
{
  if (mState == ClaimState::Dispatching) {
    Refuse(kBadGateway, RunOutcome::Unknown,
           "the connection broke before the answer was whole");
    BeginSettle(ClaimState::Abandoning);
  }
}

void ClaimFlow::On(const AnswerTimedOut& /*aEvent*/)
{
  if (mState == ClaimState::Dispatching) {
    Refuse(kGatewayTimeout, RunOutcome::Unknown,
           "the answer did not arrive in time");
    BeginSettle(ClaimState::Abandoning);
  }
}

void ClaimFlow::On(const SettleDecided& /*aEvent*/)
{
  // Stale settles as well: another command decided the key for good.
  if (IsSettling()) {
    GivePendingAnswer();
    mState = ClaimState::Finished;
  }
}

void ClaimFlow::On(const SettleUncertain& /*aEvent*/)
{
  if (!IsSettling()) {
    return;
  }
  GivePendingAnswer();
  mPause = mPause == Duration::zero()
             ? mLimits.mRetryPause
             : std::min(2 * mPause, mLimits.mMaxRetryPause);
  mEffects.emplace_back(StartRetryPause{ mPause });
}

void ClaimFlow::On(const RetryPauseOver& /*aEvent*/)
{
  if (IsSettling()) {
    ProposeSettling();
  }
}

void ClaimFlow::On(const CallerLeft& /*aEvent*/)
{
  mCallerIsThere = false;
}

void ClaimFlow::Dispatch()
{
  ++mConnects;
  mEffects.emplace_back(DispatchRequest{});
}

void ClaimFlow::AnswerWithStored(const StoredAnswer& aAnswer)
{
  if (aAnswer.mBodyOmitted) {
    // The stored status without its body could pass for the whole answer.
    Refuse(kConflict, RunOutcome::Ran,
           "ran once with status " + std::to_string(aAnswer.mStatus) +
             "; its answer was too large to keep");
    return;
  }
  Answer(AnswerCaller{ aAnswer.mStatus, RunOutcome::Ran, "", aAnswer,
                       Duration::zero() });
}

void ClaimFlow::Refuse(std::uint16_t aStatus, RunOutcome aOutcome,
                       std::string aDetail, Duration aRetryAfter)
{
  Answer(AnswerCaller{ aStatus, aOutcome, std::move(aDetail), std::nullopt,
                       aRetryAfter });
}

void ClaimFlow::GivePendingAnswer()
{
  if (mPending) {
    Answer(std::move(*mPending));
    mPending.reset();
  }
}

void ClaimFlow::Answer(AnswerCaller aAnswer)
{
  if (mCallerIsThere) {
    mEffects.emplace_back(std::move(aAnswer));
  }
}

void ClaimFlow::BeginSettle(ClaimState aState)
{
  mState = aState;
  ProposeSettling();
}

void ClaimFlow::ProposeSettling()
{
  ++mSettleProposals;
  mEffects.emplace_back(ProposeSettle{ SettlingCommand() });
}

LedgerCommand ClaimFlow::SettlingCommand()
{
  assert(IsSettling());
  if (mState == ClaimState::Releasing) {
    return ReleaseKey{ mFacts.mKey, mFacts.mClaimant, mFacts.mAttempt };
  }
  if (mState == ClaimState::Abandoning) {
    return AbandonKey{ mFacts.mKey, mFacts.mClaimant, mFacts.mAttempt };
  }
  if (mSettleProposals > mLimits.mMaxBodyProposals) {
    // Frees the memory of flows that wait for a quorum.
    mRunAnswer = StoredAnswer{ mRunAnswer.mStatus, "", "", true };
  }
  return CompleteKey{ mFacts.mKey, mFacts.mClaimant, mFacts.mAttempt,
                      mRunAnswer };
}

bool ClaimFlow::IsSettling() const
{
  return mState == ClaimState::Completing || mState == ClaimState::Releasing ||
         mState == ClaimState::Abandoning;
}

} // namespace carobtide
