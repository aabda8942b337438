#include "request_mailbox.hpp"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace carobtide {

namespace asio = boost::asio;

RequestMailbox::RequestMailbox(const asio::any_io_executor& aExecutor)
  : mSignal(aExecutor, asio::steady_timer::time_point::max())
{
}

void RequestMailbox::Push(RequestMessage aMessage)
{
  asio::dispatch(
    mSignal.get_executor(),
    [self = shared_from_this(), message = std::move(aMessage)]() mutable {
      self->mMessages.push_back(std::move(message));
      self->mSignal.cancel();
    });
}

asio::awaitable<RequestMessage> RequestMailbox::Next()
{
  const auto self = shared_from_this();
  while (mMessages.empty()) {
    boost::system::error_code ec;
    co_await mSignal.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  RequestMessage message = std::move(mMessages.front());
  mMessages.pop_front();
  co_return message;
}

} // namespace carobtide
