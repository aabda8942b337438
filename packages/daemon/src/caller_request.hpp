#pragma once

/**
 * @file
 * Reading of callers' requests: who asks, for what, with which limits.
 */

#include "attempt.hpp"

#include "carobtide/bundle.hpp"

#include <memory>
#include <string_view>

namespace carobtide {

/** The caller that a request's bearer token names, or Unauthorized. */
Result<const CallerSpec*> FindCaller(const Bundle& aBundle,
                                     const HttpRequest& aRequest);

/** Plan for a completion request; Malformed, NotFound or Forbidden else. */
Result<std::shared_ptr<const ForwardPlan>> PlanCompletion(
  const Bundle& aBundle, const CallerSpec& aCaller, const HttpRequest& aRequest,
  RequestId aId);

/** Plan for a call of a plain service; same errors. */
Result<std::shared_ptr<const ForwardPlan>> PlanServiceCall(
  const Bundle& aBundle, const CallerSpec& aCaller, const HttpRequest& aRequest,
  RequestId aId);

} // namespace carobtide
