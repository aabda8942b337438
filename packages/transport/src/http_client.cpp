#include "carobtide/transport/http_client.hpp"

#include "http_errors.hpp"
#include "http_grammar.hpp"
#include "http_reader.hpp"
#include "silence.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/http/span_body.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <iterator>
#include <optional>

#include <sys/socket.h>

namespace carobtide {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

constexpr unsigned kHttpVersion = 11;
constexpr std::size_t kBodyChunkBytes = 8192;
/** A body up to this size needs no room of an account. */
constexpr std::size_t kFreeBodyBytes = 2 * kBodyChunkBytes;
constexpr std::uint32_t kMaxResponseHeaderBytes = 65536;
/** Interim heads before a final one. */
constexpr int kMaxInterimHeads = 8;

class BeastConnection final : public HttpConnection
{
public:
  BeastConnection(beast::tcp_stream aStream, const Endpoint& aAddress)
    : mStream(std::move(aStream))
    , mPeerName(aAddress.ToString())
    , mReader(mStream, HttpReadBounds::ForHead(kMaxResponseHeaderBytes),
              mPeerName)
  {
  }

  awaitable<Result<HttpResponseHead>> Send(const HttpRequest& aRequest,
                                           std::string_view aBody,
                                           Duration aTimeout) override;
  void HoldIn(const std::shared_ptr<MemoryRoom>& aRoom,
              const HoldParties& aParties) override;
  void ReleaseMemory() override;
  awaitable<Result<HttpResponseHead>> ReadHead(Duration aTimeout) override;
  awaitable<Result<bool>> ReadSome(std::string& aOut,
                                   Duration aTimeout) override;
  awaitable<Result<std::string>> ReadAll(Bytes aLimit,
                                         Duration aTimeout) override;
  BodyFraming Framing() const override { return mFraming; }
  bool IsReusable() const override;
  bool HasEnded() const override;
  Duration StatedIdleTime() const override;
  Result<Unit> SetDropsUnsent(bool aDrops) override;
  void Cancel() override;

private:
  using Parser = http::response_parser<http::buffer_body>;
  using Message = http::request<http::span_body<const char>>;
  /** What waits to be read. */
  enum class Peeked : std::uint8_t
  {
    Nothing,
    Bytes,
    End,
  };

  Peeked Peek() const;
  Message MakeMessage(const HttpRequest& aRequest, std::string_view aBody);
  void SetTimeout(Duration aTimeout);
  /** The body's length if its head states one. */
  std::optional<Bytes> StatedLength() const;
  /** Takes room for a body of which this much is read, and some more. */
  awaitable<Result<Unit>> MakeRoom(Bytes aRead, Bytes aLimit,
                                   Duration aTimeout);
  /** Reads the next head, interim or final, and checks it. */
  awaitable<Result<ResponseHeadKind>> ReadOneHead();
  /** Ends the connection after something that is no answer. */
  Error EndMalformed(Error aError);
  HttpResponseHead TakeHead();
  Error LibraryError(const beast::error_code& aCode,
                     std::string_view aStep) const
  {
    return TransportError(aCode, aStep, mPeerName);
  }

