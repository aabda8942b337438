#pragma once

/**
 * @file
 * Serves one non-idempotent service call: drives a ClaimFlow.
 */

#include "attempt.hpp"
#include "context.hpp"

#include "carobtide/ledger.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace carobtide {

/**
 * Runs one call from its claim to the settled key. It goes on after the
 * caller was answered, until the key is settled.
 *
 * Thread safety: one executor.
 */
class OrderRunner : public std::enable_shared_from_this<OrderRunner>
{
public:
  OrderRunner(DaemonContext& aContext, std::shared_ptr<const ForwardPlan> aPlan,
              ClaimFacts aFacts, const boost::asio::any_io_executor& aExecutor);

  /** Starts in the background and waits for the answer to the caller. */
  boost::asio::awaitable<HttpResponse> Answer();

private:
  boost::asio::awaitable<void> RunFlow();
  boost::asio::awaitable<std::optional<ClaimEvent>> Perform(
    ClaimEffect aEffect);
  boost::asio::awaitable<ClaimEvent> Claim(ProposeClaim aEffect);
  boost::asio::awaitable<ClaimEvent> Settle(ProposeSettle aEffect);
  boost::asio::awaitable<ClaimEvent> Dispatch();
  boost::asio::awaitable<ClaimEvent> RunAttempt(DispatchAttempt aDispatch);
  boost::asio::awaitable<ClaimEvent> Pause(Duration aPause);
  void TakeAnswer(const AnswerCaller& aEffect);
  void Renew();
  ClaimEvent EndAttempt(AttemptId aAttempt, AttemptEnd aEnd, ClaimEvent aEvent);
  void RecordEvent(EventStep aStep, std::string aDetail);

  DaemonContext& mContext;
  std::shared_ptr<const ForwardPlan> mPlan;
  ClaimFlow mFlow;
  std::shared_ptr<RequestMailbox> mMailbox;
  bool mIsOpen = false;
  boost::asio::steady_timer mAnswered;
  std::optional<HttpResponse> mResponse;
};

} // namespace carobtide
