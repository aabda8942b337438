#include "carobtide/transport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace carobtide {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Duration kTimeout = std::chrono::seconds(20);

std::string MakeAnswer(const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

constexpr std::uint64_t kProcess = 7;

/** One request over a pool; the body of its answer. */
asio::awaitable<std::string> Fetch(
  HttpPool& aPool, Endpoint aPeer,
  std::optional<std::uint64_t> aRequestHash = std::nullopt)
{
  auto acquiring = aPool.Acquire(aPeer, kTimeout, aRequestHash);
  auto connection = co_await std::move(acquiring);
  REQUIRE(connection);
  auto sending = (*connection)->Send(HttpRequest{}, kTimeout);
  const auto head = co_await std::move(sending);
  REQUIRE(head);
  auto reading = (*connection)->ReadAll(kMiB, kTimeout);
  const auto body = co_await std::move(reading);
  REQUIRE(body);
  (*connection)->SetPeer({ kProcess, false });
  aPool.Release(aPeer, std::move(*connection));
  co_return *body;
}

/** Reads a request and answers it. */
void Answer(tcp::socket& aSocket, const std::string& aAnswer)
{
  std::string request;
  asio::read_until(aSocket, asio::dynamic_buffer(request), "\r\n\r\n");
  asio::write(aSocket, asio::buffer(aAnswer));
}

/** Accepts a connection, reads a request and answers it. */
tcp::socket Serve(tcp::acceptor& aAcceptor, const std::string& aAnswer)
{
  tcp::socket socket = aAcceptor.accept();
  Answer(socket, aAnswer);
  return socket;
}

} // namespace

// Reported by operators of similar systems: the next caller got such an answer.
TEST_CASE("an answer nobody asked for is not that of the next request")
{
  asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  const Endpoint address{ "127.0.0.1", acceptor.local_endpoint().port() };
  const bool isAtOnce = GENERATE(true, false);
  WorkerPool workers(1);
  workers.Start();
  HttpPool pool;
  const auto fetch = [&] {
    return asio::co_spawn(workers.At(0), Fetch(pool, address),
                          asio::use_future);
  };
  const std::string surplus = MakeAnswer("nobody's");

  auto first = fetch();
  tcp::socket used =
    Serve(acceptor, MakeAnswer("first") + (isAtOnce ? surplus : ""));
  CHECK(first.get() == "first");
  if (!isAtOnce) {
    // On the idle connection, before the next request is sent.
    asio::write(used, asio::buffer(surplus));
  }
  auto second = fetch();
  const tcp::socket next = Serve(acceptor, MakeAnswer("second"));
  CHECK(second.get() == "second");
}

// Guards against a process that is replaced while this one has idle connections
// to it only.
TEST_CASE("an idle connection that its peer ended early tells of its process")
{
  asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  const Endpoint address{ "127.0.0.1", acceptor.local_endpoint().port() };
  WorkerPool workers(1);
  workers.Start();
  HttpPool pool;
  const auto fetch = [&](std::uint64_t aRequestHash) {
    return asio::co_spawn(workers.At(0), Fetch(pool, address, aRequestHash),
                          asio::use_future);
  };
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
  // Ends before the next request, however long it says that it keeps it.
  const auto useAndEnd = [&](int aRequests, const std::string& aFields,
                             Duration aIdle = Duration::zero()) {
    auto first = fetch(1);
    tcp::socket socket = Serve(acceptor, head + aFields + "\r\n");
    first.get();
    for (int n = 1; n < aRequests; ++n) {
      auto next = fetch(static_cast<std::uint64_t>(n) + 1);
      Answer(socket, head + aFields + "\r\n");
      next.get();
    }
    CHECK(pool.TakeEnded(address).empty());
    std::this_thread::sleep_for(aIdle);
    socket.close();
    auto last = fetch(100);
    const tcp::socket next =
      Serve(acceptor, head + "Connection: close\r\n\r\n");
    last.get();
  };
  SECTION("one that was kept over a request")
  {
    useAndEnd(2, "");
    CHECK(pool.TakeEnded(address) == std::vector{ kProcess });
    CHECK(pool.TakeEnded(address).empty());
  }
  SECTION("one that is kept for a stated time")
  {
    useAndEnd(2, "Keep-Alive: timeout=60\r\n");
    CHECK(pool.TakeEnded(address) == std::vector{ kProcess });
  }
  SECTION("not one of a peer that keeps none")
  {
    useAndEnd(1, "");
    CHECK(pool.TakeEnded(address).empty());
  }
  SECTION("not one that may have a short time limit")
  {
    useAndEnd(2, "", std::chrono::milliseconds(600));
    CHECK(pool.TakeEnded(address).empty());
  }
  SECTION("one that has a longer time limit")
  {
    useAndEnd(2, "Keep-Alive: timeout=60\r\n", std::chrono::milliseconds(600));
    CHECK(pool.TakeEnded(address) == std::vector{ kProcess });
  }
}

