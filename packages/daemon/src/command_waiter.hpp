#pragma once

/**
 * @file
 * Calls that wait for their command to be committed and applied.
 */

#include "control_command.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <unordered_map>

namespace carobtide {

/** One waiting call. Wake from any thread, Wait on its executor. */
class CommandWaiter : public std::enable_shared_from_this<CommandWaiter>
{
public:
  explicit CommandWaiter(const boost::asio::any_io_executor& aExecutor);

  /** Waits; nothing if the time is over or leadership was lost. */
  boost::asio::awaitable<std::optional<ControlOutcome>> Wait(Duration aTimeout);

  /** Ends the wait; nothing says that the outcome is unknown. */
  void Wake(std::optional<ControlOutcome> aOutcome);

private:
  boost::asio::steady_timer mTimer;
  std::optional<ControlOutcome> mOutcome;
  bool mWoken = false;
};

/**
 * The waiting calls by nonce.
 *
 * Thread safety: none; the control plane guards it.
 */
class CommandWaiters
{
public:
  void Add(std::uint64_t aNonce, std::shared_ptr<CommandWaiter> aWaiter);
  void Remove(std::uint64_t aNonce);
  void Wake(std::uint64_t aNonce, const ControlOutcome& aOutcome);
  /** Ends every wait with an unknown outcome. */
  void WakeAll();

private:
  std::unordered_map<std::uint64_t, std::shared_ptr<CommandWaiter>> mWaiters;
};

} // namespace carobtide
