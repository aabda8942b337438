// The organisation of a request: its key while the request waits, and what it
// takes from the organisation's allowance.
#include "edge_request.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace carobtide {

using boost::asio::awaitable;

namespace {

constexpr std::uint16_t kUnauthorized = 401;
constexpr std::uint16_t kTooManyRequests = 429;
constexpr std::uint16_t kBadGateway = 502;

/** A request waits for credit for its objective / divisor, within bounds. */
constexpr int kAllowanceWaitDivisor = 10;
constexpr Duration kMinAllowanceWait = std::chrono::milliseconds(20);
constexpr Duration kMaxAllowanceWait = std::chrono::milliseconds(300);

Credit CostOf(const Allowance& aAllowance, const CallerRequest& aCaller)
{
  if (aAllowance.mUnit == AllowanceUnit::Requests) {
    return 1;
  }
  return aCaller.mStatesTokens
           ? Credit{ aCaller.mPromptTokens } + aCaller.mAnswerTokens
           : static_cast<Credit>(std::ceil(aAllowance.mPlainTokens));
}

} // namespace

awaitable<bool> EdgeRequest::TakeAllowance()
{
  mIsCharged = true;
  // Keeps the organisation while the request waits for credit.
  const auto organisations = mContext.mOrganisations;
  const Organisation* organisation =
    mContext.mAllowance == nullptr || !organisations || mIdentity.mIsPublic
      ? nullptr
      : organisations->Find(mIdentity.mOrganisation);
  if (organisation == nullptr || !organisation->IsLimited()) {
    co_return true;
  }
  const Credit cost = CostOf(*organisation->mAllowance, mCaller);
  const Duration patience =
    std::clamp<Duration>(mRoute.mObjective / kAllowanceWaitDivisor,
                         kMinAllowanceWait, kMaxAllowanceWait);
  auto taking = mContext.mAllowance->Take(*organisation, cost, patience);
  const AllowanceDecision decision = co_await std::move(taking);
  if (decision.mIsAllowed) {
    mCost = cost;
    co_return true;
  }
  if (IsKeyWithdrawn()) {
    auto refusing = RefuseKey();
    co_await std::move(refusing);
    co_return false;
  }
  mRefusal = RefusalReason::Allowance;
  mTrail.OnOverAllowance(mIdentity.mOrganisation, cost, decision);
  auto answering =
    Answer(kTooManyRequests, decision.mRetryAfter, "the allowance is used up");
  co_await std::move(answering);
  co_return false;
}

bool EdgeRequest::IsKeyWithdrawn()
{
  if (mIsKeyWithdrawn || mOrganisations == mContext.mOrganisations) {
    return mIsKeyWithdrawn;
  }
  const auto before = std::exchange(mOrganisations, mContext.mOrganisations);
  CallerIdentity now =
    mIsRelayed && before
      ? RenewRelayedIdentity(*before, *mOrganisations, mRoute, mIdentity)
      : RenewIdentity(*mOrganisations, mCaller, mRoute, mIdentity);
  if (!now.mIsAccepted) {
    mIsKeyWithdrawn = true;
    return true;
  }
  if (!mIsRelayed && !mMayHaveRun &&
      now.mOrganisation != mIdentity.mOrganisation) {
    ReturnCost();
    mIsCharged = false;
  }
  mIdentity = std::move(now);
  mState.mFacts.mPriority = mIdentity.mPriority.value_or(mRoute.mPriority);
  mState.mFacts.mOrganisation = mIdentity.mOrganisation;
  return false;
}

awaitable<void> EdgeRequest::RefuseKey()
{
  if (mIsRelayed) {
    auto refusing = Refuse(MakeRejection("keys of the organisation changed"));
    co_await std::move(refusing);
    co_return;
  }
  mRefusal = RefusalReason::Key;
  std::string reason = "the key was withdrawn";
  auto answering =
    Answer(mState.mRuns == mRunsBefore ? kUnauthorized : kBadGateway,
           Duration::zero(), std::move(reason));
  co_await std::move(answering);
}

void EdgeRequest::ReturnCost()
{
  if (mCost > 0 && !mMayHaveRun && mState.mRuns == mRunsBefore) {
    mContext.mAllowance->Return(mIdentity.mOrganisation,
                                std::exchange(mCost, 0));
  }
}

} // namespace carobtide
