#include "carobtide/transport/http_server.hpp"

#include "http_connection.hpp"
#include "http_errors.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <mutex>
#include <unordered_map>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;

namespace {

/** Pause after a failed accept, e.g. when file descriptors have run out. */
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

HttpLimits HttpLimits::ForSmallRequests()
{
  HttpLimits limits;
  limits.mMaxHeaderBytes = 4 * kKiB;
  limits.mMaxBodyBytes = 4 * kKiB;
  limits.mReadTimeout = std::chrono::seconds(5);
  limits.mMaxConnections = 256;
  return limits;
}

class HttpServer::Impl : public std::enable_shared_from_this<Impl>
{
public:
  using ExecutorPicker = std::function<asio::any_io_executor()>;

  Impl(ExecutorPicker aPicker, HttpLimits aLimits, HttpHandler aHandler)
    : mPickExecutor(std::move(aPicker))
    , mLimits(std::move(aLimits))
    , mHandler(std::move(aHandler))
    , mAcceptor(mPickExecutor())
  {
    if (mLimits.mMemory == nullptr) {
      mLimits.mMemory = std::make_shared<MemoryRoom>();
    }
  }

  Result<Unit> Listen(const Endpoint& aAddress);
  void EndConnections() { mCounters->mEnding = true; }
  void StopListening();
  void StopAccepting();

  tcp::acceptor& Acceptor() { return mAcceptor; }
  const HttpServerCounters& Counters() const { return *mCounters; }

private:
  awaitable<void> AcceptLoop();
  void StartConnection(tcp::socket aSocket);

  ExecutorPicker mPickExecutor;
  HttpLimits mLimits;
  HttpHandler mHandler;
  tcp::acceptor mAcceptor;
  std::shared_ptr<HttpServerCounters> mCounters =
    std::make_shared<HttpServerCounters>();
  /** Guards mConnections. */
  std::mutex mMutex;
  std::unordered_map<HttpServerConnection*, std::weak_ptr<HttpServerConnection>>
    mConnections;
};

Result<Unit> HttpServer::Impl::Listen(const Endpoint& aAddress)
{
  boost::system::error_code ec;
  const auto fail = [&](const char* aStep) {
    return Error{ ErrorCode::Io, aStep, aAddress.ToString(), ec.message() };
  };
  const auto address = asio::ip::make_address(aAddress.mHost, ec);
  if (ec) {
    return fail("http.parse-address");
  }
  const tcp::endpoint endpoint(address, aAddress.mPort);
  mAcceptor.open(endpoint.protocol(), ec);
  if (ec) {
    return fail("http.open");
  }
  mAcceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  mAcceptor.bind(endpoint, ec);
  if (ec) {
    return fail("http.bind");
  }
  mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) {
    return fail("http.listen");
  }
  asio::co_spawn(
    mAcceptor.get_executor(),
    [self = shared_from_this()] { return self->AcceptLoop(); }, asio::detached);
  return Success();
}

awaitable<void> HttpServer::Impl::AcceptLoop()
{
  const auto self = shared_from_this();
  while (!mCounters->mStopping) {
    boost::system::error_code ec;
    tcp::socket socket(mPickExecutor());
    co_await mAcceptor.async_accept(
      socket, asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted || !mAcceptor.is_open()) {
      co_return;
    }
    if (ec) {
      asio::steady_timer timer(mAcceptor.get_executor(), kAcceptRetryDelay);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
      continue;
    }
    if (mCounters->mConnections < mLimits.mMaxConnections) {
      StartConnection(std::move(socket));
    }
  }
}

void HttpServer::Impl::StartConnection(tcp::socket aSocket)
{
  const auto executor = aSocket.get_executor();
  auto connection = std::make_shared<HttpServerConnection>(
    std::move(aSocket), mLimits, mHandler, mCounters);
  {
    const std::lock_guard lock(mMutex);
    mConnections.emplace(connection.get(), connection);
  }
  asio::co_spawn(
    executor,
    [self = shared_from_this(), connection]() -> awaitable<void> {
      co_await connection->Run();
      const std::lock_guard lock(self->mMutex);
      self->mConnections.erase(connection.get());
    },
    asio::detached);
}

void HttpServer::Impl::StopListening()
{
  asio::post(mAcceptor.get_executor(), [self = shared_from_this()] {
    boost::system::error_code ec;
    self->mAcceptor.close(ec);
  });
}

void HttpServer::Impl::StopAccepting()
{
  mCounters->mStopping = true;
  StopListening();
  const std::lock_guard lock(mMutex);
  for (auto& [key, weak] : mConnections) {
    if (const auto connection = weak.lock()) {
      connection->CloseIfIdle();
    }
  }
}

HttpServer::HttpServer(const asio::any_io_executor& aExecutor,
                       HttpLimits aLimits, HttpHandler aHandler)
  : mImpl(std::make_shared<Impl>(
      [aExecutor]() -> asio::any_io_executor {
        return asio::make_strand(aExecutor);
      },
      std::move(aLimits), std::move(aHandler)))
{
}

HttpServer::HttpServer(WorkerPool& aWorkers, HttpLimits aLimits,
                       HttpHandler aHandler)
  : mImpl(std::make_shared<Impl>([&aWorkers] { return aWorkers.Next(); },
                                 std::move(aLimits), std::move(aHandler)))
{
}

HttpServer::~HttpServer()
{
  StopAccepting();
}

Result<Unit> HttpServer::Listen(const Endpoint& aAddress)
{
  return mImpl->Listen(aAddress);
}

Endpoint HttpServer::Address() const
{
  boost::system::error_code ec;
  const auto local = mImpl->Acceptor().local_endpoint(ec);
  return Endpoint{ local.address().to_string(), local.port() };
}

void HttpServer::EndConnections()
{
  mImpl->EndConnections();
}

void HttpServer::StopListening()
{
  mImpl->StopListening();
}

void HttpServer::StopAccepting()
{
  mImpl->StopAccepting();
}

std::size_t HttpServer::OpenExchanges() const
{
  return mImpl->Counters().mExchanges;
}

std::size_t HttpServer::Connections() const
{
  return mImpl->Counters().mConnections;
}

} // namespace carobtide
