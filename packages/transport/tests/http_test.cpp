#include "carobtide/transport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <future>
#include <string>
#include <thread>

using namespace carobtide;
namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr Duration kPatience = std::chrono::seconds(20);

/** A server with one handler on a free port, and a worker to call it from. */
class Fixture
{
public:
  explicit Fixture(HttpHandler aHandler, HttpLimits aLimits = {})
    : mServer(mWorkers, std::move(aLimits), std::move(aHandler))
  {
    mWorkers.Start();
    REQUIRE(mServer.Listen(Endpoint{ "127.0.0.1", 0 }));
  }

  template<class T>
  T Run(std::function<awaitable<T>()> aBody)
  {
    return asio::co_spawn(mWorkers.At(0), std::move(aBody), asio::use_future)
      .get();
  }

  /** Sends raw bytes and returns all that comes back until the close. */
  std::string SendRaw(const std::string& aBytes)
  {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), Address().mPort });
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(aBytes), ec);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    return answer;
  }

  Endpoint Address() const { return mServer.Address(); }
  HttpServer& Server() { return mServer; }

private:
  WorkerPool mWorkers{ 2 };
  HttpServer mServer;
};

awaitable<void> Echo(HttpExchange& aExchange)
{
  HttpResponse response =
    MakeResponse(200, "text/plain", aExchange.Request().mBody);
  co_await aExchange.Respond(std::move(response));
}

awaitable<void> StreamThree(HttpExchange& aExchange)
{
  HttpResponseHead head;
  head.mHeaders.Add("Content-Type", "text/event-stream");
  co_await aExchange.BeginStream(head);
  for (const char* part : { "one", "two", "three" }) {
    co_await aExchange.WriteChunk(part);
  }
  if (aExchange.Request().mTarget == "/cut") {
    aExchange.Abort();
    co_return;
  }
  co_await aExchange.FinishStream();
}

Result<HttpResponse> Fetch(Fixture& aFixture, HttpRequest aRequest)
{
  return aFixture.Run<Result<HttpResponse>>(
    [&] { return FetchOnce(aFixture.Address(), aRequest, kPatience); });
}

} // namespace

