#include "../src/tasks.hpp"

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <stdexcept>

namespace carobtide {

namespace asio = boost::asio;

// Guards against loops that end for good by an exception: an edge whose watch
// of a control daemon ended heard nothing from it any more.
TEST_CASE("a loop that fails is run again until it returns")
{
  asio::io_context context;
  int runs = 0;
  SpawnLoop(context.get_executor(), "test", [&]() -> asio::awaitable<void> {
    if (++runs < 3) {
      throw std::runtime_error("failed");
    }
    co_return;
  });
  context.run();
  CHECK(runs == 3);
}

TEST_CASE("a task that fails ends alone")
{
  asio::io_context context;
  int runs = 0;
  for (int n = 0; n < 2; ++n) {
    SpawnTask(context.get_executor(), "test", [&]() -> asio::awaitable<void> {
      ++runs;
      throw 1;
      co_return;
    });
  }
  context.run();
  CHECK(runs == 2);
}

} // namespace carobtide
