#include "carobtide/transport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <future>
#include <string>
#include <thread>

using namespace carobtide;
namespace asio = boost::asio;

namespace {

constexpr Duration kPatience = std::chrono::seconds(20);
constexpr std::uint16_t kEchoType = 5;

/** A network that echoes calls and hands on the first message. */
class Node
{
public:
  explicit Node(const Endpoint& aAddress = { "127.0.0.1", 0 })
    : mNetwork(
        mWorkers,
        [](std::uint16_t, std::string aPayload, std::string)
          -> asio::awaitable<std::string> { co_return "re:" + aPayload; },
        [this](std::uint16_t, const std::string& aPayload, const std::string&) {
          mReceived.set_value(aPayload);
        })
  {
    REQUIRE(mNetwork.Listen(aAddress));
    mWorkers.Start();
  }

  Result<std::string> Call(const Endpoint& aPeer, const std::string& aPayload,
                           Duration aTimeout = kPatience)
  {
    return asio::co_spawn(mWorkers.At(0),
                          mNetwork.Call(aPeer, kEchoType, aPayload, aTimeout),
                          asio::use_future)
      .get();
  }

  PeerNetwork& Network() { return mNetwork; }

  /** The first message; empty if none has come within kPatience. */
  std::string Received()
  {
    auto future = mReceived.get_future();
    return future.wait_for(kPatience) == std::future_status::ready
             ? future.get()
             : std::string();
  }

private:
  std::promise<std::string> mReceived;
  WorkerPool mWorkers{ 2 };
  PeerNetwork mNetwork;
};

} // namespace

TEST_CASE("a call is answered")
{
  Node a;
  Node b;
  const auto reply = a.Call(b.Network().Address(), "hello");
  REQUIRE(reply);
  CHECK(*reply == "re:hello");
  const std::string large(1'000'000, 'x');
  const auto second = a.Call(b.Network().Address(), large);
  REQUIRE(second);
  CHECK(second->size() == large.size() + 3);
}

TEST_CASE("a one-way frame and a datagram arrive")
{
  Node a;
  Node b;
  a.Network().Send(b.Network().Address(), 1, "frame");
  CHECK(b.Received() == "frame");
  Node c;
  a.Network().SendDatagram(c.Network().Address(), 1, "datagram");
  CHECK(c.Received() == "datagram");
}

TEST_CASE("a call to a closed port fails with step and peer")
{
  Node a;
  Endpoint closed;
  {
    Node b;
    closed = b.Network().Address();
  }
  const auto reply = a.Call(closed, "hello");
  REQUIRE_FALSE(reply);
  CHECK(reply.GetError().mStep == "peer.connect");
  CHECK(reply.GetError().mPeer == closed.ToString());
}

// A peer that starts just after a connect to it was refused; nothing else is
// sent that would cause another connect.
TEST_CASE("what is sent in the pause after a refused connect is delivered")
{
  Node a;
  Endpoint address;
  {
    Node stopped;
    address = stopped.Network().Address();
  }
  REQUIRE_FALSE(a.Call(address, "refused"));
  Node b(address);
  SECTION("a call")
  {
    const auto reply = a.Call(address, "hello");
    REQUIRE(reply);
    CHECK(*reply == "re:hello");
  }
  SECTION("a one-way frame")
  {
    a.Network().Send(address, 1, "frame");
    CHECK(b.Received() == "frame");
  }
}

TEST_CASE("garbage on the peer port closes only that connection")
{
  Node a;
  Node b;
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect(
    { asio::ip::make_address("127.0.0.1"), b.Network().Address().mPort });
  asio::write(socket, asio::buffer(std::string(100, 'z')));
  std::string answer;
  boost::system::error_code ec;
  asio::read(socket, asio::dynamic_buffer(answer), ec);
  CHECK(answer.empty());
  CHECK(a.Call(b.Network().Address(), "hello"));
}

// Guards against replies that are given up while they arrive, and then asked
// for again from nothing: catalogs on narrow links.
TEST_CASE("a long reply may take longer than the timeout while it arrives")
{
  Node caller;
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   { asio::ip::make_address("127.0.0.1"), 0 });
  const Endpoint address{ "127.0.0.1", acceptor.local_endpoint().port() };
  const std::string payload(8 * 65536, 'x');
  bool isHalf = false;
  SECTION("whole") {}
  SECTION("in part")
  {
    isHalf = true;
  }
  std::thread peer([&] {
    auto socket = acceptor.accept();
    std::string head(kFrameHeaderBytes, '\0');
    asio::read(socket, asio::buffer(head));
    const auto header = DecodeFrameHeader(head);
    const std::string reply =
      EncodeFrame(kEchoType | 0x8000, header->mCorrelation, payload);
    boost::system::error_code ec;
    for (std::size_t at = 0; at < reply.size() / (isHalf ? 2 : 1);
         at += 65536) {
      asio::write(socket, asio::buffer(reply.substr(at, 65536)), ec);
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    asio::read(socket, asio::buffer(head), ec);
  });
  const auto reply = caller.Call(address, "", std::chrono::milliseconds(1000));
  if (isHalf) {
    REQUIRE_FALSE(reply);
    CHECK(reply.Code() == ErrorCode::Timeout);
  } else {
    REQUIRE(reply);
    CHECK(*reply == payload);
  }
  caller.Network().Stop();
  peer.join();
}
