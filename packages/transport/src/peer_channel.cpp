#include "carobtide/transport/peer_channel.hpp"

#include "http_errors.hpp"
#include "peer_link.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <deque>
#include <map>
#include <mutex>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

constexpr auto kConnectTimeout = std::chrono::milliseconds(1000);
/**
 * After a failed connect, the next one waits this long, and so do messages to
 * the peer.
 */
constexpr auto kReconnectDelay = std::chrono::milliseconds(100);
constexpr std::size_t kMaxDatagramBytes = 65536;
constexpr std::size_t kMaxWaitingFrames = 4096;

/**
 * The outgoing side towards one peer address: connects on demand.
 *
 * Thread safety: everything on its executor.
 */
class PeerDialer : public std::enable_shared_from_this<PeerDialer>
{
public:
  PeerDialer(asio::any_io_executor aExecutor, Endpoint aAddress,
             std::shared_ptr<PeerHandlers> aHandlers)
    : mExecutor(std::move(aExecutor))
    , mAddress(std::move(aAddress))
    , mHandlers(std::move(aHandlers))
  {
  }

  const asio::any_io_executor& Executor() const { return mExecutor; }

  /** Sends now if connected, else after connecting. */
  void Send(Frame aFrame);

  awaitable<Result<std::string>> Call(std::uint16_t aType, std::string aPayload,
                                      Duration aTimeout,
                                      PeerProgressHandler aOnProgress);
  void Close();

private:
  awaitable<void> Connect();
  void StartConnecting();
  Result<tcp::endpoint> Resolve() const;
  /** Why the last connection could not be made. */
  Error ConnectError() const;

  asio::any_io_executor mExecutor;
  Endpoint mAddress;
  std::shared_ptr<PeerHandlers> mHandlers;
  std::shared_ptr<PeerLink> mLink;
  std::deque<Frame> mWaiting;
  bool mConnecting = false;
  bool mStopped = false;
  std::vector<asio::steady_timer*> mConnectWaiters;
  /** Of the last attempt to connect. */
  ErrorCode mConnectCode = ErrorCode::Unreachable;
  std::string mConnectDetail;
};

void PeerDialer::Send(Frame aFrame)
{
  if (mLink && mLink->IsOpen()) {
    mLink->Enqueue(aFrame.mType, aFrame.mCorrelation, aFrame.mPayload);
    return;
  }
  if (mWaiting.size() < kMaxWaitingFrames) {
    mWaiting.push_back(std::move(aFrame));
  }
  StartConnecting();
}

void PeerDialer::StartConnecting()
{
  if (mConnecting || mStopped) {
    return;
  }
  mConnecting = true;
  asio::co_spawn(
    mExecutor, [self = shared_from_this()] { return self->Connect(); },
    asio::detached);
}

Result<tcp::endpoint> PeerDialer::Resolve() const
{
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(mAddress.mHost, ec);
  if (ec) {
    return TransportError(ec, "peer.parse-address", mAddress.ToString());
  }
  return tcp::endpoint(address, mAddress.mPort);
}

Error PeerDialer::ConnectError() const
{
  return MakeError(mConnectCode, "peer.connect", mAddress.ToString(),
                   mConnectDetail);
}

