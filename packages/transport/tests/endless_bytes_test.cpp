// Guards against peers whose bytes are no message and never end: what a reader
// kept of them had no bound, and the process ran out of memory.
#include "carobtide/transport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;

namespace {

constexpr Duration kPatience = std::chrono::seconds(60);
/** The peer gives up here, far beyond what kernels buffer for a connection. */
constexpr std::size_t kMaxWritten = 64 * 1024 * 1024;
constexpr std::size_t kPieceBytes = 250'000;

const std::string kChunkedHead =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kChunkedRequest =
  "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

/** What a peer writes: a beginning, then a piece over and over. */
struct Script
{
  std::string mFirst;
  std::string mPiece;
};

/** A sound small chunk with an extension of some length. */
std::string ChunkWithExtension(std::size_t aBytes)
{
  return "1;" + std::string(aBytes, 'y') + "\r\nx\r\n";
}

std::string Repeated(const std::string& aPiece, std::size_t aBytes)
{
  std::string all;
  while (all.size() < aBytes) {
    all += aPiece;
  }
  return all;
}

/** Writes until the other side closes; the bytes that were taken. */
std::size_t WriteOn(tcp::socket& aSocket, const Script& aBytes)
{
  boost::system::error_code ec;
  std::size_t written = asio::write(aSocket, asio::buffer(aBytes.mFirst), ec);
  while (!ec && !aBytes.mPiece.empty() && written < kMaxWritten) {
    written += asio::write(aSocket, asio::buffer(aBytes.mPiece), ec);
  }
  return written;
}

/** Fetches from a peer that answers with these bytes and then closes. */
Result<HttpResponse> FetchFrom(const Script& aAnswer)
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
    WriteOn(socket, aAnswer);
  });
  WorkerPool workers(1);
  workers.Start();
  auto asking = asio::co_spawn(
    workers.At(0),
    [address]() -> awaitable<Result<HttpResponse>> {
      auto fetching = FetchOnce(address, HttpRequest{}, kPatience);
      auto response = co_await std::move(fetching);
      co_return response;
    },
    asio::use_future);
  auto response = asking.get();
  peer.join();
  return response;
}

awaitable<void> Echo(HttpExchange& aExchange)
{
  HttpResponse response =
    MakeResponse(200, "text/plain", aExchange.Request().mBody);
  co_await aExchange.Respond(std::move(response));
}

/** What a server answers to these bytes, and how many it took. */
struct ServerAnswer
{
  std::string mText;
  std::size_t mTaken = 0;
};

ServerAnswer AskWith(const Script& aRequest, HttpLimits aLimits = {})
{
  WorkerPool workers(1);
  HttpServer server(workers, std::move(aLimits), Echo);
  workers.Start();
  REQUIRE(server.Listen(Endpoint{ "127.0.0.1", 0 }));
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect(
    { asio::ip::make_address("127.0.0.1"), server.Address().mPort });
  ServerAnswer answer;
  std::thread reader([&] {
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(answer.mText), ec);
  });
  answer.mTaken = WriteOn(socket, aRequest);
  if (aRequest.mPiece.empty()) {
    boost::system::error_code ec;
    socket.shutdown(tcp::socket::shutdown_send, ec);
  }
  reader.join();
  return answer;
}

/** Sends a head, then parts with pauses in which the server reads each. */
ServerAnswer AskInParts(const std::string& aHead,
                        const std::vector<std::string>& aParts)
{
  constexpr auto kPause = std::chrono::milliseconds(2);
  WorkerPool workers(1);
  HttpServer server(workers, HttpLimits{}, Echo);
  workers.Start();
  REQUIRE(server.Listen(Endpoint{ "127.0.0.1", 0 }));
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect(
    { asio::ip::make_address("127.0.0.1"), server.Address().mPort });
  socket.set_option(tcp::no_delay(true));
  boost::system::error_code ec;
  asio::write(socket, asio::buffer(aHead), ec);
  for (const std::string& part : aParts) {
    std::this_thread::sleep_for(kPause);
    asio::write(socket, asio::buffer(part), ec);
  }
  socket.shutdown(tcp::socket::shutdown_send, ec);
  ServerAnswer answer;
  asio::read(socket, asio::dynamic_buffer(answer.mText), ec);
  return answer;
}

const std::string kPiece(kPieceBytes, 'y');

} // namespace

