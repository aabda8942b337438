// Guards against daemons whose clients or targets hold every descriptor.
#include "carobtide/transport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <list>
#include <string>
#include <thread>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;

namespace {

constexpr Duration kTimeout = std::chrono::seconds(20);

/** A server of few connections. */
class BoundedServer
{
public:
  explicit BoundedServer(std::size_t aMax)
  {
    mWorkers.Start();
    REQUIRE(mServer.Listen(Endpoint{ "127.0.0.1", 0 }));
    mServer.SetMaxConnections(aMax);
  }
  ~BoundedServer() { mWorkers.Stop(); }

  Endpoint Address() const { return mServer.Address(); }
  ConnectionCounts Counts() const { return mServer.Counts(); }

  tcp::socket& Connect()
  {
    tcp::socket& socket = mSockets.emplace_back(mContext);
    socket.connect(
      { asio::ip::make_address("127.0.0.1"), mServer.Address().mPort });
    return socket;
  }

  /** True if a request on a connection is answered. */
  static bool Ask(tcp::socket& aSocket)
  {
    boost::system::error_code ec;
    asio::write(aSocket, asio::buffer(kRequest), ec);
    std::string answer;
    asio::read_until(aSocket, asio::dynamic_buffer(answer), "\r\n\r\n", ec);
    return !ec && answer.starts_with("HTTP/1.1 200");
  }

  static bool IsClosed(tcp::socket& aSocket)
  {
    boost::system::error_code ec;
    char byte = 0;
    asio::read(aSocket, asio::buffer(&byte, 1), ec);
    return ec == asio::error::eof || ec == asio::error::connection_reset;
  }

private:
  static inline const std::string kRequest =
    "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

  static awaitable<void> Answer(HttpExchange& aExchange)
  {
    HttpResponse response = MakeResponse(200, "text/plain", "");
    co_await aExchange.Respond(std::move(response));
  }

  WorkerPool mWorkers{ 1 };
  HttpServer mServer{ mWorkers, HttpLimits{}, Answer };
  asio::io_context mContext;
  std::list<tcp::socket> mSockets;
};

} // namespace

TEST_CASE("a new connection takes the place of the one idle for longest")
{
  BoundedServer server(2);
  tcp::socket& first = server.Connect();
  REQUIRE(BoundedServer::Ask(first));
  tcp::socket& second = server.Connect();
  REQUIRE(BoundedServer::Ask(second));
  tcp::socket& third = server.Connect();
  REQUIRE(BoundedServer::Ask(third));
  CHECK(BoundedServer::IsClosed(first));
  CHECK(BoundedServer::Ask(second));
  CHECK(server.Counts().mIdleClosed == 1);
  CHECK(server.Counts().mRefused == 0);
}

TEST_CASE("a connection with an open request is not closed for another one")
{
  BoundedServer server(1);
  tcp::socket& first = server.Connect();
  REQUIRE(BoundedServer::Ask(first));
  // The request is open from its first byte on.
  asio::write(first, asio::buffer(std::string("GET / HTTP/1.1\r\n")));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  tcp::socket& second = server.Connect();
  CHECK(BoundedServer::IsClosed(second));
  asio::write(first, asio::buffer(std::string("Host: h\r\n\r\n")));
  std::string answer;
  asio::read_until(first, asio::dynamic_buffer(answer), "\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(server.Counts().mRefused == 1);
}

TEST_CASE("idle connections of a pool make room for other addresses")
{
  BoundedServer one(8);
  BoundedServer other(8);
  WorkerPool workers{ 1 };
  workers.Start();
  HttpPool pool;
  pool.SetMaxOpen(1);
  const auto acquire = [&](const Endpoint& aAddress) {
    return asio::co_spawn(workers.At(0), pool.Acquire(aAddress, kTimeout),
                          asio::use_future)
      .get();
  };
  const auto use = [&](const Endpoint& aAddress) {
    auto connection = acquire(aAddress);
    REQUIRE(connection);
    const auto fetch = [&]() -> awaitable<bool> {
      auto sending = (*connection)->Send(HttpRequest{}, kTimeout);
      const auto head = co_await std::move(sending);
      auto reading = (*connection)->ReadAll(kMiB, kTimeout);
      const auto body = co_await std::move(reading);
      co_return head&& body;
    };
    REQUIRE(asio::co_spawn(workers.At(0), fetch, asio::use_future).get());
    pool.Release(aAddress, std::move(*connection));
  };
  use(one.Address());
  CHECK(pool.IdleCount() == 1);
  use(other.Address());
  CHECK(pool.Counts().mOpen == 1);
  CHECK(pool.Counts().mIdleClosed == 1);
  auto inUse = acquire(other.Address());
  REQUIRE(inUse);
  const auto refused = acquire(one.Address());
  REQUIRE_FALSE(refused);
  CHECK(refused.Code() == ErrorCode::Overloaded);
  CHECK(pool.Counts().mRefused == 1);
  pool.DropIdle(other.Address());
  workers.Stop();
  workers.Join();
}

} // namespace carobtide
