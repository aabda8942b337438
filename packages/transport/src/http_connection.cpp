#include "http_connection.hpp"

#include "http_errors.hpp"
#include "http_grammar.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include <poll.h>
#include <sys/socket.h>

namespace carobtide {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

constexpr std::chrono::steady_clock::rep kBusy = -1;
constexpr std::size_t kReadChunkBytes = 8192;
constexpr unsigned kHttpVersion = 11;
/** Bytes and time that a client gets to read an answer sent early. */
constexpr std::size_t kMaxDiscardedBytes = 16 * 1024 * 1024;
constexpr auto kDiscardTime = std::chrono::seconds(1);
/** Interval at which a close is looked for behind unread bytes. */
constexpr auto kClosePollInterval = std::chrono::milliseconds(100);

std::uint16_t RefusalStatus(ErrorCode aCode, const std::string& aDetail)
{
  constexpr std::uint16_t kBadRequest = 400;
  constexpr std::uint16_t kPayloadTooLarge = 413;
  constexpr std::uint16_t kHeaderTooLarge = 431;
  constexpr std::uint16_t kUnavailable = 503;
  if (aCode == ErrorCode::Overloaded) {
    return kUnavailable;
  }
  if (aCode == ErrorCode::TooLarge) {
    return aDetail.find("header") != std::string::npos ? kHeaderTooLarge
                                                       : kPayloadTooLarge;
  }
  return kBadRequest;
}

/** Leaves out what would not be one field for the client. */
template<class Fields>
void CopyHeaders(const HttpHeaders& aFrom, Fields& aTo)
{
  for (const auto& [name, value] : aFrom.All()) {
    if (IsFieldName(name) && IsFieldValue(value)) {
      aTo.insert(name, value);
    }
  }
}

} // namespace

HttpServerConnection::HttpServerConnection(
  asio::ip::tcp::socket aSocket, const HttpLimits& aLimits,
  const HttpHandler& aHandler, std::shared_ptr<HttpServerCounters> aCounters)
  : mStream(std::move(aSocket))
  , mLimits(aLimits)
  , mHandler(aHandler)
  , mReader(mStream,
            HttpReadBounds::ForHead(
              static_cast<std::size_t>(aLimits.mMaxHeaderBytes)),
            mPeerName)
  , mCounters(std::move(aCounters))
{
  beast::error_code ec;
  mStream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  const auto remote = mStream.socket().remote_endpoint(ec);
  if (!ec) {
    mPeerName =
      remote.address().to_string() + ":" + std::to_string(remote.port());
  }
  ++mCounters->mConnections;
  SetIdle(true);
  HoldParties parties;
  parties.mReceiver = remote.address().to_string();
  mReader.HoldIn(MemoryHold(mLimits.mMemory, HoldKind::Request, parties),
                 false);
  mBodyHold = MemoryHold(mLimits.mMemory, HoldKind::Request, parties);
}

HttpServerConnection::~HttpServerConnection()
{
  SetOpen(false);
  SetGivesWay(false);
  --mCounters->mConnections;
}

void HttpServerConnection::SetOpen(bool aIsOpen)
{
  if (std::exchange(mIsOpen, aIsOpen) != aIsOpen) {
    mCounters->mExchanges += aIsOpen ? 1 : -1;
  }
}

bool HttpServerConnection::HoldBody(std::size_t aBytes)
{
  const auto read = static_cast<Bytes>(aBytes);
  if (read <= mLimits.mFreeBodyBytes || mLimits.mMemory == nullptr) {
    return true;
  }
  const Bytes length = static_cast<Bytes>(mParser->content_length().value_or(
    static_cast<std::uint64_t>(mLimits.mMaxBodyBytes)));
  return mBodyHold.TryGrow(
    std::min(mLimits.mMemory->TierBytesFor(read), std::max(length, read)));
}