  beast::tcp_stream mStream;
  std::string mPeerName;
  HttpReader mReader;
  std::optional<Parser> mParser;
  std::array<char, kBodyChunkBytes> mChunk;
  MemoryHold mBodyHold;
  BodyFraming mFraming = BodyFraming::None;
  bool mCancelled = false;
  bool mSkipBody = false;
};

void BeastConnection::SetTimeout(Duration aTimeout)
{
  mStream.expires_after(aTimeout);
  mReader.SetDeadline(std::chrono::steady_clock::now() + aTimeout);
}

void BeastConnection::HoldIn(const std::shared_ptr<MemoryRoom>& aRoom,
                             const HoldParties& aParties)
{
  mReader.HoldIn(MemoryHold(aRoom, HoldKind::Head, aParties), true);
  mBodyHold = MemoryHold(aRoom, HoldKind::Answer, aParties);
}

void BeastConnection::ReleaseMemory()
{
  mBodyHold.Release();
  mReader.ReleaseMemory();
}

BeastConnection::Message BeastConnection::MakeMessage(
  const HttpRequest& aRequest, std::string_view aBody)
{
  Message message;
  message.version(kHttpVersion);
  message.method_string(aRequest.mMethod);
  message.target(aRequest.mTarget);
  if (!aRequest.mHeaders.Has("Host")) {
    message.set(http::field::host, mPeerName);
  }
  for (const auto& [name, value] : aRequest.mHeaders.All()) {
    message.insert(name, value);
  }
  message.body() = { aBody.data(), aBody.size() };
  message.prepare_payload();
  return message;
}

HttpResponseHead BeastConnection::TakeHead()
{
  mFraming = mParser->need_eof()  ? BodyFraming::Connection
             : mParser->chunked() ? BodyFraming::Chunks
                                  : BodyFraming::Length;
  HttpResponseHead head;
  head.mStatus = static_cast<std::uint16_t>(mParser->get().result_int());
  for (const auto& field : mParser->get()) {
    head.mHeaders.Add(std::string(field.name_string()),
                      std::string(field.value()));
  }
  return head;
}

awaitable<Result<HttpResponseHead>> BeastConnection::Send(
  const HttpRequest& aRequest, std::string_view aBody, Duration aTimeout)
{
  beast::error_code ec;
  if (!MayBeSent(aRequest)) {
    mStream.close();
    co_return carobtide::MakeError(ErrorCode::Malformed, "http.check-request",
                                   mPeerName, "nothing was sent");
  }
  const auto message = MakeMessage(aRequest, aBody);
  mFraming = BodyFraming::None;
  SetTimeout(aTimeout);
  co_await http::async_write(mStream, message,
                             redirect_error(use_awaitable, ec));
  if (ec) {
    co_return LibraryError(ec, "http.send-request");
  }
  mSkipBody = aRequest.mMethod == "HEAD";
  auto reading = ReadHead(aTimeout);
  auto head = co_await std::move(reading);
  co_return head;
}

Error BeastConnection::EndMalformed(Error aError)
{
  HttpReader::CountMalformedResponse();
  mStream.close();
  return aError;
}

awaitable<Result<ResponseHeadKind>> BeastConnection::ReadOneHead()
{
  mParser.emplace();
  mParser->header_limit(kMaxResponseHeaderBytes);
  mParser->body_limit(boost::none);
  mParser->skip(mSkipBody);
  mReader.BeginMessage();
  while (!mParser->is_header_done()) {
    auto advancing = mReader.Advance(*mParser, "http.read-response");
    auto advanced = co_await std::move(advancing);
    if (!advanced) {
      co_return advanced.GetError();
    }
  }
  const auto& head = mParser->get();
  if (!mReader.MayHaveFields(std::distance(head.begin(), head.end()))) {
    mStream.close();
    co_return carobtide::MakeError(ErrorCode::TooLarge, "http.read-response",
                                   mPeerName, "too many header fields");
  }
  const auto kind = CheckResponseHead(head, mPeerName);
  if (!kind) {
    Error error = EndMalformed(kind.GetError());
    co_return error;
  }
  co_return *kind;
}

awaitable<Result<HttpResponseHead>> BeastConnection::ReadHead(Duration aTimeout)
{
  mFraming = BodyFraming::None;
  // The body before is not held any more.
  mBodyHold.Release();
  // One deadline for all heads: interim ones might come for ever.
  SetTimeout(aTimeout);
  for (int n = 0; n <= kMaxInterimHeads; ++n) {
    auto reading = ReadOneHead();
    const auto kind = co_await std::move(reading);
    if (!kind) {
      co_return kind.GetError();
    }
    if (*kind == ResponseHeadKind::Final) {
      co_return TakeHead();
    }
  }
  Error error = EndMalformed(
    carobtide::MakeError(ErrorCode::Malformed, "http.read-response", mPeerName,
                         "too many interim heads"));
  co_return error;
}

awaitable<Result<bool>> BeastConnection::ReadSome(std::string& aOut,
                                                  Duration aTimeout)
{
  aOut.clear();
  SetTimeout(aTimeout);
  while (!mParser->is_done() && aOut.empty()) {
    auto& body = mParser->get().body();
    body.data = mChunk.data();
    body.size = mChunk.size();
    auto advancing = mReader.Advance(*mParser, "http.read-body");
    auto advanced = co_await std::move(advancing);
    const std::size_t n = mChunk.size() - body.size;
    aOut.append(mChunk.data(), n);
    mReader.SetBodyBytes(mReader.BodyBytes() + n);
    if (!advanced) {
      co_return advanced.GetError();
    }
  }
  if (mParser->is_done() && mFraming == BodyFraming::Chunks) {
    // Fields behind the last chunk are among those of the head now.
    if (auto checked = CheckFields(mParser->get(), mPeerName); !checked) {
      Error error = EndMalformed(checked.GetError());
      co_return error;
    }
  }
  co_return !mParser->is_done();
}

std::optional<Bytes> BeastConnection::StatedLength() const
{
  // An answer to HEAD states the length of a body that does not come.
  if (mParser->is_done()) {
    return 0;
  }
  const auto length = mParser->content_length();
  return length ? std::optional(static_cast<Bytes>(*length)) : std::nullopt;
}

awaitable<Result<Unit>> BeastConnection::MakeRoom(Bytes aRead, Bytes aLimit,
                                                  Duration aTimeout)
{
  const auto stated = StatedLength();
  const Bytes wanted =
    std::min(stated.value_or(aRead + Bytes{ kBodyChunkBytes }), aLimit);
  if (wanted <= Bytes{ kFreeBodyBytes } || wanted <= mBodyHold.Size()) {
    co_return Success();
  }
  auto growing = stated ? mBodyHold.Grow(wanted, aTimeout)
                        : mBodyHold.GrowToTier(wanted, aTimeout);
  auto grown = co_await std::move(growing);
  co_return grown;
}

awaitable<Result<std::string>> BeastConnection::ReadAll(Bytes aLimit,
                                                        Duration aTimeout)
{
  std::string all;
  std::string part;
  const auto stated = StatedLength();
  if (stated.value_or(0) > aLimit) {
    mStream.close();
    co_return carobtide::MakeError(ErrorCode::TooLarge, "http.read-body",
                                   mPeerName);
  }
  // One deadline for the whole body: each part alone might always be in time.
  const auto deadline = std::chrono::steady_clock::now() + aTimeout;
  for (bool more = true; more;) {
    const auto left = [&deadline] {
      const auto time = std::chrono::duration_cast<Duration>(
        deadline - std::chrono::steady_clock::now());
      return std::max(time, Duration(1));
    };
    auto making = MakeRoom(static_cast<Bytes>(all.size()), aLimit, left());
    const auto made = co_await std::move(making);
    if (!made) {
      mStream.close();
      co_return made.GetError();
    }
    // Grown by the string itself, its memory could be twice what is held.
    const Bytes expected =
      std::min(stated.value_or(0), Bytes{ kFreeBodyBytes });
    all.reserve(static_cast<std::size_t>(std::max(mBodyHold.Size(), expected)));
    auto read = co_await ReadSome(part, left());
    if (!read) {
      co_return read.GetError();
    }
    more = *read;
    all += part;
    if (static_cast<Bytes>(all.size()) > aLimit) {
      mStream.close();
      co_return carobtide::MakeError(ErrorCode::TooLarge, "http.read-body",
                                     mPeerName);
    }
  }
  co_return all;
}

bool BeastConnection::IsReusable() const
{
  if (mCancelled || !mParser || !mParser->is_done() || !mParser->keep_alive() ||
      mReader.HasBytes()) {
    return false;
  }
  return Peek() == Peeked::Nothing;
}

bool BeastConnection::HasEnded() const
{
  return Peek() == Peeked::End;
}

BeastConnection::Peeked BeastConnection::Peek() const
{
  char byte = 0;
  auto& socket = const_cast<beast::tcp_stream&>(mStream).socket();
  const auto n =
    ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) {
    return Peeked::Bytes;
  }
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? Peeked::Nothing
                                                            : Peeked::End;
}

