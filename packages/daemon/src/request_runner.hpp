#pragma once

/**
 * @file
 * Serves one idempotent request: attempts, hedges, retries, relay.
 */

#include "attempt.hpp"
#include "context.hpp"
#include "event_stream.hpp"

#include <map>
#include <memory>

namespace carobtide {

/**
 * Runs one request from admission to its answer. A stream that breaks off is
 * resumed by another attempt after the last whole event that was delivered;
 * where that is not possible it ends as a broken connection.
 *
 * Thread safety: one coroutine on the exchange's executor.
 */
class RequestRunner
{
public:
  RequestRunner(DaemonContext& aContext, HttpExchange& aExchange,
                std::shared_ptr<const ForwardPlan> aPlan);
  /** Cancels attempts that still run. */
  ~RequestRunner();

  /** Answers the exchange, unless the caller goes away before. */
  boost::asio::awaitable<void> Run();

private:
  using AttemptPtr = std::shared_ptr<Attempt>;

  boost::asio::awaitable<void> Handle(DispatchAttempt aDispatch);
  boost::asio::awaitable<void> Handle(RefuseRequest aRefusal);
  boost::asio::awaitable<void> Handle(CancelAttempt aCancel);
  boost::asio::awaitable<void> Handle(FailRequest aFailure);
  boost::asio::awaitable<void> Handle(AttemptAnswered aAnswer);
  boost::asio::awaitable<void> Handle(AttemptFailed aFailure);
  boost::asio::awaitable<void> Handle(CallerClosed aClosed);

  boost::asio::awaitable<void> RelayWhole(AttemptPtr aAttempt,
                                          HttpResponseHead aHead);
  boost::asio::awaitable<void> RelayStream(AttemptPtr aAttempt,
                                           HttpResponseHead aHead);
  boost::asio::awaitable<AttemptEnd> CopyStream(Attempt& aAttempt);
  boost::asio::awaitable<bool> Deliver(std::string_view aBytes);
  boost::asio::awaitable<void> EndStream(AttemptPtr aAttempt);
  boost::asio::awaitable<void> EndWithError(const Error& aError,
                                            Duration aRetryAfter);
  bool MayResume(AttemptEnd aEnd) const;
  /** True if an answer with this head can be the rest of a begun stream. */
  static bool CanGoOn(const HttpResponseHead& aHead);
  HttpResponseHead CallerHead(const HttpResponseHead& aHead) const;
  void FinishRelay(Attempt& aAttempt, AttemptEnd aEnd);
  void WatchCaller();
  void CancelOthers(AttemptId aWinner);
  bool WasAnySent() const;
  void RecordEvent(EventStep aStep, std::string aPeer, std::string aDetail);

  DaemonContext& mContext;
  HttpExchange& mExchange;
  std::shared_ptr<const ForwardPlan> mPlan;
  std::shared_ptr<RequestMailbox> mMailbox;
  std::map<AttemptId, AttemptPtr> mAttempts;
  AttemptPtr mRelaying;
  /** Set once the head of a stream went to the caller. */
  bool mStreamBegun = false;
  EventStream mStream;
  Instant mArrivedAt;
  bool mDone = false;
};

} // namespace carobtide
