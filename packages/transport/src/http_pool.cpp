#include "carobtide/transport/http_client.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iterator>
#include <limits>
#include <map>
#include <mutex>
#include <numeric>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/**
 * Taken off the time that the peer keeps an idle connection: a request that is
 * on its way when the peer closes would be lost.
 */
constexpr Duration kIdleMargin = std::chrono::milliseconds(1000);
/**
 * A peer that states no time keeps an idle connection at least so long. Whole
 * seconds only can be stated, so that its limit may be shorter than one.
 */
constexpr Duration kUnstatedIdleTime = std::chrono::milliseconds(500);
/** One idle connection of so many is closed at once where room is needed. */
constexpr std::size_t kConnectionsPerClose = 32;

/** Counts a connection as open for as long as it lives. */
class OpenPlace
{
public:
  using Count = std::shared_ptr<std::atomic<std::size_t>>;

  explicit OpenPlace(Count aCount)
    : mCount(std::move(aCount))
  {
    ++*mCount;
  }
  ~OpenPlace()
  {
    if (mCount) {
      --*mCount;
    }
  }
  OpenPlace(OpenPlace&&) = default;
  OpenPlace& operator=(OpenPlace&&) = delete;
  OpenPlace(const OpenPlace&) = delete;
  OpenPlace& operator=(const OpenPlace&) = delete;

private:
  Count mCount;
};

/** A connection in use remembers its executor until it is released. */
class PooledConnection final : public HttpConnection
{
public:
  PooledConnection(asio::any_io_executor aExecutor,
                   std::unique_ptr<HttpConnection> aInner, OpenPlace aPlace)
    : mExecutor(std::move(aExecutor))
    , mInner(std::move(aInner))
    , mPlace(std::move(aPlace))
  {
  }

  awaitable<Result<HttpResponseHead>> Send(const HttpRequest& aRequest,
                                           std::string_view aBody,
                                           Duration aTimeout) override
  {
    return mInner->Send(aRequest, aBody, aTimeout);
  }
  void HoldIn(const std::shared_ptr<MemoryRoom>& aRoom,
              const HoldParties& aParties) override
  {
    mInner->HoldIn(aRoom, aParties);
  }
  void ReleaseMemory() override { mInner->ReleaseMemory(); }
  awaitable<Result<HttpResponseHead>> ReadHead(Duration aTimeout) override
  {
    return mInner->ReadHead(aTimeout);
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
  BodyFraming Framing() const override { return mInner->Framing(); }
  bool IsReusable() const override
  {
    return mRequests.size() < kMaxRequests && mInner->IsReusable();
  }
  bool HasEnded() const override { return mInner->HasEnded(); }
  Duration StatedIdleTime() const override { return mInner->StatedIdleTime(); }
  Result<Unit> SetDropsUnsent(bool aDrops) override
  {
    return mInner->SetDropsUnsent(aDrops);
  }
  void Cancel() override { mInner->Cancel(); }

  const asio::any_io_executor& Executor() const { return mExecutor; }

  bool HasCarried(std::uint64_t aRequestHash) const
  {
    return std::ranges::find(mRequests, aRequestHash) != mRequests.end();
  }
  void OnRequest(std::uint64_t aRequestHash)
  {
    mRequests.push_back(aRequestHash);
  }
  /** True if the peer has kept it over a request. */
  bool WasKept() const { return mRequests.size() > 1; }

private:
  /** Bounds the look-up for a connection that carried a request before. */
  static constexpr std::size_t kMaxRequests = 256;

  asio::any_io_executor mExecutor;
  std::unique_ptr<HttpConnection> mInner;
  OpenPlace mPlace;
  std::vector<std::uint64_t> mRequests;
};

/** A connection that is not in use. */
struct IdleConnection
{
  std::unique_ptr<PooledConnection> mConnection;
  /** Not used again from then on. */
  std::chrono::steady_clock::time_point mExpiresAt;
  /** The same if it is none of those kept for as long as the peer states. */
  std::chrono::steady_clock::time_point mUsualExpiry;
  /** Until then the peer keeps it, unless its process ends. */
  std::chrono::steady_clock::time_point mKeptUntil;
};

} // namespace

class HttpPool::Impl
{
public:
  explicit Impl(HttpPoolOptions aOptions)
    : mOptions(std::move(aOptions))
  {
  }

  std::unique_ptr<PooledConnection> Take(
    const Endpoint& aAddress, const asio::any_io_executor& aExecutor,
    std::optional<std::uint64_t> aRequestHash);
  void Put(const Endpoint& aAddress, IdleConnection aIdle);
  bool HasIdle(const Endpoint& aAddress) const;
  void OnConnect() { ++mConnects; }
  /** A place for a new connection; nothing if all are in use. */
  std::optional<OpenPlace> TakePlace();
  void SetMaxOpen(std::size_t aMax) { mMaxOpen = aMax; }
  ConnectionCounts Counts() const
  {
    return { *mOpen, mMaxOpen, mIdleClosed, mRefused };
  }
  std::uint64_t Connects() const { return mConnects; }
  std::size_t IdleCount() const;
  void Sweep();
  void DropIdle(const Endpoint& aAddress);
  std::vector<std::uint64_t> TakeEnded(const Endpoint& aAddress);

private:
  using Clock = std::chrono::steady_clock;

