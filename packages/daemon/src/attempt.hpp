#pragma once

/**
 * @file
 * One try of a request on one target.
 */

#include "context.hpp"
#include "request_mailbox.hpp"

#include <memory>
#include <string>

namespace carobtide {

/** What is sent, and how long an attempt may take. */
struct ForwardPlan
{
  RequestFacts mFacts;
  /** As the target gets it, without the headers of the attempt. */
  HttpRequest mRequest;
  /** True for engines: their answers carry the attempt, streams an end mark. */
  bool mIsEngine = true;
};

/**
 * State of an attempt, shared by the coroutine that reads the head of the
 * answer and the one that relays its body.
 *
 * Thread safety: everything on the request's executor.
 */
struct Attempt
{
  DispatchAttempt mDispatch;
  std::unique_ptr<HttpConnection> mConnection;
  bool mCancelled = false;
  /** True once a byte of the request may have reached the target. */
  bool mSent = false;
  /** Tokens that were delivered before this attempt; it continues there. */
  std::uint64_t mResumeOffset = 0;
  /** Whole body, or the first part of a stream. */
  std::string mBody;
  /** True while more of the body is to be read. */
  bool mHasMore = false;

  /** Ends the attempt; whatever still comes from it is dropped. */
  void Cancel();
};

/**
 * Connects, sends, and reads a whole answer or the first part of a stream;
 * then pushes AttemptAnswered or AttemptFailed.
 */
boost::asio::awaitable<void> RunAttempt(
  DaemonContext& aContext, std::shared_ptr<const ForwardPlan> aPlan,
  std::shared_ptr<Attempt> aAttempt, std::shared_ptr<RequestMailbox> aMailbox);

/** Time left until the request's deadline, at least a millisecond. */
Duration TimeLeft(const RequestFacts& aFacts);

} // namespace carobtide