TEST_CASE("a body is echoed whole")
{
  Fixture fixture(Echo);
  HttpRequest request;
  request.mMethod = "POST";
  request.mBody = std::string(300'000, 'x');
  const auto response = Fetch(fixture, request);
  REQUIRE(response);
  CHECK(response->mHead.mStatus == 200);
  CHECK(response->mBody == request.mBody);
}

TEST_CASE("a stream arrives whole")
{
  Fixture fixture(StreamThree);
  const auto response = Fetch(fixture, HttpRequest{});
  REQUIRE(response);
  CHECK(response->mBody == "onetwothree");
}

TEST_CASE("a cut stream is an error and never a short answer")
{
  Fixture fixture(StreamThree);
  HttpRequest request;
  request.mTarget = "/cut";
  CHECK(Fetch(fixture, request).Code() == ErrorCode::ConnectionLost);
}

TEST_CASE("a refused connection is told from a lost one")
{
  Endpoint closed;
  {
    Fixture fixture(Echo);
    closed = fixture.Address();
  }
  Fixture fixture(Echo);
  const auto response = fixture.Run<Result<HttpResponse>>(
    [&] { return FetchOnce(closed, HttpRequest{}, kPatience); });
  CHECK(response.Code() == ErrorCode::ConnectRefused);
}

TEST_CASE("oversized input is refused with a reason")
{
  HttpLimits limits;
  limits.mMaxBodyBytes = 1000;
  limits.mMaxHeaderBytes = 1000;
  Fixture fixture(Echo, limits);
  const std::string body = fixture.SendRaw(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n");
  CHECK(body.find("413") != std::string::npos);
  const std::string header = fixture.SendRaw(
    "GET / HTTP/1.1\r\nHost: " + std::string(5000, 'a') + "\r\n\r\n");
  CHECK(header.find("431") != std::string::npos);
}

TEST_CASE("garbage is refused with the step and the peer")
{
  Fixture fixture(Echo);
  const std::string answer = fixture.SendRaw("\x01\x02garbage\r\n\r\n");
  CHECK(answer.find("400") != std::string::npos);
  CHECK(answer.find("http.read-request") != std::string::npos);
  CHECK(answer.find("127.0.0.1:") != std::string::npos);
}

TEST_CASE("a slow sender is cut off")
{
  HttpLimits limits;
  limits.mReadTimeout = std::chrono::milliseconds(50);
  Fixture fixture(Echo, limits);
  const std::string answer = fixture.SendRaw("POST / HTTP/1.1\r\nHost: a\r\n");
  CHECK(answer.empty());
}

TEST_CASE("a handler hears that its client went away")
{
  std::atomic<bool> isGone{ false };
  Fixture fixture([&](HttpExchange& aExchange) -> awaitable<void> {
    asio::steady_timer timer(co_await asio::this_coro::executor, kPatience);
    aExchange.OnClientGone([&] {
      isGone = true;
      timer.cancel();
    });
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  });
  {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(
      { asio::ip::make_address("127.0.0.1"), fixture.Address().mPort });
    asio::write(socket, asio::buffer("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 27));
    while (fixture.Server().OpenExchanges() == 0) {
      std::this_thread::yield();
    }
  }
  while (fixture.Server().OpenExchanges() != 0) {
    std::this_thread::yield();
  }
  CHECK(isGone);
}

TEST_CASE("a pooled connection is used again and a closed one is not")
{
  Fixture fixture(Echo);
  HttpPool pool;
  const auto roundTrip = [&]() -> awaitable<int> {
    auto acquired = co_await pool.Acquire(fixture.Address(), kPatience);
    HttpRequest request;
    request.mMethod = "POST";
    request.mBody = "x";
    auto head = co_await (*acquired)->Send(request, kPatience);
    auto body = co_await (*acquired)->ReadAll(kMiB, kPatience);
    const bool isEcho = head && body && *body == "x";
    const bool isReusable = (*acquired)->IsReusable();
    pool.Release(fixture.Address(), std::move(*acquired));
    co_return (isEcho ? 1 : 0) + (isReusable ? 2 : 0);
  };
  CHECK(fixture.Run<int>(roundTrip) == 3);
  CHECK(fixture.Run<int>(roundTrip) == 3);
}

TEST_CASE("a stopped server finishes the open exchange")
{
  std::atomic<bool> isStarted{ false };
  std::atomic<bool> mayFinish{ false };
  Fixture fixture([&](HttpExchange& aExchange) -> awaitable<void> {
    isStarted = true;
    while (!mayFinish) {
      asio::steady_timer timer(co_await asio::this_coro::executor,
                               std::chrono::milliseconds(1));
      co_await timer.async_wait(asio::use_awaitable);
    }
    co_await Echo(aExchange);
  });
  auto future = std::async(std::launch::async, [&] {
    return fixture.SendRaw("POST / HTTP/1.1\r\nHost: a\r\n"
                           "Content-Length: 5\r\n\r\nhello");
  });
  while (!isStarted) {
    std::this_thread::yield();
  }
  fixture.Server().StopAccepting();
  mayFinish = true;
  CHECK(future.get().find("hello") != std::string::npos);
}

TEST_CASE("a watched connection may end after its server")
{
  asio::io_context context;
  bool isGone = false;
  {
    HttpServer server(context.get_executor(), {},
                      [&](HttpExchange& aExchange) -> awaitable<void> {
                        aExchange.OnClientGone([&] { isGone = true; });
                        auto echoing = Echo(aExchange);
                        co_await std::move(echoing);
                      });
    REQUIRE(server.Listen(Endpoint{ "127.0.0.1", 0 }));
    asio::ip::tcp::socket socket(context);
    socket.connect(
      { asio::ip::make_address("127.0.0.1"), server.Address().mPort });
    asio::write(socket, asio::buffer("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 27));
    std::string answer(1, '\0');
    asio::async_read(
      socket, asio::buffer(answer),
      [&](const boost::system::error_code&, std::size_t) { context.stop(); });
    context.run();
    context.restart();
  }
  // What is pending is destroyed after the server; the sanitizers watch.
  context.run();
  CHECK_FALSE(isGone);
}