awaitable<void> HttpServerConnection::Run()
{
  const auto self = shared_from_this();
  while (mKeepAlive && !mCounters->mStopping) {
    SetIdle(true);
    const bool arrived = co_await WaitForRequest();
    if (!arrived) {
      break;
    }
    SetIdle(false);
    SetOpen(true);
    const bool valid = co_await ReadRequest();
    if (!valid) {
      break;
    }
    co_await RunHandler();
    // The answer that ends a connection is whole once the connection is closed.
    SetOpen(!mKeepAlive);
  }
  co_await CloseGracefully();
}

awaitable<void> HttpServerConnection::CloseGracefully()
{
  if (mAnswer == AnswerState::Done) {
    beast::error_code ec;
    mStream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    // Closing with unread bytes would reset the connection, and the reset
    // could overtake the answer.
    std::array<char, kReadChunkBytes> discarded;
    std::size_t left = kMaxDiscardedBytes;
    mStream.expires_after(kDiscardTime);
    while (!ec && left > 0) {
      const std::size_t n = co_await mStream.async_read_some(
        asio::buffer(discarded), redirect_error(use_awaitable, ec));
      left -= std::min(left, n);
    }
  }
  mStream.close();
}

awaitable<bool> HttpServerConnection::WaitForRequest()
{
  mStream.expires_after(mLimits.mIdleTimeout);
  auto awaiting = mReader.AwaitBytes("http.await-request");
  const auto arrived = co_await std::move(awaiting);
  co_return arrived.HasValue();
}

awaitable<bool> HttpServerConnection::ReadRequest()
{
  mAnswer = AnswerState::None;
  mParser.emplace();
  mParser->eager(true);
  mParser->header_limit(static_cast<std::uint32_t>(mLimits.mMaxHeaderBytes));
  mParser->body_limit(static_cast<std::uint64_t>(mLimits.mMaxBodyBytes));
  mStream.expires_after(mLimits.mReadTimeout);
  mReader.BeginMessage();
  while (!mParser->is_done()) {
    auto advancing = mReader.Advance(*mParser, "http.read-request");
    const auto advanced = co_await std::move(advancing);
    if (!advanced) {
      mKeepAlive = false;
      auto refusing = RefuseRequest(advanced.GetError());
      co_await std::move(refusing);
      co_return false;
    }
    const std::size_t size = mParser->get().body().size();
    mReader.SetBodyBytes(size);
    if (!HoldBody(size)) {
      mKeepAlive = false;
      mParser.reset();
      mBodyHold.Release();
      const Error error = MakeError(ErrorCode::Overloaded, "http.read-request",
                                    mPeerName, "too many large bodies at once");
      auto refusing = RefuseRequest(error);
      co_await std::move(refusing);
      co_return false;
    }
  }
  const auto& head = mParser->get();
  if (!mReader.MayHaveFields(std::distance(head.begin(), head.end()))) {
    mKeepAlive = false;
    const Error error = MakeError(ErrorCode::TooLarge, "http.read-request",
                                  mPeerName, "too many header fields");
    auto refusing = RefuseRequest(error);
    co_await std::move(refusing);
    co_return false;
  }
  if (!HasReadableCoding(head)) {
    // What follows the head may be its body or another request.
    mKeepAlive = false;
    const Error error = MakeError(ErrorCode::Malformed, "http.read-request",
                                  mPeerName, "unknown transfer coding");
    auto refusing = RefuseRequest(error);
    co_await std::move(refusing);
    co_return false;
  }
  TakeRequest();
  co_return true;
}

void HttpServerConnection::TakeRequest()
{
  auto message = mParser->release();
  mKeepAlive = message.keep_alive();
  mRequest = HttpRequest{};
  mRequest.mMethod = std::string(message.method_string());
  mRequest.mTarget = std::string(message.target());
  for (const auto& field : message) {
    mRequest.mHeaders.Add(std::string(field.name_string()),
                          std::string(field.value()));
  }
  mRequest.mBody = std::move(message.body());
}

