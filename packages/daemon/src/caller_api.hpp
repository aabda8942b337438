#pragma once

/**
 * @file
 * The HTTP interface towards callers and targets.
 */

#include "attempt.hpp"
#include "context.hpp"

namespace carobtide {

/**
 * Answers requests on the callers' port: completions, models, services, and
 * the announcements of targets.
 *
 * Thread safety: Handle from any worker, concurrently.
 */
class CallerApi
{
public:
  explicit CallerApi(DaemonContext& aContext);

  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);

private:
  /** A request that may be run, under the bundle that it was checked with. */
  struct CheckedRequest
  {
    std::shared_ptr<const Bundle> mBundle;
    std::shared_ptr<const ForwardPlan> mPlan;
  };
  using Planner = Result<std::shared_ptr<const ForwardPlan>> (*)(
    const Bundle&, const CallerSpec&, const HttpRequest&, RequestId);

  boost::asio::awaitable<void> ServeCompletion(HttpExchange& aExchange);
  boost::asio::awaitable<void> ServeService(HttpExchange& aExchange);
  boost::asio::awaitable<void> RunRequest(
    HttpExchange& aExchange, std::shared_ptr<const ForwardPlan> aPlan);
  Result<CheckedRequest> Check(const HttpRequest& aRequest, RequestId aId,
                               Planner aPlanner) const;
  boost::asio::awaitable<void> RunOrder(
    HttpExchange& aExchange, std::shared_ptr<const ForwardPlan> aPlan);
  boost::asio::awaitable<void> Refuse(HttpExchange& aExchange, Error aError,
                                      RequestId aRequest);
  HttpResponse ListModels(const HttpRequest& aRequest);
  HttpResponse TakeAnnouncement(const HttpExchange& aExchange);
  HttpResponse TakeCacheEvents(const HttpExchange& aExchange);

  RequestId NextRequestId();
  /** The bundle in force, or NoCapacity. */
  Result<std::shared_ptr<const Bundle>> GetBundle() const;

  DaemonContext& mContext;
};

} // namespace carobtide
