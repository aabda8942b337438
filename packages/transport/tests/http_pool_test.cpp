#include "carobtide/transport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <thread>

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

/** One request over a pool; the body of its answer. */
asio::awaitable<std::string> Fetch(HttpPool& aPool, Endpoint aPeer)
{
  auto acquiring = aPool.Acquire(aPeer, kTimeout);
  auto connection = co_await std::move(acquiring);
  REQUIRE(connection);
  auto sending = (*connection)->Send(HttpRequest{}, kTimeout);
  const auto head = co_await std::move(sending);
  REQUIRE(head);
  auto reading = (*connection)->ReadAll(kMiB, kTimeout);
  const auto body = co_await std::move(reading);
  REQUIRE(body);
  aPool.Release(aPeer, std::move(*connection));
  co_return *body;
}

/** Accepts a connection, reads a request and answers it. */
tcp::socket Serve(tcp::acceptor& aAcceptor, const std::string& aAnswer)
{
  tcp::socket socket = aAcceptor.accept();
  std::string request;
  asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
  asio::write(socket, asio::buffer(aAnswer));
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

} // namespace carobtide
