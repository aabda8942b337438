// Answers whose heads or framing are none in the protocol.
#include "carobtide/transport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace carobtide {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** What a client makes of the bytes that a peer writes before it closes. */
struct Outcome
{
  std::optional<Result<HttpResponseHead>> mHead;
  std::optional<Result<std::string>> mBody;
  bool mIsReusable = false;

  ErrorCode Code() const
  {
    return !*mHead ? mHead->Code() : mBody ? mBody->Code() : ErrorCode::Ok;
  }
};

asio::awaitable<Outcome> AskAt(Endpoint aAddress)
{
  constexpr Duration kTimeout = std::chrono::seconds(20);
  Outcome outcome;
  auto connecting = ConnectHttp(aAddress, kTimeout);
  auto connection = co_await std::move(connecting);
  if (!connection) {
    outcome.mHead = connection.GetError();
    co_return outcome;
  }
  auto sending = (*connection)->Send(HttpRequest{}, kTimeout);
  outcome.mHead = co_await std::move(sending);
  if (*outcome.mHead) {
    auto reading = (*connection)->ReadAll(kMiB, kTimeout);
    outcome.mBody = co_await std::move(reading);
  }
  outcome.mIsReusable = (*connection)->IsReusable();
  co_return outcome;
}

/** The peer writes aAnswer and keeps the connection until it is closed. */
Outcome Ask(const std::string& aAnswer)
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
    char byte = 0;
    asio::read(socket, asio::buffer(&byte, 1), ec);
  });
  WorkerPool workers(1);
  workers.Start();
  auto asking = asio::co_spawn(workers.At(0), AskAt(address), asio::use_future);
  Outcome outcome = asking.get();
  peer.join();
  return outcome;
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kBody = "Content-Length: 2\r\n\r\nok";
const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";

std::string WithField(const std::string& aField)
{
  return kOk + aField + "\r\n" + kBody;
}

} // namespace

// Guards against an answer of status 000, and any other that is none, that
// reaches a caller as an answer.
TEST_CASE("a status outside 200 to 599 is no answer")
{
  const std::string status =
    GENERATE("000", "001", "042", "099", "101", "104", "150", "199", "600",
             "999", "20", "2000", "2 0", "+20", "-20", "abc", "");
  CAPTURE(status);
  const std::uint64_t before = GetHttpReadStats().mMalformedResponses;
  const Outcome outcome = Ask("HTTP/1.1 " + status + " Odd\r\n" + kBody);
  CHECK(outcome.Code() == ErrorCode::Malformed);
  CHECK_FALSE(outcome.mIsReusable);
  CHECK(GetHttpReadStats().mMalformedResponses == before + 1);
}

TEST_CASE("what was read is told of a status that is none")
{
  const Outcome outcome = Ask("HTTP/1.1 000 Odd\r\n" + kBody);
  REQUIRE_FALSE(*outcome.mHead);
  CHECK(outcome.mHead->GetError().mDetail == "status 0");
}

// Guards against a field name with a blank or a control byte that is passed on,
// or that hides the field by which the body is read.
TEST_CASE("a field name that is no token makes an answer none")
{
  const std::string field = GENERATE(values<std::string>({
    "X Y: 1",
    "X\tY: 1",
    " X: 1",
    "X : 1",
    "Content-Length : 2",
    "Content Length: 3",
    "Content-Length\x01: 3",
    "X\x01Y: 1",
    std::string("X\0Y: 1", 6),
    "X\x7fY: 1",
    "X\"Y: 1",
    "X(Y): 1",
    "X\rY: 1",
    "\x80: 1",
    ": 1",
    "X",
  }));
  CAPTURE(field);
  CHECK(Ask(WithField(field)).Code() == ErrorCode::Malformed);
}

TEST_CASE("a field value with a control byte makes an answer none")
{
  const std::string value = GENERATE(values<std::string>({
    "a\x01z",
    std::string("a\0z", 3),
    "a\x7fz",
    "a\x0bz",
    "a\rz",
  }));
  CAPTURE(value);
  CHECK(Ask(WithField("X: " + value)).Code() == ErrorCode::Malformed);
}

// Guards against a body whose coding was passed on without a word of it.
TEST_CASE("an answer in a transfer coding that is not read is none")
{
  const std::string coding = GENERATE(
    "gzip", "xchunked", "gzip, chunked", "chunked, gzip", "chunked, chunked",
    "identity", "chunked;a=b", "chunked\r\nTransfer-Encoding: chunked");
  CAPTURE(coding);
  const std::string head = kOk + "Transfer-Encoding: " + coding + "\r\n";
  CHECK(Ask(head + "\r\n2\r\nok\r\n0\r\n\r\n").Code() == ErrorCode::Malformed);
  CHECK(Ask(head + kBody).Code() == ErrorCode::Malformed);
}

TEST_CASE("a body whose length or chunks are none makes an answer none")
{
  const std::string answer = GENERATE_COPY(values<std::string>({
    kOk + "Content-Length: +2\r\n\r\nok",
    kOk + "Content-Length: -2\r\n\r\nok",
    kOk + "Content-Length: 0x2\r\n\r\nok",
    kOk + "Content-Length: 2, 3\r\n\r\nok",
    kOk + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    kOk + "Transfer-Encoding: chunked\r\n" + kBody,
    kChunked + "g\r\nok\r\n0\r\n\r\n",
    kChunked + "-2\r\nok\r\n0\r\n\r\n",
    kChunked + "2\r\nokay\r\n0\r\n\r\n",
  }));
  CAPTURE(answer);
  CHECK(Ask(answer).Code() == ErrorCode::Malformed);
}

