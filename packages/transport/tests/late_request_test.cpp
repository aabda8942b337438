#include "carobtide/transport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_future.hpp>

#include <catch2/catch.hpp>

#include <string>

namespace carobtide {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** More than the buffers of both ends hold. */
constexpr std::size_t kBodyBytes = 64 * 1024 * 1024;

/** Sends to a peer that takes nothing, until the request is given up. */
asio::awaitable<void> GiveUp(Endpoint aPeer, bool aDrops)
{
  auto connecting = ConnectHttp(aPeer, std::chrono::seconds(20));
  auto connection = co_await std::move(connecting);
  REQUIRE(connection);
  REQUIRE((*connection)->SetDropsUnsent(aDrops));
  HttpRequest request;
  request.mMethod = "POST";
  request.mBody.assign(kBodyBytes, 'x');
  auto sending = (*connection)->Send(request, std::chrono::milliseconds(100));
  const auto head = co_await std::move(sending);
  CHECK_FALSE(head);
}

} // namespace

TEST_CASE("a request that was given up is not delivered when its peer is back")
{
  asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  const Endpoint address{ "127.0.0.1", acceptor.local_endpoint().port() };
  WorkerPool workers(1);
  workers.Start();
  const bool isDropped = GENERATE(true, false);
  asio::co_spawn(workers.At(0), GiveUp(address, isDropped), asio::use_future)
    .get();
  tcp::socket peer(context);
  acceptor.accept(peer);
  std::string received;
  boost::system::error_code ec;
  asio::read(peer, asio::dynamic_buffer(received), ec);
  CHECK(ec == (isDropped
                 ? boost::system::error_code(asio::error::connection_reset)
                 : boost::system::error_code(asio::error::eof)));
}

} // namespace carobtide
