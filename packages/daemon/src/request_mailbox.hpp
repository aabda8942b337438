#pragma once

/**
 * @file
 * What reaches the coroutine that serves one request.
 */

#include "carobtide/routing.hpp"
#include "carobtide/transport.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <variant>

namespace carobtide {

/** The head of an attempt's answer arrived; its body is still to be read. */
struct AttemptAnswered
{
  AttemptId mAttempt;
  HttpResponseHead mHead;
};

/** An attempt ended before the head of an answer. */
struct AttemptFailed
{
  AttemptId mAttempt;
  AttemptEnd mEnd = AttemptEnd::ConnectionLost;
  Error mError;
};

/** The caller closed its connection. */
struct CallerClosed
{};

using RequestMessage =
  std::variant<DispatchAttempt, RefuseRequest, CancelAttempt, FailRequest,
               AttemptAnswered, AttemptFailed, CallerClosed>;

/**
 * A queue of messages to one coroutine.
 *
 * Thread safety: Push from any thread; Next from the owning coroutine.
 */
class RequestMailbox : public std::enable_shared_from_this<RequestMailbox>
{
public:
  explicit RequestMailbox(const boost::asio::any_io_executor& aExecutor);

  void Push(RequestMessage aMessage);

  /** Waits for the next message. */
  boost::asio::awaitable<RequestMessage> Next();

private:
  boost::asio::steady_timer mSignal;
  std::deque<RequestMessage> mMessages;
};

} // namespace carobtide
