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

#include <algorithm>
#include <chrono>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;

namespace {

/** Pause after a failed accept, e.g. when file descriptors have run out. */
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);
/** One idle connection of so many is closed at once where room is needed. */
constexpr std::size_t kConnectionsPerClose = 32;

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
    , mMaxConnections(mLimits.mMaxConnections)
  {
    if (mLimits.mMemory == nullptr) {
      mLimits.mMemory = std::make_shared<MemoryRoom>();
    }
  }

  Result<Unit> Listen(const Endpoint& aAddress);
  void EndConnections() { mCounters->mEnding = true; }
  void StopListening();
  void StopAccepting();
  void SetMaxConnections(std::size_t aMax);
  ConnectionCounts Counts() const
  {
    return { mCounters->mConnections, mMaxConnections, mIdleClosed, mRefused };
  }

  tcp::acceptor& Acceptor() { return mAcceptor; }
  const HttpServerCounters& Counters() const { return *mCounters; }

private:
  awaitable<void> AcceptLoop();
  void StartConnection(tcp::socket aSocket);
  /** True if one more connection is within the bound. */
  bool HasRoom() const;
  /** Closes the connections that have been idle for longest. */
  void CloseIdle();

  ExecutorPicker mPickExecutor;
  HttpLimits mLimits;
  HttpHandler mHandler;
  tcp::acceptor mAcceptor;
  std::shared_ptr<HttpServerCounters> mCounters =
    std::make_shared<HttpServerCounters>();
  std::atomic<std::size_t> mMaxConnections;
  std::atomic<std::uint64_t> mIdleClosed{ 0 };
  std::atomic<std::uint64_t> mRefused{ 0 };
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
    if (!HasRoom()) {
      CloseIdle();
    }
    if (HasRoom()) {
      StartConnection(std::move(socket));
    } else {
      ++mRefused;
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

bool HttpServer::Impl::HasRoom() const
{
  return mCounters->mConnections - mCounters->mGivingWay < mMaxConnections;
}

void HttpServer::Impl::CloseIdle()
{
  const std::lock_guard lock(mMutex);
  using Item = std::pair<std::chrono::steady_clock::time_point,
                         std::shared_ptr<HttpServerConnection>>;
  std::vector<Item> idle;
  for (const auto& [key, weak] : mConnections) {
    auto connection = weak.lock();
    if (const auto since =
          connection ? connection->IdleSince() : std::nullopt) {
      idle.emplace_back(*since, std::move(connection));
    }
  }
  const std::size_t open = mCounters->mConnections - mCounters->mGivingWay;
  const std::size_t max = mMaxConnections;
  const std::size_t surplus = open > max ? open - max : 0;
  // Some more at once, as each search looks at all connections.
  const std::size_t count =
    std::min(idle.size(), surplus + 1 + max / kConnectionsPerClose);
  const auto end = idle.begin() + static_cast<std::ptrdiff_t>(count);
  std::ranges::partial_sort(idle, end, {}, &Item::first);
  std::for_each(idle.begin(), end,
                [](const Item& aItem) { aItem.second->GiveWayIfIdle(); });
  mIdleClosed += count;
}

void HttpServer::Impl::SetMaxConnections(std::size_t aMax)
{
  mMaxConnections = aMax;
  if (!HasRoom()) {
    CloseIdle();
  }
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

void HttpServer::SetMaxConnections(std::size_t aMax)
{
  mImpl->SetMaxConnections(aMax);
}

ConnectionCounts HttpServer::Counts() const
{
  return mImpl->Counts();
}

} // namespace carobtide