awaitable<void> PeerDialer::Connect()
{
  const auto self = shared_from_this();
  // Shared with the timeout's handler: if both are due at once, it runs after
  // this coroutine has ended.
  const auto socket = std::make_shared<tcp::socket>(mExecutor);
  asio::steady_timer timer(mExecutor, kConnectTimeout);
  timer.async_wait([socket](const boost::system::error_code& aCode) {
    if (!aCode) {
      boost::system::error_code ec;
      socket->close(ec);
    }
  });
  boost::system::error_code ec;
  const auto endpoint = Resolve();
  if (endpoint) {
    co_await socket->async_connect(*endpoint,
                                   redirect_error(use_awaitable, ec));
  }
  timer.cancel();
  mConnectCode = ec == asio::error::connection_refused
                   ? ErrorCode::ConnectRefused
                   : ErrorCode::Unreachable;
  mConnectDetail = ec ? ec.message() : "no answer in time";
  const bool isConnected = endpoint && !ec && !mStopped && socket->is_open();
  if (isConnected) {
    mLink = std::make_shared<PeerLink>(std::move(*socket), mHandlers);
    asio::co_spawn(
      mExecutor, [link = mLink] { return link->ReadLoop(); }, asio::detached);
    std::ranges::for_each(mWaiting, [&](const Frame& aFrame) {
      mLink->Enqueue(aFrame.mType, aFrame.mCorrelation, aFrame.mPayload);
    });
  }
  mWaiting.clear();
  for (auto* waiter : std::exchange(mConnectWaiters, {})) {
    waiter->cancel();
  }
  if (!isConnected) {
    asio::steady_timer pause(mExecutor, kReconnectDelay);
    co_await pause.async_wait(redirect_error(use_awaitable, ec));
  }
  mConnecting = false;
  if (!mWaiting.empty() || !mConnectWaiters.empty()) {
    StartConnecting();
  }
}

awaitable<Result<std::string>> PeerDialer::Call(std::uint16_t aType,
                                                std::string aPayload,
                                                Duration aTimeout,
                                                PeerProgressHandler aOnProgress)
{
  const auto self = shared_from_this();
  const auto deadline = std::chrono::steady_clock::now() + aTimeout;
  if (!mLink || !mLink->IsOpen()) {
    StartConnecting();
    asio::steady_timer waiter(mExecutor, aTimeout);
    mConnectWaiters.push_back(&waiter);
    boost::system::error_code ec;
    co_await waiter.async_wait(redirect_error(use_awaitable, ec));
    std::erase(mConnectWaiters, &waiter);
  }
  if (!mLink || !mLink->IsOpen()) {
    co_return ConnectError();
  }
  const auto left = std::chrono::duration_cast<Duration>(
    deadline - std::chrono::steady_clock::now());
  auto call = mLink->Call(aType, std::move(aPayload), left, aOnProgress);
  auto reply = co_await std::move(call);
  co_return reply;
}

void PeerDialer::Close()
{
  mStopped = true;
  if (mLink) {
    mLink->Close();
  }
}

} // namespace

class PeerNetwork::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(WorkerPool& aWorkers, PeerCallHandler aCallHandler,
       PeerMessageHandler aMessageHandler)
    : mWorkers(aWorkers)
    , mHandlers(std::make_shared<PeerHandlers>())
    , mAcceptor(aWorkers.Next())
    , mUdp(aWorkers.Next())
  {
    mHandlers->mCall = std::move(aCallHandler);
    mHandlers->mMessage = std::move(aMessageHandler);
  }

  Result<Unit> Listen(const Endpoint& aAddress);
  std::shared_ptr<PeerDialer> DialerFor(const Endpoint& aPeer);
  void SendDatagram(const Endpoint& aPeer, std::string aBytes);
  void Stop();

  tcp::acceptor& Acceptor() { return mAcceptor; }
  const PeerCounters& Counters() const { return mHandlers->mCounters; }

private:
  Result<Unit> BindTcp(const asio::ip::address& aAddress, std::uint16_t aPort);
  Result<Unit> BindUdp(const asio::ip::address& aAddress, std::uint16_t aPort);
  awaitable<void> AcceptLoop();
  awaitable<void> DatagramLoop();
  void DispatchDatagram(std::string_view aBytes, const udp::endpoint& aFrom);

  WorkerPool& mWorkers;
  std::shared_ptr<PeerHandlers> mHandlers;
  tcp::acceptor mAcceptor;
  udp::socket mUdp;
  /** Guards mDialers and mAccepted. */
  std::mutex mMutex;
  std::map<Endpoint, std::shared_ptr<PeerDialer>> mDialers;
  std::vector<std::pair<asio::any_io_executor, std::weak_ptr<PeerLink>>>
    mAccepted;
};

