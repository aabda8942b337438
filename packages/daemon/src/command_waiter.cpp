#include "command_waiter.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace carobtide {

namespace asio = boost::asio;

CommandWaiter::CommandWaiter(const asio::any_io_executor& aExecutor)
  : mTimer(aExecutor)
{
}

asio::awaitable<std::optional<ControlOutcome>> CommandWaiter::Wait(
  Duration aTimeout)
{
  const auto self = shared_from_this();
  if (!mWoken) {
    mTimer.expires_after(aTimeout);
    boost::system::error_code ec;
    co_await mTimer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  co_return std::move(mOutcome);
}

void CommandWaiter::Wake(std::optional<ControlOutcome> aOutcome)
{
  asio::post(mTimer.get_executor(),
             [self = shared_from_this(), outcome = std::move(aOutcome)] {
               self->mOutcome = outcome;
               self->mWoken = true;
               self->mTimer.cancel();
             });
}

void CommandWaiters::Add(std::uint64_t aNonce,
                         std::shared_ptr<CommandWaiter> aWaiter)
{
  mWaiters.insert_or_assign(aNonce, std::move(aWaiter));
}

void CommandWaiters::Remove(std::uint64_t aNonce)
{
  mWaiters.erase(aNonce);
}

void CommandWaiters::Wake(std::uint64_t aNonce, const ControlOutcome& aOutcome)
{
  const auto it = mWaiters.find(aNonce);
  if (it != mWaiters.end()) {
    it->second->Wake(aOutcome);
    mWaiters.erase(it);
  }
}

void CommandWaiters::WakeAll()
{
  for (auto& [nonce, waiter] : mWaiters) {
    waiter->Wake(std::nullopt);
  }
  mWaiters.clear();
}

} // namespace carobtide
