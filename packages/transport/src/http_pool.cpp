#include "carobtide/transport/http_client.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <vector>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/** An idle connection and the executor that it is bound to. */
struct IdleConnection
{
  asio::any_io_executor mExecutor;
  std::unique_ptr<HttpConnection> mConnection;
};

/** A connection in use remembers its executor until it is released. */
class PooledConnection final : public HttpConnection
{
public:
  PooledConnection(asio::any_io_executor aExecutor,
                   std::unique_ptr<HttpConnection> aInner)
    : mExecutor(std::move(aExecutor))
    , mInner(std::move(aInner))
  {
  }

  awaitable<Result<HttpResponseHead>> Send(const HttpRequest& aRequest,
                                           Duration aTimeout) override
  {
    return mInner->Send(aRequest, aTimeout);
  }
  awaitable<Result<bool>> ReadSome(std::string& aOut,
                                   Duration aTimeout) override
  {
    return mInner->ReadSome(aOut, aTimeout);
  }
  awaitable<Result<std::string>> ReadAll(Bytes aLimit,
                                         Duration aTimeout) override
  {
    return mInner->ReadAll(aLimit, aTimeout);
  }
  bool IsReusable() const override { return mInner->IsReusable(); }
  void Cancel() override { mInner->Cancel(); }

  const asio::any_io_executor& Executor() const { return mExecutor; }

private:
  asio::any_io_executor mExecutor;
  std::unique_ptr<HttpConnection> mInner;
};

} // namespace

class HttpPool::Impl
{
public:
  explicit Impl(std::size_t aMaxIdle)
    : mMaxIdle(aMaxIdle)
  {
  }

  std::unique_ptr<HttpConnection> Take(const Endpoint& aAddress,
                                       const asio::any_io_executor& aExecutor);
  void Put(const Endpoint& aAddress, IdleConnection aIdle);

private:
  const std::size_t mMaxIdle;
  /** Guards mIdle. */
  std::mutex mMutex;
  std::map<Endpoint, std::vector<IdleConnection>> mIdle;
};

std::unique_ptr<HttpConnection> HttpPool::Impl::Take(
  const Endpoint& aAddress, const asio::any_io_executor& aExecutor)
{
  const std::lock_guard lock(mMutex);
  auto& idle = mIdle[aAddress];
  while (true) {
    const auto it = std::ranges::find_if(
      idle, [&](const auto& aIdle) { return aIdle.mExecutor == aExecutor; });
    if (it == idle.end()) {
      return nullptr;
    }
    auto connection = std::move(it->mConnection);
    idle.erase(it);
    if (connection->IsReusable()) {
      return connection;
    }
  }
}

void HttpPool::Impl::Put(const Endpoint& aAddress, IdleConnection aIdle)
{
  const std::lock_guard lock(mMutex);
  auto& idle = mIdle[aAddress];
  if (idle.size() < mMaxIdle) {
    idle.push_back(std::move(aIdle));
  }
}

HttpPool::HttpPool(std::size_t aMaxIdlePerAddress)
  : mImpl(std::make_unique<Impl>(aMaxIdlePerAddress))
{
}

HttpPool::~HttpPool() = default;

awaitable<Result<std::unique_ptr<HttpConnection>>> HttpPool::Acquire(
  Endpoint aAddress, Duration aTimeout)
{
  const auto executor = co_await asio::this_coro::executor;
  auto idle = mImpl->Take(aAddress, executor);
  if (idle) {
    co_return idle;
  }
  auto connected = co_await ConnectHttp(aAddress, aTimeout);
  if (!connected) {
    co_return connected.GetError();
  }
  std::unique_ptr<HttpConnection> connection =
    std::make_unique<PooledConnection>(executor, std::move(*connected));
  co_return connection;
}

void HttpPool::Release(const Endpoint& aAddress,
                       std::unique_ptr<HttpConnection> aConnection)
{
  const auto* pooled = dynamic_cast<PooledConnection*>(aConnection.get());
  if (pooled != nullptr && pooled->IsReusable()) {
    const auto executor = pooled->Executor();
    mImpl->Put(aAddress, IdleConnection{ executor, std::move(aConnection) });
  }
}

} // namespace carobtide