awaitable<void> HttpServerConnection::RunHandler()
{
  mAnswer = AnswerState::None;
  mStream.expires_never();
  bool failed = false;
  try {
    co_await mHandler(*this);
  } catch (const std::exception&) {
    failed = true;
  }
  StopWatching();
  if (mAnswer == AnswerState::None) {
    constexpr std::uint16_t kInternalError = 500;
    HttpResponse response =
      MakeResponse(kInternalError, "text/plain", "no answer\n");
    co_await Respond(std::move(response));
  }
  if (failed || mAnswer != AnswerState::Done || mCounters->mEnding) {
    mKeepAlive = false;
  }
  mRequest = HttpRequest{};
  mBodyHold.Release();
  mReader.ReleaseMemory();
}

awaitable<void> HttpServerConnection::RefuseRequest(const Error& aError)
{
  // After a timeout the stream is closed already.
  if (aError.mCode == ErrorCode::ConnectionLost ||
      aError.mCode == ErrorCode::Timeout) {
    co_return;
  }
  std::string body = "{\"error\":{\"code\":\"";
  body += ErrorMessage(aError.mCode);
  body += "\",\"step\":\"" + aError.mStep + "\",\"peer\":\"" + mPeerName;
  body += "\",\"message\":\"" + aError.mDetail + "\"}}\n";
  HttpResponse response =
    MakeResponse(RefusalStatus(aError.mCode, aError.mDetail),
                 "application/json", std::move(body));
  response.mHead.mHeaders.Add("Carobtide-Outcome", "not-run");
  if (aError.mCode == ErrorCode::Overloaded) {
    // Seconds: about the time in which a body of the largest size is read.
    response.mHead.mHeaders.Add("Retry-After", "1");
  }
  co_await Respond(std::move(response));
}

awaitable<Result<Unit>> HttpServerConnection::Respond(HttpResponse aResponse)
{
  assert(mAnswer == AnswerState::None);
  http::response<http::string_body> message{
    static_cast<http::status>(aResponse.mHead.mStatus), kHttpVersion
  };
  CopyHeaders(aResponse.mHead.mHeaders, message);
  message.body() = std::move(aResponse.mBody);
  message.keep_alive(mKeepAlive && !mCounters->mStopping &&
                     !mCounters->mEnding);
  message.prepare_payload();
  beast::error_code ec;
  mStream.expires_after(mLimits.mWriteTimeout);
  co_await http::async_write(mStream, message,
                             redirect_error(use_awaitable, ec));
  mAnswer = ec ? AnswerState::Broken : AnswerState::Done;
  if (ec) {
    co_return LibraryError(ec, "http.respond");
  }
  co_return Success();
}

awaitable<Result<Unit>> HttpServerConnection::BeginStream(
  HttpResponseHead aHead)
{
  assert(mAnswer == AnswerState::None);
  http::response<http::empty_body> message{
    static_cast<http::status>(aHead.mStatus), kHttpVersion
  };
  CopyHeaders(aHead.mHeaders, message);
  message.chunked(true);
  message.keep_alive(mKeepAlive && !mCounters->mStopping &&
                     !mCounters->mEnding);
  http::response_serializer<http::empty_body> serializer{ message };
  beast::error_code ec;
  mStream.expires_after(mLimits.mWriteTimeout);
  co_await http::async_write_header(mStream, serializer,
                                    redirect_error(use_awaitable, ec));
  mAnswer = ec ? AnswerState::Broken : AnswerState::Streaming;
  if (ec) {
    co_return LibraryError(ec, "http.begin-stream");
  }
  co_return Success();
}

awaitable<Result<Unit>> HttpServerConnection::WriteChunk(
  std::string_view aBytes)
{
  if (mAnswer != AnswerState::Streaming) {
    co_return carobtide::MakeError(ErrorCode::ConnectionLost,
                                   "http.write-chunk", mPeerName);
  }
  if (aBytes.empty()) {
    co_return Success();
  }
  beast::error_code ec;
  mStream.expires_after(mLimits.mWriteTimeout);
  co_await asio::async_write(
    mStream, http::make_chunk(asio::const_buffer(aBytes.data(), aBytes.size())),
    redirect_error(use_awaitable, ec));
  if (ec) {
    mAnswer = AnswerState::Broken;
    co_return LibraryError(ec, "http.write-chunk");
  }
  co_return Success();
}