Duration BeastConnection::StatedIdleTime() const
{
  constexpr std::string_view kTimeout = "timeout=";
  if (!mParser) {
    return Duration::zero();
  }
  const std::string_view value(mParser->get()[http::field::keep_alive]);
  const auto at = value.find(kTimeout);
  unsigned seconds = 0;
  if (at != std::string_view::npos) {
    const std::string_view number = value.substr(at + kTimeout.size());
    std::from_chars(number.data(), number.data() + number.size(), seconds);
  }
  return std::chrono::seconds(seconds);
}

Result<Unit> BeastConnection::SetDropsUnsent(bool aDrops)
{
  beast::error_code ec;
  mStream.socket().set_option(asio::socket_base::linger(aDrops, 0), ec);
  if (ec) {
    return LibraryError(ec, "http.set-linger");
  }
  return Success();
}

void BeastConnection::Cancel()
{
  mCancelled = true;
  mBodyHold.CancelWait();
  mReader.CancelWait();
  mStream.close();
}

Error ConnectError(const beast::error_code& aCode, std::string_view aStep,
                   const Endpoint& aAddress)
{
  return MakeError(ErrorCode::ConnectRefused, aStep, aAddress.ToString(),
                   aCode.message());
}

} // namespace

awaitable<Result<std::unique_ptr<HttpConnection>>> ConnectHttp(
  Endpoint aAddress, Duration aTimeout)
{
  beast::error_code ec;
  const auto address = asio::ip::make_address(aAddress.mHost, ec);
  if (ec) {
    co_return ConnectError(ec, "http.parse-address", aAddress);
  }
  const auto executor = co_await asio::this_coro::executor;
  beast::tcp_stream stream(executor);
  stream.expires_after(aTimeout);
  const asio::ip::tcp::endpoint endpoint(address, aAddress.mPort);
  co_await stream.async_connect(endpoint, redirect_error(use_awaitable, ec));
  if (ec) {
    co_return ConnectError(ec, "http.connect", aAddress);
  }
  stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  DetectSilence(stream.socket().native_handle());
  std::unique_ptr<HttpConnection> connection =
    std::make_unique<BeastConnection>(std::move(stream), aAddress);
  co_return connection;
}