Result<Unit> PeerNetwork::Impl::BindTcp(const asio::ip::address& aAddress,
                                        std::uint16_t aPort)
{
  boost::system::error_code ec;
  const tcp::endpoint endpoint(aAddress, aPort);
  mAcceptor.open(endpoint.protocol(), ec);
  mAcceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  mAcceptor.bind(endpoint, ec);
  if (!ec) {
    mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return Error{ ErrorCode::Io, "peer.bind-tcp", aAddress.to_string(),
                  ec.message() };
  }
  return Success();
}

Result<Unit> PeerNetwork::Impl::BindUdp(const asio::ip::address& aAddress,
                                        std::uint16_t aPort)
{
  boost::system::error_code ec;
  const udp::endpoint endpoint(aAddress, aPort);
  mUdp.open(endpoint.protocol(), ec);
  mUdp.bind(endpoint, ec);
  if (ec) {
    return Error{ ErrorCode::Io, "peer.bind-udp", aAddress.to_string(),
                  ec.message() };
  }
  return Success();
}

Result<Unit> PeerNetwork::Impl::Listen(const Endpoint& aAddress)
{
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(aAddress.mHost, ec);
  if (ec) {
    return TransportError(ec, "peer.parse-address", aAddress.ToString());
  }
  auto bound = BindTcp(address, aAddress.mPort);
  if (bound) {
    bound = BindUdp(address, mAcceptor.local_endpoint(ec).port());
  }
  if (!bound) {
    return bound;
  }
  const auto self = shared_from_this();
  asio::co_spawn(
    mAcceptor.get_executor(), [self] { return self->AcceptLoop(); },
    asio::detached);
  asio::co_spawn(
    mUdp.get_executor(), [self] { return self->DatagramLoop(); },
    asio::detached);
  return Success();
}

awaitable<void> PeerNetwork::Impl::AcceptLoop()
{
  const auto self = shared_from_this();
  while (mAcceptor.is_open()) {
    boost::system::error_code ec;
    tcp::socket socket(mWorkers.Next());
    co_await mAcceptor.async_accept(socket, redirect_error(use_awaitable, ec));
    if (ec) {
      asio::steady_timer pause(mAcceptor.get_executor(), kReconnectDelay);
      co_await pause.async_wait(redirect_error(use_awaitable, ec));
      continue;
    }
    const auto executor = socket.get_executor();
    auto link = std::make_shared<PeerLink>(std::move(socket), mHandlers);
    asio::co_spawn(
      executor, [link] { return link->ReadLoop(); }, asio::detached);
    const std::lock_guard lock(mMutex);
    std::erase_if(mAccepted,
                  [](auto& aItem) { return aItem.second.expired(); });
    mAccepted.emplace_back(executor, link);
  }
}