TEST_CASE("an answer without end is cut off while little of it is kept")
{
  const auto [name, answer] = GENERATE(table<std::string, Script>({
    { "extension of a chunk", { kChunkedHead + "8;", kPiece } },
    { "chunk size", { kChunkedHead, std::string(kPieceBytes, '0') } },
    { "trailer field", { kChunkedHead + "0\r\nA: ", kPiece } },
    { "trailer fields",
      { kChunkedHead + "0\r\n", Repeated("A: b\r\n", kPieceBytes) } },
    { "extensions of sound chunks, each too long to be kept",
      { kChunkedHead, ChunkWithExtension(kPieceBytes) } },
    { "extensions of sound chunks, each short enough to be kept",
      { kChunkedHead, ChunkWithExtension(8000) } },
    { "head", { "HTTP/1.1 200 OK\r\nA: ", kPiece } },
    { "fields of a head",
      { "HTTP/1.1 200 OK\r\n", Repeated("A: b\r\n", kPieceBytes) } },
    { "status line", { "HTTP/1.1 200 ", kPiece } },
  }));
  CAPTURE(name);
  const std::uint64_t before = GetHttpReadStats().mOversizedResponses;
  const auto response = FetchFrom(answer);
  CHECK(response.Code() == ErrorCode::TooLarge);
  const bool isInBody = answer.mFirst.starts_with(kChunkedHead);
  CHECK(GetHttpReadStats().mOversizedResponses - before ==
        (isInBody ? 1U : 0U));
}

TEST_CASE("a request without end is refused while little of it is kept")
{
  const auto [name, request] = GENERATE(table<std::string, Script>({
    { "extension of a chunk", { kChunkedRequest + "8;", kPiece } },
    { "chunk size", { kChunkedRequest, std::string(kPieceBytes, '0') } },
    { "trailer field", { kChunkedRequest + "0\r\nA: ", kPiece } },
    { "trailer fields",
      { kChunkedRequest + "0\r\n", Repeated("A: b\r\n", kPieceBytes) } },
    { "extensions of sound chunks",
      { kChunkedRequest, ChunkWithExtension(8000) } },
    { "head", { "POST / HTTP/1.1\r\nHost: a\r\nA: ", kPiece } },
  }));
  CAPTURE(name);
  const ServerAnswer answer = AskWith(request);
  CHECK(answer.mText.starts_with("HTTP/1.1 4"));
  CHECK(answer.mText.find("not-run") != std::string::npos);
  CHECK(answer.mTaken < kMaxWritten);
}

// Guards against an assertion of the parser that ended the process: a last
// chunk without one before it, of which less than five bytes came at first.
TEST_CASE("chunked messages may arrive byte by byte")
{
  const std::string chunks =
    GENERATE("0\r\n\r\n", "0;a=b\r\nA: b\r\n\r\n", "1\r\nx\r\n0\r\n\r\n",
             "01\r\nx\r\n00\r\nA: b\r\n\r\n");
  CAPTURE(chunks);
  const std::string body = chunks.find('x') == std::string::npos ? "" : "x";
  for (std::size_t cut = 0; cut <= chunks.size(); ++cut) {
    CAPTURE(cut);
    const std::vector<std::string> parts{ chunks.substr(0, cut),
                                          chunks.substr(cut) };
    const ServerAnswer answer = AskInParts(kChunkedRequest, parts);
    CHECK(answer.mText.starts_with("HTTP/1.1 200"));
    CHECK(answer.mText.ends_with("\r\n\r\n" + body));
  }
  std::vector<std::string> bytes;
  std::ranges::transform(chunks, std::back_inserter(bytes),
                         [](char aByte) { return std::string(1, aByte); });
  const ServerAnswer answer = AskInParts(kChunkedRequest, bytes);
  CHECK(answer.mText.starts_with("HTTP/1.1 200"));
}

