#pragma once

/**
 * @file
 * Coroutines that run beside others and are not waited for.
 */

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string_view>

namespace carobtide {

using Task = std::function<boost::asio::awaitable<void>()>;

/**
 * Runs a task. An exception that ends it is logged as `task.failed` under its
 * name, a literal. Thread safety: any thread; the task runs on the executor.
 */
void SpawnTask(const boost::asio::any_io_executor& aExecutor,
               std::string_view aName, Task aTask);

/**
 * The same for a task that the daemon cannot do without: after a failure it is
 * run again, after a pause. It ends when it returns.
 */
void SpawnLoop(const boost::asio::any_io_executor& aExecutor,
               std::string_view aName, Task aTask);

} // namespace carobtide