awaitable<void> PeerNetwork::Impl::DatagramLoop()
{
  const auto self = shared_from_this();
  auto buf = std::make_unique<std::array<char, kMaxDatagramBytes>>();
  while (mUdp.is_open()) {
    boost::system::error_code ec;
    udp::endpoint from;
    const std::size_t n = co_await mUdp.async_receive_from(
      asio::buffer(*buf), from, redirect_error(use_awaitable, ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (!ec) {
      DispatchDatagram(std::string_view(buf->data(), n), from);
    }
  }
}

void PeerNetwork::Impl::DispatchDatagram(std::string_view aBytes,
                                         const udp::endpoint& aFrom)
{
  const auto header = DecodeFrameHeader(aBytes);
  if (!header) {
    return;
  }
  const std::string_view payload = aBytes.substr(kFrameHeaderBytes);
  if (!CheckFramePayload(*header, payload)) {
    return;
  }
  const std::string peer =
    aFrom.address().to_string() + ":" + std::to_string(aFrom.port());
  mHandlers->mMessage(header->mType, std::string(payload), peer);
}

std::shared_ptr<PeerDialer> PeerNetwork::Impl::DialerFor(const Endpoint& aPeer)
{
  const std::lock_guard lock(mMutex);
  auto& dialer = mDialers[aPeer];
  if (!dialer) {
    dialer = std::make_shared<PeerDialer>(mWorkers.Next(), aPeer, mHandlers);
  }
  return dialer;
}

void PeerNetwork::Impl::SendDatagram(const Endpoint& aPeer, std::string aBytes)
{
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(aPeer.mHost, ec);
  if (ec) {
    return;
  }
  const udp::endpoint endpoint(address, aPeer.mPort);
  asio::post(mUdp.get_executor(),
             [self = shared_from_this(), endpoint, bytes = std::move(aBytes)] {
               boost::system::error_code code;
               self->mUdp.send_to(asio::buffer(bytes), endpoint, 0, code);
               self->mHandlers->mCounters.mBytesSent += bytes.size();
               ++self->mHandlers->mCounters.mMessagesSent;
             });
}

void PeerNetwork::Impl::Stop()
{
  const auto self = shared_from_this();
  asio::post(mAcceptor.get_executor(), [self] {
    boost::system::error_code ec;
    self->mAcceptor.close(ec);
  });
  asio::post(mUdp.get_executor(), [self] {
    boost::system::error_code ec;
    self->mUdp.close(ec);
  });
  const std::lock_guard lock(mMutex);
  for (const auto& entry : mDialers) {
    const auto dialer = entry.second;
    asio::post(dialer->Executor(), [dialer] { dialer->Close(); });
  }
  for (const auto& accepted : mAccepted) {
    if (const auto link = accepted.second.lock()) {
      asio::post(accepted.first, [link] { link->Close(); });
    }
  }
}

PeerNetwork::PeerNetwork(WorkerPool& aWorkers, PeerCallHandler aCallHandler,
                         PeerMessageHandler aMessageHandler)
  : mImpl(std::make_shared<Impl>(aWorkers, std::move(aCallHandler),
                                 std::move(aMessageHandler)))
{
}

PeerNetwork::~PeerNetwork()
{
  mImpl->Stop();
}

Result<Unit> PeerNetwork::Listen(const Endpoint& aAddress)
{
  return mImpl->Listen(aAddress);
}

Endpoint PeerNetwork::Address() const
{
  boost::system::error_code ec;
  const auto local = mImpl->Acceptor().local_endpoint(ec);
  return Endpoint{ local.address().to_string(), local.port() };
}

awaitable<Result<std::string>> PeerNetwork::Call(
  Endpoint aPeer, std::uint16_t aType, std::string aPayload, Duration aTimeout,
  PeerProgressHandler aOnProgress)
{
  const auto dialer = mImpl->DialerFor(aPeer);
  // Hops to the dialer's worker and back. Named values, since g++ 12 destroys
  // temporaries of a `co_await` expression twice.
  auto body = [dialer, aType, payload = std::move(aPayload), aTimeout,
               progress = std::move(aOnProgress)] {
    return dialer->Call(aType, payload, aTimeout, progress);
  };
  auto call =
    asio::co_spawn(dialer->Executor(), std::move(body), use_awaitable);
  auto reply = co_await std::move(call);
  co_return reply;
}

void PeerNetwork::Send(const Endpoint& aPeer, std::uint16_t aType,
                       std::string aPayload)
{
  const auto dialer = mImpl->DialerFor(aPeer);
  asio::post(
    dialer->Executor(),
    [dialer, frame = Frame{ aType, 0, std::move(aPayload) }]() mutable {
      dialer->Send(std::move(frame));
    });
}

void PeerNetwork::SendDatagram(const Endpoint& aPeer, std::uint16_t aType,
                               const std::string& aPayload)
{
  mImpl->SendDatagram(aPeer, EncodeFrame(aType, 0, aPayload));
}

std::uint64_t PeerNetwork::BytesSent() const
{
  return mImpl->Counters().mBytesSent;
}

std::uint64_t PeerNetwork::MessagesSent() const
{
  return mImpl->Counters().mMessagesSent;
}

void PeerNetwork::Stop()
{
  mImpl->Stop();
}

} // namespace carobtide