  /**
   * Notes the process of a connection that was found ended, unless it ended by
   * an idle time limit. Precondition: mMutex is held.
   */
  void NoteEnd(const Endpoint& aAddress, const PooledConnection& aConnection,
               bool aWasKept);

  /** Closes idle connections whose time ends first. */
  void CloseIdle();

  const HttpPoolOptions mOptions;
  std::atomic<std::uint64_t> mConnects = 0;
  OpenPlace::Count mOpen = std::make_shared<std::atomic<std::size_t>>(0);
  std::atomic<std::size_t> mMaxOpen = std::numeric_limits<std::size_t>::max();
  std::atomic<std::uint64_t> mIdleClosed = 0;
  std::atomic<std::uint64_t> mRefused = 0;
  /** Guards what follows. */
  mutable std::mutex mMutex;
  std::map<Endpoint, std::vector<IdleConnection>> mIdle;
  std::map<Endpoint, std::vector<std::uint64_t>> mEnded;
};

void HttpPool::Impl::NoteEnd(const Endpoint& aAddress,
                             const PooledConnection& aConnection, bool aWasKept)
{
  const std::uint64_t process = aConnection.Peer().mId;
  if (aWasKept && process != 0 && aConnection.HasEnded()) {
    auto& ended = mEnded[aAddress];
    if (std::ranges::find(ended, process) == ended.end()) {
      ended.push_back(process);
    }
  }
}

std::optional<OpenPlace> HttpPool::Impl::TakePlace()
{
  if (*mOpen >= mMaxOpen) {
    CloseIdle();
  }
  if (*mOpen < mMaxOpen) {
    return std::optional<OpenPlace>(std::in_place, mOpen);
  }
  ++mRefused;
  return std::nullopt;
}

void HttpPool::Impl::CloseIdle()
{
  const std::lock_guard lock(mMutex);
  std::vector<Clock::time_point> ends;
  for (const auto& [address, idle] : mIdle) {
    std::ranges::transform(idle, std::back_inserter(ends),
                           &IdleConnection::mExpiresAt);
  }
  if (ends.empty()) {
    return;
  }
  // Some more at once, as each search looks at all connections.
  const std::size_t last =
    std::min(ends.size() - 1, *mOpen / kConnectionsPerClose);
  std::ranges::nth_element(ends,
                           ends.begin() + static_cast<std::ptrdiff_t>(last));
  for (auto& [address, idle] : mIdle) {
    mIdleClosed += std::erase_if(idle, [&](const IdleConnection& aIdle) {
      return aIdle.mExpiresAt <= ends[last];
    });
  }
}

std::unique_ptr<PooledConnection> HttpPool::Impl::Take(
  const Endpoint& aAddress, const asio::any_io_executor& aExecutor,
  std::optional<std::uint64_t> aRequestHash)
{
  const std::lock_guard lock(mMutex);
  auto& idle = mIdle[aAddress];
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(idle,
                [&](const auto& aIdle) { return now >= aIdle.mExpiresAt; });
  while (true) {
    const auto last =
      std::find_if(idle.rbegin(), idle.rend(), [&](const auto& aIdle) {
        const PooledConnection& connection = *aIdle.mConnection;
        return connection.Executor() == aExecutor &&
               !(aRequestHash && connection.HasCarried(*aRequestHash));
      });
    if (last == idle.rend()) {
      return nullptr;
    }
    const auto it = std::prev(last.base());
    auto connection = std::move(it->mConnection);
    const bool isKept = now < it->mKeptUntil && connection->WasKept();
    idle.erase(it);
    if (connection->IsReusable()) {
      // A process that ends takes all its connections along.
      if (const auto ended = mEnded.find(aAddress); ended != mEnded.end()) {
        std::erase(ended->second, connection->Peer().mId);
      }
      return connection;
    }
    NoteEnd(aAddress, *connection, isKept);
  }
}

void HttpPool::Impl::Put(const Endpoint& aAddress, IdleConnection aIdle)
{
  // Outside of the lock: it is the owner's code.
  const auto longKept =
    mOptions.mIdleToKeep ? mOptions.mIdleToKeep(aAddress) : std::nullopt;
  const std::lock_guard lock(mMutex);
  auto& idle = mIdle[aAddress];
  const Duration stated = aIdle.mConnection->StatedIdleTime();
  const Duration safe = std::max(stated - kIdleMargin, 0us);
  const Duration usual = stated == Duration::zero()
                           ? mOptions.mMaxIdleTime
                           : std::min(mOptions.mMaxIdleTime, safe);
  const auto now = Clock::now();
  const bool isLong = longKept && safe > usual;
  aIdle.mUsualExpiry = now + usual;
  aIdle.mExpiresAt = now + (isLong ? safe : usual);
  aIdle.mKeptUntil =
    stated == Duration::zero() ? now + kUnstatedIdleTime : aIdle.mExpiresAt;
  if (idle.size() < mOptions.mMaxIdlePerAddress) {
    idle.push_back(std::move(aIdle));
  }
  if (!longKept) {
    return;
  }
  // The ones used last are kept long: they are used again first.
  for (std::size_t n = *longKept; n < idle.size(); ++n) {
    IdleConnection& surplus = idle[idle.size() - 1 - n];
    surplus.mExpiresAt = std::min(surplus.mExpiresAt, surplus.mUsualExpiry);
    surplus.mKeptUntil = std::min(surplus.mKeptUntil, surplus.mExpiresAt);
  }
}

