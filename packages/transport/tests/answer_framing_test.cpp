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

/** The framing of an answer that a peer writes before it closes. */
BodyFraming FramingOf(const std::string& aAnswer)
{
  asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  const Endpoint address{ "127.0.0.1", acceptor.local_endpoint().port() };
  std::thread peer([&] {
    tcp::socket socket(context);
    acceptor.accept(socket);
    std::string request;
    boost::system::error_code ec;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ec);
    asio::write(socket, asio::buffer(aAnswer), ec);
  });
  WorkerPool workers(1);
  workers.Start();
  auto asking = asio::co_spawn(
    workers.At(0),
    [address]() -> asio::awaitable<BodyFraming> {
      constexpr Duration kTimeout = std::chrono::seconds(20);
      auto connecting = ConnectHttp(address, kTimeout);
      auto connection = co_await std::move(connecting);
      if (!connection) {
        co_return BodyFraming::None;
      }
      auto sending = (*connection)->Send(HttpRequest{}, kTimeout);
      const auto head = co_await std::move(sending);
      co_return (*connection)->Framing();
    },
    asio::use_future);
  const BodyFraming framing = asking.get();
  peer.join();
  return framing;
}

} // namespace

TEST_CASE("it is known what tells the end of an answer")
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  CHECK(FramingOf(ok + "Content-Length: 2\r\n\r\nok") == BodyFraming::Length);
  CHECK(FramingOf("HTTP/1.1 204 No Content\r\n\r\n") == BodyFraming::Length);
  CHECK(FramingOf(ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
        BodyFraming::Chunks);
  CHECK(FramingOf(ok + "\r\nok") == BodyFraming::Connection);
  CHECK(FramingOf(ok + "Content-Length: 2\r\n") == BodyFraming::None);
}

} // namespace carobtide
