#include "peer_link.hpp"

#include "http_errors.hpp"
#include "silence.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

/** Set in the type of a frame that answers a call. */
constexpr std::uint16_t kReplyFlag = 0x8000;

/** Bytes of a frame that are read at once. */
constexpr std::size_t kReadBytes = 65536;

/** A reply that arrives takes no longer: the largest one at 2.7 Mbit/s. */
constexpr auto kMaxTransferTime = std::chrono::seconds(12);

/** Frames beyond this are dropped rather than queued. */
constexpr std::size_t kMaxQueueBytes = 16 * 1024 * 1024;

} // namespace

PeerLink::PeerLink(asio::ip::tcp::socket aSocket,
                   std::shared_ptr<PeerHandlers> aHandlers)
  : mSocket(std::move(aSocket))
  , mHandlers(std::move(aHandlers))
{
  boost::system::error_code ec;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ec);
  DetectSilence(mSocket.native_handle());
  const auto remote = mSocket.remote_endpoint(ec);
  if (!ec) {
    mPeerName =
      remote.address().to_string() + ":" + std::to_string(remote.port());
  }
}

awaitable<Result<Frame>> PeerLink::ReadFrame()
{
  boost::system::error_code ec;
  std::array<char, kFrameHeaderBytes> head;
  co_await asio::async_read(mSocket, asio::buffer(head),
                            redirect_error(use_awaitable, ec));
  if (ec) {
    co_return TransportError(ec, "peer.read-header", mPeerName);
  }
  const auto header =
    DecodeFrameHeader(std::string_view(head.data(), head.size()));
  if (!header) {
    co_return header.GetError();
  }
  Frame frame{ header->mType, header->mCorrelation, {} };
  // Memory is taken as the bytes arrive, not as the length claims.
  while (frame.mPayload.size() < header->mLength) {
    const std::size_t begin = frame.mPayload.size();
    const std::size_t size = std::min(kReadBytes, header->mLength - begin);
    frame.mPayload.resize(begin + size);
    co_await asio::async_read(mSocket,
                              asio::buffer(frame.mPayload.data() + begin, size),
                              redirect_error(use_awaitable, ec));
    if (ec) {
      co_return TransportError(ec, "peer.read-payload", mPeerName);
    }
    NoteProgress(frame);
  }
  const auto checked = CheckFramePayload(*header, frame.mPayload);
  if (!checked) {
    co_return checked.GetError();
  }
  co_return frame;
}

void PeerLink::NoteProgress(const Frame& aFrame)
{
  const auto it = (aFrame.mType & kReplyFlag) != 0
                    ? mPending.find(aFrame.mCorrelation)
                    : mPending.end();
  if (it == mPending.end()) {
    return;
  }
  it->second->mProgressAt = std::chrono::steady_clock::now();
  if (*it->second->mOnProgress) {
    (*it->second->mOnProgress)();
  }
}

awaitable<void> PeerLink::ReadLoop()
{
  const auto self = shared_from_this();
  while (mOpen) {
    auto frame = co_await ReadFrame();
    if (!frame) {
      break;
    }
    Dispatch(std::move(*frame));
  }
  Close();
}

void PeerLink::Dispatch(Frame aFrame)
{
  if (aFrame.mCorrelation == 0) {
    mHandlers->mMessage(aFrame.mType, aFrame.mPayload, mPeerName);
    return;
  }
  if ((aFrame.mType & kReplyFlag) == 0) {
    asio::co_spawn(
      mSocket.get_executor(),
      [self = shared_from_this(), frame = std::move(aFrame)]() mutable
      -> awaitable<void> { co_await self->AnswerCall(std::move(frame)); },
      asio::detached);
    return;
  }
  const auto it = mPending.find(aFrame.mCorrelation);
  if (it != mPending.end()) {
    it->second->mReply = std::move(aFrame.mPayload);
    it->second->mTimer->cancel();
  }
}

awaitable<void> PeerLink::AnswerCall(Frame aFrame)
{
  std::string reply = co_await mHandlers->mCall(
    aFrame.mType, std::move(aFrame.mPayload), mPeerName);
  const auto type = static_cast<std::uint16_t>(aFrame.mType | kReplyFlag);
  Enqueue(type, aFrame.mCorrelation, reply);
}

void PeerLink::Enqueue(std::uint16_t aType, std::uint64_t aCorrelation,
                       std::string_view aPayload)
{
  const bool isTooLarge =
    static_cast<Bytes>(aPayload.size()) > kMaxFramePayload;
  if (!mOpen || isTooLarge || mQueue.size() > kMaxQueueBytes) {
    return;
  }
  mQueue += EncodeFrame(aType, aCorrelation, aPayload);
  ++mHandlers->mCounters.mMessagesSent;
  if (!mWriting) {
    mWriting = true;
    asio::co_spawn(
      mSocket.get_executor(),
      [self = shared_from_this()] { return self->WriteLoop(); },
      asio::detached);
  }
}

awaitable<void> PeerLink::WriteLoop()
{
  const auto self = shared_from_this();
  while (mOpen && !mQueue.empty()) {
    const std::string batch = std::exchange(mQueue, {});
    boost::system::error_code ec;
    co_await asio::async_write(mSocket, asio::buffer(batch),
                               redirect_error(use_awaitable, ec));
    mHandlers->mCounters.mBytesSent += batch.size();
    if (ec) {
      Close();
    }
  }
  mWriting = false;
}

awaitable<Result<std::string>> PeerLink::Call(
  std::uint16_t aType, std::string aPayload, Duration aTimeout,
  const PeerProgressHandler& aOnProgress)
{
  const auto self = shared_from_this();
  const std::uint64_t correlation = mNextCorrelation++;
  asio::steady_timer timer(mSocket.get_executor(), aTimeout);
  const auto latest = std::chrono::steady_clock::now() + kMaxTransferTime;
  PendingCall pending{ &timer, &aOnProgress, std::nullopt, std::nullopt };
  mPending.emplace(correlation, &pending);
  Enqueue(aType, correlation, aPayload);
  bool isOver = false;
  while (!isOver) {
    boost::system::error_code ec;
    co_await timer.async_wait(redirect_error(use_awaitable, ec));
    // A reply that is arriving is not begun again from nothing.
    const auto limit =
      std::min(latest, pending.mProgressAt.value_or(latest - kMaxTransferTime) +
                         aTimeout);
    isOver = pending.mReply || !mOpen || !pending.mProgressAt ||
             limit <= std::chrono::steady_clock::now();
    timer.expires_at(limit);
  }
  mPending.erase(correlation);
  co_return FinishCall(pending);
}

Result<std::string> PeerLink::FinishCall(PendingCall& aPending) const
{
  if (aPending.mReply) {
    return std::move(*aPending.mReply);
  }
  const auto code = mOpen ? ErrorCode::Timeout : ErrorCode::ConnectionLost;
  return MakeError(code, "peer.call", mPeerName);
}

void PeerLink::Close()
{
  mOpen = false;
  boost::system::error_code ec;
  mSocket.close(ec);
  for (const auto& [correlation, pending] : mPending) {
    pending->mTimer->cancel();
  }
}

} // namespace carobtide