awaitable<ProbeResult> ProbeAddress(Endpoint aAddress, Duration aTimeout)
{
  beast::error_code ec;
  const auto address = asio::ip::make_address(aAddress.mHost, ec);
  if (ec) {
    co_return ProbeResult::Unknown;
  }
  const auto executor = co_await asio::this_coro::executor;
  beast::tcp_stream stream(executor);
  stream.expires_after(aTimeout);
  const asio::ip::tcp::endpoint endpoint(address, aAddress.mPort);
  co_await stream.async_connect(endpoint, redirect_error(use_awaitable, ec));
  if (!ec) {
    co_return ProbeResult::Accepted;
  }
  co_return ec == asio::error::connection_refused ? ProbeResult::Refused
                                                  : ProbeResult::Unknown;
}

awaitable<Result<HttpResponse>> FetchOnce(Endpoint aAddress,
                                          HttpRequest aRequest,
                                          Duration aTimeout, Bytes aLimit)
{
  auto connected = co_await ConnectHttp(aAddress, aTimeout);
  if (!connected) {
    co_return connected.GetError();
  }
  auto& connection = **connected;
  auto head = co_await connection.Send(aRequest, aTimeout);
  if (!head) {
    co_return head.GetError();
  }
  auto body = co_await connection.ReadAll(aLimit, aTimeout);
  if (!body) {
    co_return body.GetError();
  }
  HttpResponse response;
  response.mHead = std::move(*head);
  response.mBody = std::move(*body);
  co_return response;
}

} // namespace carobtide
