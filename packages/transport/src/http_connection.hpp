#pragma once

/**
 * @file
 * The server's side of one HTTP connection.
 */

#include "carobtide/transport/http_server.hpp"
#include "http_reader.hpp"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace carobtide {

/** What the server and its connections share. */
struct HttpServerCounters
{
  std::atomic<std::size_t> mConnections{ 0 };
  /** Of these, the ones that make room for others and are not closed yet. */
  std::atomic<std::size_t> mGivingWay{ 0 };
  /** From the first byte of a request to the last one of its answer. */
  std::atomic<std::size_t> mExchanges{ 0 };
  std::atomic<bool> mStopping{ false };
  /** Every answer ends its connection. */
  std::atomic<bool> mEnding{ false };
};

/**
 * Reads requests, runs the handler on each, keeps the connection alive.
 *
 * Thread safety: everything on the connection's executor, but for
 * CloseIfIdle, which posts there.
 */
class HttpServerConnection
  : public std::enable_shared_from_this<HttpServerConnection>
  , private HttpExchange
{
public:
  HttpServerConnection(boost::asio::ip::tcp::socket aSocket,
                       const HttpLimits& aLimits, const HttpHandler& aHandler,
                       std::shared_ptr<HttpServerCounters> aCounters);
  ~HttpServerConnection() override;

  /** Serves until the connection ends. */
  boost::asio::awaitable<void> Run();

  /** Closes the connection if no exchange is open. From any thread. */
  void CloseIfIdle();

  /** The same at once, to make room for another one. From any thread. */
  void GiveWayIfIdle();

  /** Since when no exchange is open; nothing if one is. From any thread. */
  std::optional<std::chrono::steady_clock::time_point> IdleSince() const;

private:
  /** How far the answer of the current exchange has got. */
  enum class AnswerState
  {
    None,
    Streaming,
    Done,
    Broken,
  };

  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  // HttpExchange
  const HttpRequest& Request() const override { return mRequest; }
  const std::string& PeerName() const override { return mPeerName; }
  boost::asio::awaitable<Result<Unit>> Respond(HttpResponse aResponse) override;
  boost::asio::awaitable<Result<Unit>> BeginStream(
    HttpResponseHead aHead) override;
  boost::asio::awaitable<Result<Unit>> WriteChunk(
    std::string_view aBytes) override;
  boost::asio::awaitable<Result<Unit>> FinishStream() override;
  void Abort() override;
  void OnClientGone(std::function<void()> aCallback) override;
  bool IsClientGone() override;

  boost::asio::awaitable<bool> WaitForRequest();
  boost::asio::awaitable<bool> ReadRequest();
  boost::asio::awaitable<void> RunHandler();
  /** Closes so that an answer sent early still reaches the client. */
  boost::asio::awaitable<void> CloseGracefully();
  boost::asio::awaitable<void> RefuseRequest(const Error& aError);
  boost::asio::awaitable<void> WatchClient();
  void StopWatching();
  void TakeRequest();
  /** Takes note of whether a request is waited for. */
  void SetIdle(bool aIsIdle);
  /** It makes room for another one, or was found in use after all. */
  void SetGivesWay(bool aGivesWay);
  /** Counts the connection's exchange as open, or not any more. */
  void SetOpen(bool aIsOpen);
  /** Takes room for a body of which this much is read; false if none. */
  bool HoldBody(std::size_t aBytes);
  Error LibraryError(const boost::beast::error_code& aCode,
                     std::string_view aStep);

  boost::beast::tcp_stream mStream;
  const HttpLimits& mLimits;
  const HttpHandler& mHandler;
  std::string mPeerName;
  HttpReader mReader;
  /** Shared: a connection may end after its server. */
  std::shared_ptr<HttpServerCounters> mCounters;
  std::optional<Parser> mParser;
  HttpRequest mRequest;
  /** Room for the body of the current request. */
  MemoryHold mBodyHold;
  AnswerState mAnswer = AnswerState::None;
  bool mKeepAlive = true;
  bool mIdle = true;
  /** Ticks of the steady clock; kBusy while an exchange is open. */
  std::atomic<std::chrono::steady_clock::rep> mIdleSince;
  std::atomic<bool> mGivesWay{ false };
  bool mIsOpen = false;
  bool mWatching = false;
  std::function<void()> mClientGone;
  boost::asio::cancellation_signal mStopWatch;
};

} // namespace carobtide