awaitable<Result<Unit>> HttpServerConnection::FinishStream()
{
  if (mAnswer != AnswerState::Streaming) {
    co_return carobtide::MakeError(ErrorCode::ConnectionLost,
                                   "http.finish-stream", mPeerName);
  }
  beast::error_code ec;
  mStream.expires_after(mLimits.mWriteTimeout);
  co_await asio::async_write(mStream, http::make_chunk_last(),
                             redirect_error(use_awaitable, ec));
  mAnswer = ec ? AnswerState::Broken : AnswerState::Done;
  if (ec) {
    co_return LibraryError(ec, "http.finish-stream");
  }
  co_return Success();
}

void HttpServerConnection::Abort()
{
  mAnswer = AnswerState::Broken;
  mKeepAlive = false;
  mStream.close();
}

void HttpServerConnection::OnClientGone(std::function<void()> aCallback)
{
  mClientGone = std::move(aCallback);
  if (mWatching) {
    return;
  }
  mWatching = true;
  asio::co_spawn(
    mStream.get_executor(),
    [self = shared_from_this()]() -> awaitable<void> {
      co_await self->WatchClient();
    },
    asio::bind_cancellation_slot(mStopWatch.slot(), asio::detached));
}

awaitable<void> HttpServerConnection::WatchClient()
{
  beast::error_code ec;
  co_await mStream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                       redirect_error(use_awaitable, ec));
  // Bytes of the next request stay unread and keep the socket readable.
  asio::steady_timer timer(mStream.get_executor());
  while (!ec && !IsClientGone()) {
    timer.expires_after(kClosePollInterval);
    co_await timer.async_wait(redirect_error(use_awaitable, ec));
  }
  mWatching = false;
  if (!ec && mClientGone) {
    const auto callback = std::exchange(mClientGone, nullptr);
    callback();
  }
}

void HttpServerConnection::StopWatching()
{
  mClientGone = nullptr;
  mStopWatch.emit(asio::cancellation_type::all);
}

bool HttpServerConnection::IsClientGone()
{
  pollfd state{ mStream.socket().native_handle(), POLLRDHUP, 0 };
  if (::poll(&state, 1, 0) > 0) {
    return true;
  }
  // Where unread bytes do not hide it, the end of the stream shows as well.
  char byte = 0;
  ssize_t n = 0;
  do {
    n = ::recv(mStream.socket().native_handle(), &byte, sizeof byte,
               MSG_PEEK | MSG_DONTWAIT);
  } while (n < 0 && errno == EINTR);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void HttpServerConnection::SetIdle(bool aIsIdle)
{
  mIdle = aIsIdle;
  mIdleSince = aIsIdle
                 ? std::chrono::steady_clock::now().time_since_epoch().count()
                 : kBusy;
}

std::optional<std::chrono::steady_clock::time_point>
HttpServerConnection::IdleSince() const
{
  const auto since = mIdleSince.load();
  if (since == kBusy || mGivesWay) {
    return std::nullopt;
  }
  return std::chrono::steady_clock::time_point(
    std::chrono::steady_clock::duration(since));
}

void HttpServerConnection::SetGivesWay(bool aGivesWay)
{
  if (mGivesWay.exchange(aGivesWay) != aGivesWay) {
    mCounters->mGivingWay += aGivesWay ? 1 : -1;
  }
}

void HttpServerConnection::GiveWayIfIdle()
{
  SetGivesWay(true);
  asio::post(mStream.get_executor(), [self = shared_from_this()] {
    if (self->mIdle) {
      self->mStream.close();
    } else {
      self->SetGivesWay(false);
    }
  });
}

void HttpServerConnection::CloseIfIdle()
{
  asio::post(mStream.get_executor(), [self = shared_from_this()] {
    if (self->mIdle) {
      self->mStream.cancel();
    }
  });
}

Error HttpServerConnection::LibraryError(const beast::error_code& aCode,
                                         std::string_view aStep)
{
  return TransportError(aCode, aStep, mPeerName);
}

} // namespace carobtide
