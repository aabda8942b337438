#pragma once

/**
 * @file
 * Admission of requests by the allowance of their organisation.
 */

#include "carobtide/allowance.hpp"
#include "carobtide/catalog/organisation.hpp"

#include <boost/asio/awaitable.hpp>

namespace carobtide {

/** Whether an organisation's allowance bears a request now. */
struct AllowanceDecision
{
  bool mIsAllowed = true;
  /** Time after which it may bear the request; zero if unknown. */
  Duration mRetryAfter{ 0 };
  /** Credit at hand here and age of the last reply, for the log. */
  Credit mBalance = 0;
  Duration mReplyAge{ 0 };
};

/**
 * Takes the cost of requests from allowances, and returns the cost of those
 * that did not run.
 *
 * Thread safety: everything on the edge's one thread.
 */
class AllowanceGate
{
public:
  virtual ~AllowanceGate() = default;

  /**
   * Takes aCost from the organisation's allowance; waits at most aPatience for
   * credit, or three times as long if no home answers meanwhile. Call once for
   * each request of a caller, before its first send. Organisations without an
   * allowance are always allowed and pay nothing.
   */
  virtual boost::asio::awaitable<AllowanceDecision> Take(
    const Organisation& aOrganisation, Credit aCost, Duration aPatience) = 0;

  /** Returns the cost of a request that did not run; at most once each. */
  virtual void Return(const OrganisationName& aOrganisation, Credit aCost) = 0;
};

} // namespace carobtide