// Guards against descriptors that idle connections to targets which ended hold
// for good: their addresses are not used again.
TEST_CASE("idle connections go with their peer, used again or not")
{
  asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  const Endpoint address{ "127.0.0.1", acceptor.local_endpoint().port() };
  WorkerPool workers(1);
  workers.Start();
  HttpPool pool(HttpPoolOptions{ 64, std::chrono::minutes(10) });
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  std::vector<tcp::socket> sockets;
  for (std::uint64_t n = 1; n <= 2; ++n) {
    // The first connection has carried the second request already.
    auto fetch =
      asio::co_spawn(workers.At(0), Fetch(pool, address, 1), asio::use_future);
    sockets.push_back(Serve(acceptor, head));
    fetch.get();
    CHECK(pool.IdleCount() == n);
  }
  pool.Sweep();
  CHECK(pool.IdleCount() == 2);
  auto again =
    asio::co_spawn(workers.At(0), Fetch(pool, address, 2), asio::use_future);
  Answer(sockets.back(), head);
  again.get();
  sockets.pop_back();
  // The end arrives within a moment.
  for (int n = 0; n < 1000 && pool.IdleCount() > 1; ++n) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    pool.Sweep();
  }
  CHECK(pool.IdleCount() == 1);
  CHECK(pool.TakeEnded(address) == std::vector{ kProcess });
}

TEST_CASE("idle connections that are over their time are closed")
{
  asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  const Endpoint address{ "127.0.0.1", acceptor.local_endpoint().port() };
  WorkerPool workers(1);
  workers.Start();
  HttpPool pool(HttpPoolOptions{ 64, std::chrono::microseconds(1) });
  auto fetch =
    asio::co_spawn(workers.At(0), Fetch(pool, address), asio::use_future);
  const tcp::socket socket =
    Serve(acceptor, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  fetch.get();
  std::this_thread::sleep_for(std::chrono::milliseconds(1));
  pool.Sweep();
  CHECK(pool.IdleCount() == 0);
}

// Guards against connections that are closed although the target would keep
// them, and against requests on a connection that the target is closing.
TEST_CASE("idle connections are kept as long as stated, less a margin")
{
  asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  const Endpoint address{ "127.0.0.1", acceptor.local_endpoint().port() };
  WorkerPool workers(1);
  workers.Start();
  std::optional<std::size_t> kept;
  HttpPool pool(HttpPoolOptions{ 64, std::chrono::milliseconds(100),
                                 [&](const Endpoint&) { return kept; } });
  const auto fetchOver = [&](int aCount, const std::string& aFields) {
    std::vector<std::future<std::string>> fetches;
    std::vector<tcp::socket> sockets;
    for (int n = 0; n < aCount; ++n) {
      fetches.push_back(
        asio::co_spawn(workers.At(0), Fetch(pool, address), asio::use_future));
      sockets.push_back(acceptor.accept());
    }
    for (tcp::socket& socket : sockets) {
      Answer(socket,
             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + aFields + "\r\n");
    }
    for (auto& fetch : fetches) {
      fetch.get();
    }
    return sockets;
  };
  const auto countKept = [&] {
    std::size_t count = 0;
    asio::co_spawn(
      workers.At(0),
      [&]() -> asio::awaitable<void> {
        std::vector<std::unique_ptr<HttpConnection>> taken;
        const std::uint64_t before = pool.Connects();
        while (pool.HasIdle(address)) {
          auto acquiring = pool.Acquire(address, kTimeout);
          auto connection = co_await std::move(acquiring);
          REQUIRE(connection);
          taken.push_back(std::move(*connection));
        }
        CHECK(pool.Connects() == before);
        count = taken.size();
      },
      asio::use_future)
      .get();
    return count;
  };
  constexpr auto kBeyondUsual = std::chrono::milliseconds(200);
  SECTION("two of four, where two are to be kept")
  {
    kept = 2;
    const auto sockets = fetchOver(4, "Keep-Alive: timeout=60\r\n");
    std::this_thread::sleep_for(kBeyondUsual);
    CHECK(countKept() == 2);
  }
  SECTION("none where there is no subset")
  {
    const auto sockets = fetchOver(4, "Keep-Alive: timeout=60\r\n");
    std::this_thread::sleep_for(kBeyondUsual);
    CHECK(countKept() == 0);
  }
  SECTION("none of a target that states no time")
  {
    kept = 2;
    const auto sockets = fetchOver(2, "");
    std::this_thread::sleep_for(kBeyondUsual);
    CHECK(countKept() == 0);
  }
  SECTION("none beyond the stated time less the margin")
  {
    kept = 2;
    const auto sockets = fetchOver(2, "Keep-Alive: timeout=2\r\n");
    std::this_thread::sleep_for(kBeyondUsual);
    CHECK(pool.HasIdle(address));
    std::this_thread::sleep_for(std::chrono::milliseconds(850));
    CHECK(countKept() == 0);
  }
}

} // namespace carobtide