// Guards against many large requests at once, each within its bound, that use
// up the memory in sum.
TEST_CASE("large bodies are bounded in sum, small ones are served beside them")
{
  constexpr std::size_t kLargeBytes = 1'000'000;
  constexpr std::size_t kClients = 8;
  HoldAccountOptions memory;
  memory.mRequestRoom = { kMiB, 3'500'000, 0, 0 };
  memory.mReceiverShare = 1;
  HttpLimits limits;
  limits.mMemory = std::make_shared<MemoryRoom>(memory);
  WorkerPool workers(1);
  HttpServer server(workers, limits, Echo);
  workers.Start();
  REQUIRE(server.Listen(Endpoint{ "127.0.0.1", 0 }));
  const tcp::endpoint address(asio::ip::make_address("127.0.0.1"),
                              server.Address().mPort);
  asio::io_context context;
  const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ";
  // All but the last byte of each is sent, so that all are open at once.
  std::vector<tcp::socket> clients;
  std::vector<std::string> answers(kClients);
  const auto large = head + std::to_string(kLargeBytes) + "\r\n\r\n" +
                     std::string(kLargeBytes - 1, 'x');
  boost::system::error_code ec;
  for (std::size_t n = 0; n < kClients; ++n) {
    clients.emplace_back(context).connect(address);
    asio::write(clients.back(), asio::buffer(large), ec);
  }
  // The rest is sent once the server has read enough to refuse what it must.
  const auto isAnswered = [&](tcp::socket& aClient) {
    return aClient.available(ec) > 0;
  };
  const auto until = std::chrono::steady_clock::now() + kPatience;
  while (std::ranges::count_if(clients, isAnswered) <
           static_cast<std::ptrdiff_t>(kClients - 3) &&
         std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  tcp::socket small(context);
  small.connect(address);
  asio::write(small, asio::buffer(head + "2\r\nConnection: close\r\n\r\nok"));
  std::string answer;
  asio::read(small, asio::dynamic_buffer(answer), ec);
  CHECK(answer.starts_with("HTTP/1.1 200"));
  std::size_t served = 0;
  std::size_t refused = 0;
  for (std::size_t n = 0; n < kClients; ++n) {
    asio::write(clients[n], asio::buffer("x", 1), ec);
    clients[n].shutdown(tcp::socket::shutdown_send, ec);
    asio::read(clients[n], asio::dynamic_buffer(answers[n]), ec);
    served += answers[n].starts_with("HTTP/1.1 200") ? 1 : 0;
    refused += answers[n].starts_with("HTTP/1.1 503") &&
                   answers[n].find("Retry-After: 1") != std::string::npos &&
                   answers[n].find("not-run") != std::string::npos
                 ? 1
                 : 0;
  }
  CHECK(served == 3);
  CHECK(refused == kClients - 3);
  // What was refused or answered counts no more.
  const auto again = AskWith({ large + "x", "" }, limits);
  CHECK(again.mText.starts_with("HTTP/1.1 200"));
}

TEST_CASE("sound messages are not cut off")
{
  SECTION("an answer with a long head")
  {
    const auto response =
      FetchFrom({ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: " +
                    std::string(60'000, 'y') + "\r\n\r\nok",
                  "" });
    REQUIRE(response);
    CHECK(response->mBody == "ok");
  }
  SECTION("an answer in short chunks with extensions and trailers")
  {
    constexpr std::size_t kChunks = 100'000;
    std::string answer = kChunkedHead;
    for (std::size_t n = 0; n < kChunks; ++n) {
      answer += "1;a=b\r\nx\r\n";
    }
    answer += "0\r\nA: " + std::string(10'000, 'y') + "\r\n\r\n";
    const auto response = FetchFrom({ answer, "" });
    REQUIRE(response);
    CHECK(response->mBody.size() == kChunks);
  }
  SECTION("an answer with few chunks and extensions")
  {
    const std::string chunk = "20000;" + std::string(300, 'y') + "\r\n" +
                              std::string(0x20000, 'x') + "\r\n";
    const auto response = FetchFrom(
      { kChunkedHead + Repeated(chunk, 4'000'000) + "0\r\n\r\n", "" });
    REQUIRE(response);
    CHECK(response->mBody.size() % 0x20000 == 0);
  }
  SECTION("a body that ends with its connection")
  {
    const auto response = FetchFrom(
      { "HTTP/1.1 200 OK\r\n\r\n" + std::string(1'000'000, 'x'), "" });
    REQUIRE(response);
    CHECK(response->mBody.size() == 1'000'000);
  }
  SECTION("a request with the largest body, in chunks with trailers")
  {
    const std::string chunk =
      "20000;a=b\r\n" + std::string(0x20000, 'x') + "\r\n";
    const ServerAnswer answer =
      AskWith({ kChunkedRequest + Repeated(chunk, 8'000'000) +
                  "0\r\nA: " + std::string(1000, 'y') + "\r\n\r\n",
                "" });
    CHECK(answer.mText.starts_with("HTTP/1.1 200"));
  }
}

// A field of four bytes takes many times that once it is parsed.
TEST_CASE("heads of very many short fields are refused")
{
  const std::string fields = Repeated("a:\r\n", 12'000);
  const ServerAnswer answer =
    AskWith({ "GET / HTTP/1.1\r\n" + fields + "\r\n", "" });
  CHECK(answer.mText.starts_with("HTTP/1.1 431"));
  CHECK_FALSE(FetchFrom({ "HTTP/1.1 200 OK\r\n" + fields + "\r\n", "" }));
  const std::string sound = Repeated("a: b\r\n", 1'000);
  CHECK(AskWith({ "GET / HTTP/1.1\r\n" + sound + "\r\n", "" })
          .mText.starts_with("HTTP/1.1 200"));
}

} // namespace carobtide
