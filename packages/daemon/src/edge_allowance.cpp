#include "edge_allowance.hpp"

#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/** Between reports while credit is held or was used lately. */
constexpr Duration kReportInterval = std::chrono::milliseconds(100);
constexpr Duration kIdleInterval = std::chrono::milliseconds(500);
/** The same while requests wait for credit: a report may be lost. */
constexpr Duration kWaitingInterval = std::chrono::milliseconds(20);
/**
 * A request waits for so many times its patience in all if no home has answered
 * since it arrived: another one grants credit by then.
 */
constexpr int kSilentPatienceFactor = 3;
/** Pause for callers that were refused because no home answered. */
constexpr Duration kSilentRetry = std::chrono::milliseconds(200);
/** Least time between two reports. */
constexpr Duration kMinInterval = std::chrono::milliseconds(5);

} // namespace

EdgeAllowance::EdgeAllowance(asio::any_io_executor aExecutor, Endpoint aSelf,
                             double aSlack, std::uint64_t aSeed, Send aSend)
  : mExecutor(std::move(aExecutor))
  , mTimer(mExecutor)
  , mSlack(aSlack)
  , mSend(std::move(aSend))
  , mAccount({ std::move(aSelf), false, std::chrono::milliseconds(300), aSeed })
  , mQueue(mAccount)
{
}

void EdgeAllowance::SetCatalog(const Catalog& aCatalog)
{
  const auto isLimited = [&](const OrganisationName& aName) {
    return std::ranges::any_of(aCatalog.mOrganisations,
                               [&](const Organisation& aIt) {
                                 return aIt.mName == aName && aIt.IsLimited();
                               });
  };
  mAccount.Retain(isLimited);
  const bool wasOn = mIsOn;
  mIsOn =
    std::ranges::any_of(aCatalog.mOrganisations, &Organisation::IsLimited);
  if (mIsOn && !wasOn) {
    ReportSoon();
  }
}

void EdgeAllowance::SetHomes(const std::optional<Endpoint>& aHome,
                             const std::optional<Endpoint>& aStandby)
{
  mGranters.SetHomes(SteadyNow(), aHome, aStandby);
  UseGranter();
}

void EdgeAllowance::UseGranter()
{
  const std::optional<Endpoint>& granter = mGranters.Granter();
  if (granter == mAccount.Granter()) {
    return;
  }
  mAccount.SetGranter(granter, 0, false);
  ReportSoon();
  if (mIsOn) {
    const std::string name = granter ? granter->ToString() : "none";
    Log(LogLevel::Info, { "credit.granter", name, {}, {}, {} });
  }
}

void EdgeAllowance::OnReply(const CreditReply& aReply)
{
  if (mAccount.OnReply(SteadyNow(), aReply)) {
    mGranters.OnReply();
    ServeWaiting();
  }
}

void EdgeAllowance::ServeWaiting()
{
  for (const std::uint64_t ticket : mQueue.Serve(SteadyNow())) {
    if (const auto it = mWaiters.find(ticket); it != mWaiters.end()) {
      it->second->mIsGranted = true;
      it->second->mTimer->cancel();
    }
  }
}

void EdgeAllowance::ReportSoon()
{
  mIsUrgent = true;
  mTimer.cancel();
}

awaitable<void> EdgeAllowance::Run()
{
  while (true) {
    mIsUrgent = false;
    if (mIsOn) {
      if (mGranters.Update(SteadyNow())) {
        UseGranter();
      }
      if (const auto report = mAccount.MakeReport(SteadyNow())) {
        mSend(*mAccount.Granter(), *report);
        mGranters.OnReport(SteadyNow(), mQueue.Waiting() > 0);
      }
    }
    mTimer.expires_after(kMinInterval);
    co_await mTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!mIsUrgent) {
      const bool isActive = mIsOn && mAccount.IsActive(SteadyNow());
      const Duration interval = mQueue.Waiting() > 0 ? kWaitingInterval
                                : isActive           ? kReportInterval
                                                     : kIdleInterval;
      mTimer.expires_after(interval - kMinInterval);
      co_await mTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }
}

AllowanceDecision EdgeAllowance::MakeDecision(
  const OrganisationName& aOrganisation, bool aIsAllowed) const
{
  const Instant now = SteadyNow();
  AllowanceDecision decision;
  decision.mIsAllowed = aIsAllowed;
  decision.mBalance = mAccount.Balance(now, aOrganisation);
  decision.mReplyAge =
    mAccount.RepliedAt() ? now - *mAccount.RepliedAt() : Duration::max();
  if (!aIsAllowed) {
    decision.mRetryAfter = mQueue.RetryAfter(aOrganisation);
    if (mGranters.Granter() && mGranters.IsSilent(now)) {
      decision.mRetryAfter = std::min(decision.mRetryAfter, kSilentRetry);
    }
  }
  return decision;
}

awaitable<AllowanceDecision> EdgeAllowance::Take(
  const Organisation& aOrganisation, Credit aCost, Duration aPatience)
{
  if (!aOrganisation.IsLimited()) {
    co_return AllowanceDecision{};
  }
  // The catalog may change while the request waits.
  const OrganisationName name = aOrganisation.mName;
  const Instant arrived = SteadyNow();
  const std::uint64_t ticket = mNextTicket++;
  const CreditDecision found =
    mQueue.OnRequest(arrived, ticket, name, aCost,
                     CapacityOf(*aOrganisation.mAllowance, mSlack), aPatience);
  if (found != CreditDecision::Waits) {
    AllowanceDecision decision =
      MakeDecision(name, found == CreditDecision::Granted);
    if (found == CreditDecision::TooLarge) {
      decision.mRetryAfter = Duration::zero();
    }
    co_return decision;
  }
  asio::steady_timer timer(mExecutor, aPatience);
  Waiter waiter{ &timer };
  mWaiters.emplace(ticket, &waiter);
  ReportSoon();
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  const auto repliedAt = mAccount.RepliedAt();
  if (!waiter.mIsGranted && mGranters.Granter() &&
      (!repliedAt || *repliedAt < arrived)) {
    timer.expires_after((kSilentPatienceFactor - 1) * aPatience);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  mWaiters.erase(ticket);
  if (!waiter.mIsGranted) {
    mQueue.Remove(name, ticket);
    // Credit that comes for it would lack elsewhere.
    ReportSoon();
  }
  co_return MakeDecision(name, waiter.mIsGranted);
}

void EdgeAllowance::Return(const OrganisationName& aOrganisation, Credit aCost)
{
  mAccount.Refund(aOrganisation, aCost);
}

} // namespace carobtide
