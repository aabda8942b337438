#include "tasks.hpp"

#include "carobtide/daemon/logging.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <exception>
#include <memory>
#include <string>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;

namespace {

/** Keeps a task that fails at once from using up the processor and the log. */
constexpr auto kRestartPause = std::chrono::milliseconds(200);

void LogFailure(std::string_view aName, const std::exception_ptr& aFailure)
{
  std::string reason = "unknown exception";
  try {
    std::rethrow_exception(aFailure);
  } catch (const std::exception& exception) {
    reason = exception.what();
  } catch (...) {
    // The line says that the reason is unknown.
  }
  Log(LogLevel::Error, { "task.failed", aName, {}, {}, reason });
}

} // namespace

void SpawnTask(const asio::any_io_executor& aExecutor, std::string_view aName,
               Task aTask)
{
  asio::co_spawn(aExecutor, std::move(aTask),
                 [aName](const std::exception_ptr& aFailure) {
                   if (aFailure) {
                     LogFailure(aName, aFailure);
                   }
                 });
}

void SpawnLoop(const asio::any_io_executor& aExecutor, std::string_view aName,
               Task aTask)
{
  asio::co_spawn(aExecutor, aTask,
                 [aExecutor, aName, aTask](const std::exception_ptr& aFailure) {
                   if (!aFailure) {
                     return;
                   }
                   LogFailure(aName, aFailure);
                   const auto timer = std::make_shared<asio::steady_timer>(
                     aExecutor, kRestartPause);
                   timer->async_wait([timer, aExecutor, aName, aTask](
                                       const boost::system::error_code& aCode) {
                     if (!aCode) {
                       SpawnLoop(aExecutor, aName, aTask);
                     }
                   });
                 });
}

} // namespace carobtide
