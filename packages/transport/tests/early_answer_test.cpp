#include "carobtide/transport.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

namespace carobtide {

namespace asio = boost::asio;

namespace {

/** Sends a head and a body in parts, then reads until the close. */
std::string SendSlowly(const Endpoint& aServer, const std::string& aHead,
                       std::size_t aBodyBytes, boost::system::error_code& aSent)
{
  constexpr std::size_t kPart = 64 * 1024;
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect({ asio::ip::make_address(aServer.mHost), aServer.mPort });
  asio::write(socket, asio::buffer(aHead), aSent);
  const std::string part(kPart, 'x');
  for (std::size_t left = aBodyBytes; left > 0 && !aSent;) {
    const std::size_t n = std::min(left, kPart);
    asio::write(socket, asio::buffer(part.data(), n), aSent);
    left -= n;
  }
  std::string answer;
  boost::system::error_code ec;
  asio::read(socket, asio::dynamic_buffer(answer), ec);
  return answer;
}

} // namespace

TEST_CASE("an answer sent before the whole request was read arrives")
{
  constexpr std::size_t kTooLarge = 9 * 1024 * 1024;
  WorkerPool workers(1);
  HttpServer server(workers, HttpLimits{},
                    [](HttpExchange& aExchange) -> asio::awaitable<void> {
                      auto sending = aExchange.Respond(
                        MakeResponse(200, "text/plain", "ok"));
                      const auto sent = co_await std::move(sending);
                      (void)sent;
                    });
  REQUIRE(server.Listen(Endpoint{ "127.0.0.1", 0 }));
  workers.Start();
  boost::system::error_code ec;
  SECTION("a body beyond the limit")
  {
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                             std::to_string(kTooLarge) + "\r\n\r\n";
    const auto answer = SendSlowly(server.Address(), head, kTooLarge, ec);
    CHECK_FALSE(ec);
    CHECK(answer.starts_with("HTTP/1.1 413 "));
  }
  SECTION("a header beyond the limit")
  {
    const std::string head = "GET / HTTP/1.1\r\nHost: a\r\nX-Long: ";
    const auto answer = SendSlowly(server.Address(), head, kTooLarge, ec);
    CHECK_FALSE(ec);
    CHECK(answer.starts_with("HTTP/1.1 431 "));
  }
}

} // namespace carobtide