void HttpPool::Impl::Sweep()
{
  const std::lock_guard lock(mMutex);
  const auto now = Clock::now();
  for (auto& [address, idle] : mIdle) {
    std::erase_if(idle, [&, &address = address](const IdleConnection& aIdle) {
      const PooledConnection& connection = *aIdle.mConnection;
      if (now >= aIdle.mExpiresAt) {
        return true;
      }
      if (connection.IsReusable()) {
        return false;
      }
      NoteEnd(address, connection,
              now < aIdle.mKeptUntil && connection.WasKept());
      return true;
    });
  }
  std::erase_if(mIdle, [](const auto& aItem) { return aItem.second.empty(); });
}

std::size_t HttpPool::Impl::IdleCount() const
{
  const std::lock_guard lock(mMutex);
  return std::accumulate(mIdle.begin(), mIdle.end(), std::size_t{ 0 },
                         [](std::size_t aSum, const auto& aItem) {
                           return aSum + aItem.second.size();
                         });
}

bool HttpPool::Impl::HasIdle(const Endpoint& aAddress) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mIdle.find(aAddress);
  const auto now = std::chrono::steady_clock::now();
  return it != mIdle.end() &&
         std::ranges::any_of(it->second, [&](const IdleConnection& aIdle) {
           return now < aIdle.mExpiresAt && aIdle.mConnection->IsReusable();
         });
}

void HttpPool::Impl::DropIdle(const Endpoint& aAddress)
{
  const std::lock_guard lock(mMutex);
  mIdle.erase(aAddress);
}

std::vector<std::uint64_t> HttpPool::Impl::TakeEnded(const Endpoint& aAddress)
{
  const std::lock_guard lock(mMutex);
  const auto it = mEnded.find(aAddress);
  if (it == mEnded.end()) {
    return {};
  }
  auto ended = std::move(it->second);
  mEnded.erase(it);
  return ended;
}

HttpPool::HttpPool(HttpPoolOptions aOptions)
  : mImpl(std::make_unique<Impl>(std::move(aOptions)))
{
}

HttpPool::~HttpPool() = default;

awaitable<Result<std::unique_ptr<HttpConnection>>> HttpPool::Acquire(
  Endpoint aAddress, Duration aTimeout,
  std::optional<std::uint64_t> aRequestHash)
{
  const auto executor = co_await asio::this_coro::executor;
  auto pooled = mImpl->Take(aAddress, executor, aRequestHash);
  if (!pooled) {
    auto place = mImpl->TakePlace();
    if (!place) {
      const std::string peer = aAddress.ToString();
      co_return MakeError(ErrorCode::Overloaded, "http.connect", peer,
                          "all connections are in use");
    }
    auto connected = co_await ConnectHttp(aAddress, aTimeout);
    if (!connected) {
      co_return connected.GetError();
    }
    mImpl->OnConnect();
    pooled = std::make_unique<PooledConnection>(executor, std::move(*connected),
                                                std::move(*place));
  }
  if (aRequestHash) {
    pooled->OnRequest(*aRequestHash);
  }
  std::unique_ptr<HttpConnection> connection = std::move(pooled);
  co_return connection;
}

bool HttpPool::HasIdle(const Endpoint& aAddress) const
{
  return mImpl->HasIdle(aAddress);
}

std::uint64_t HttpPool::Connects() const
{
  return mImpl->Connects();
}

std::size_t HttpPool::IdleCount() const
{
  return mImpl->IdleCount();
}

void HttpPool::SetMaxOpen(std::size_t aMax)
{
  mImpl->SetMaxOpen(aMax);
}

ConnectionCounts HttpPool::Counts() const
{
  return mImpl->Counts();
}

void HttpPool::Sweep()
{
  mImpl->Sweep();
}

void HttpPool::DropIdle(const Endpoint& aAddress)
{
  mImpl->DropIdle(aAddress);
}

std::vector<std::uint64_t> HttpPool::TakeEnded(const Endpoint& aAddress)
{
  return mImpl->TakeEnded(aAddress);
}

void HttpPool::Release(const Endpoint& aAddress,
                       std::unique_ptr<HttpConnection> aConnection)
{
  auto* pooled = dynamic_cast<PooledConnection*>(aConnection.get());
  if (pooled != nullptr && pooled->IsReusable()) {
    std::ignore = aConnection.release();
    mImpl->Put(
      aAddress,
      IdleConnection{ std::unique_ptr<PooledConnection>(pooled), {}, {}, {} });
  }
}

} // namespace carobtide
