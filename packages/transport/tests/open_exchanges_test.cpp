// Guards against a server that is taken for idle while requests still arrive.
#include "carobtide/transport.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <thread>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;

namespace {

constexpr auto kPatience = std::chrono::seconds(20);

awaitable<void> Echo(HttpExchange& aExchange)
{
  HttpResponse response =
    MakeResponse(200, "text/plain", aExchange.Request().mBody);
  co_await aExchange.Respond(std::move(response));
}

void AwaitThat(const std::function<bool()>& aCondition)
{
  const auto limit = std::chrono::steady_clock::now() + kPatience;
  while (!aCondition()) {
    REQUIRE(std::chrono::steady_clock::now() < limit);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

/** A server and one client's connection to it. */
struct Pair
{
  Pair()
  {
    mWorkers.Start();
    REQUIRE(mServer.Listen(Endpoint{ "127.0.0.1", 0 }));
    mSocket.connect(
      { asio::ip::make_address("127.0.0.1"), mServer.Address().mPort });
  }

  void Write(const std::string& aBytes)
  {
    asio::write(mSocket, asio::buffer(aBytes));
  }

  /** The bytes up to the end of a head, and of a body of this size. */
  std::string ReadAnswer(std::size_t aBodyBytes)
  {
    boost::system::error_code ec;
    const std::size_t head =
      asio::read_until(mSocket, asio::dynamic_buffer(mRead), "\r\n\r\n", ec);
    const std::size_t size = head + aBodyBytes;
    if (!ec && mRead.size() < size) {
      asio::read(mSocket, asio::dynamic_buffer(mRead),
                 asio::transfer_exactly(size - mRead.size()), ec);
    }
    CHECK_FALSE(ec);
    std::string answer = mRead.substr(0, size);
    mRead.erase(0, size);
    return answer;
  }

  WorkerPool mWorkers{ 1 };
  HttpServer mServer{ mWorkers, HttpLimits{}, Echo };
  asio::io_context mContext;
  tcp::socket mSocket{ mContext };
  std::string mRead;
};

const std::string kHead =
  "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n";

} // namespace

TEST_CASE("a request is open from its first byte to the end of its answer")
{
  Pair pair;
  pair.Write(kHead + "abcd");
  CHECK(pair.ReadAnswer(4).ends_with("abcd"));
  AwaitThat([&] { return pair.mServer.OpenExchanges() == 0; });
  CHECK(pair.mServer.Connections() == 1);
  pair.Write("P");
  AwaitThat([&] { return pair.mServer.OpenExchanges() == 1; });
  pair.Write(kHead.substr(1) + "ab");
  // The second request arrives whole, and a part of the third with it.
  pair.Write("cd" + kHead);
  CHECK(pair.ReadAnswer(4).ends_with("abcd"));
  AwaitThat([&] { return pair.mServer.OpenExchanges() == 1; });
  pair.Write("efgh");
  CHECK(pair.ReadAnswer(4).ends_with("efgh"));
  AwaitThat([&] { return pair.mServer.OpenExchanges() == 0; });
}

TEST_CASE("an answer that ends its connection is open until that is closed")
{
  Pair pair;
  pair.mServer.EndConnections();
  pair.Write(kHead + "abcd");
  const std::string answer = pair.ReadAnswer(4);
  CHECK(answer.find("Connection: close") != std::string::npos);
  CHECK(pair.mServer.OpenExchanges() == 1);
  pair.mSocket.close();
  AwaitThat([&] { return pair.mServer.OpenExchanges() == 0; });
}

TEST_CASE("a server that stops listening still answers on open connections")
{
  Pair pair;
  pair.Write(kHead + "abcd");
  pair.ReadAnswer(4);
  pair.mServer.StopListening();
  AwaitThat([&] {
    tcp::socket other(pair.mContext);
    boost::system::error_code ec;
    other.connect(pair.mSocket.remote_endpoint(), ec);
    return ec == asio::error::connection_refused;
  });
  pair.Write(kHead + "efgh");
  CHECK(pair.ReadAnswer(4).ends_with("efgh"));
  pair.mServer.StopAccepting();
  // The connection is idle, and ends in order.
  std::string rest;
  boost::system::error_code ec;
  asio::read(pair.mSocket, asio::dynamic_buffer(rest), ec);
  CHECK(ec == asio::error::eof);
  CHECK(rest.empty());
  pair.mSocket.close();
  AwaitThat([&] { return pair.mServer.Connections() == 0; });
}

} // namespace carobtide