TEST_CASE("fields behind the last chunk are held to the same grammar")
{
  const std::string field =
    GENERATE(values<std::string>({ "X Y: 1", "X\x01: 1", "X: a\x01z", "X" }));
  CAPTURE(field);
  const Outcome outcome =
    Ask(kChunked + "2\r\nok\r\n0\r\n" + field + "\r\n\r\n");
  CHECK(outcome.Code() == ErrorCode::Malformed);
  CHECK_FALSE(outcome.mIsReusable);
}

TEST_CASE("interim heads are read past")
{
  const auto interim = GENERATE(values<std::string>({
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
  }));
  CAPTURE(interim);
  const Outcome outcome = Ask(interim + kOk + "X: y\r\n" + kBody);
  REQUIRE(*outcome.mHead);
  CHECK((*outcome.mHead)->mStatus == 200);
  CHECK((*outcome.mHead)->mHeaders.Get("X") == "y");
  CHECK_FALSE((*outcome.mHead)->mHeaders.Has("Link"));
  REQUIRE(*outcome.mBody);
  CHECK(**outcome.mBody == "ok");
  CHECK(outcome.mIsReusable);
}

TEST_CASE("interim heads without end are no answer")
{
  std::string heads;
  for (int n = 0; n < 100; ++n) {
    heads += "HTTP/1.1 103 Early Hints\r\n\r\n";
  }
  CHECK(Ask(heads + kOk + kBody).Code() == ErrorCode::Malformed);
}

TEST_CASE("sound answers stay sound")
{
  const std::string answer = GENERATE_COPY(values<std::string>({
    "HTTP/1.1 200 \r\n" + kBody,
    "HTTP/1.0 200 OK\r\n" + kBody,
    "HTTP/1.1 599 Odd\r\n" + kBody,
    kOk + "Content-Length: 2, 2\r\n\r\nok",
    kOk + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
    kOk + "X: a\tb \xc3\xa9 \"(q)\"\r\nX:\r\nX!#$%&'*+-.^_`|~1: z\r\n" + kBody,
    kOk + "X: a\r\n b\r\n" + kBody,
    kOk + "Transfer-Encoding: Chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nX: y\r\n\r\n",
  }));
  CAPTURE(answer);
  const Outcome outcome = Ask(answer);
  REQUIRE(*outcome.mHead);
  REQUIRE(*outcome.mBody);
  CHECK(**outcome.mBody == "ok");
}

// What came from a target, a caller or a configuration must not become a field
// of its own, or a request of its own, in what this process sends.
TEST_CASE("a request with a byte that does not belong there is not sent")
{
  HttpRequest request;
  SECTION("in a value")
  {
    request.mHeaders.Add("X-Name", "a\r\nX-Other: b");
  }
  SECTION("in a name")
  {
    request.mHeaders.Add("X Name", "a");
  }
  SECTION("in the target")
  {
    request.mTarget = "/a b";
  }
  asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  const Endpoint address{ "127.0.0.1", acceptor.local_endpoint().port() };
  WorkerPool workers(1);
  workers.Start();
  auto asking = asio::co_spawn(
    workers.At(0), FetchOnce(address, request, std::chrono::seconds(20)),
    asio::use_future);
  CHECK(asking.get().Code() == ErrorCode::Malformed);
  tcp::socket socket(context);
  acceptor.accept(socket);
  char byte = 0;
  boost::system::error_code ec;
  CHECK(asio::read(socket, asio::buffer(&byte, 1), ec) == 0);
}

// Guards against a body that is run as a request: with a coding that is not
// read, the next head seemed to begin right behind this one.
TEST_CASE("a request in a transfer coding that is not read is refused")
{
  const std::string coding =
    GENERATE("gzip", "xchunked", "gzip, chunked", "chunked;a=b",
             "chunked\r\nTransfer-Encoding: chunked");
  CAPTURE(coding);
  WorkerPool workers(1);
  int handled = 0;
  HttpServer server(workers, HttpLimits{},
                    [&](HttpExchange& aExchange) -> asio::awaitable<void> {
                      ++handled;
                      auto responding =
                        aExchange.Respond(MakeResponse(200, "text/plain", ""));
                      co_await std::move(responding);
                    });
  workers.Start();
  REQUIRE(server.Listen(Endpoint{ "127.0.0.1", 0 }));
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect(
    { asio::ip::make_address("127.0.0.1"), server.Address().mPort });
  asio::write(socket, asio::buffer("POST /a HTTP/1.1\r\nHost: h\r\n"
                                   "Transfer-Encoding: " +
                                   coding +
                                   "\r\n\r\n"
                                   "GET /b HTTP/1.1\r\nHost: h\r\n\r\n"));
  boost::system::error_code ec;
  socket.shutdown(tcp::socket::shutdown_send, ec);
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), ec);
  workers.Stop();
  workers.Join();
  CHECK(answer.starts_with("HTTP/1.1 400 "));
  CHECK(answer.find("not-run") != std::string::npos);
  CHECK(handled == 0);
}

} // namespace carobtide
