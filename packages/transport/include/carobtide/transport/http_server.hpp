#pragma once

/**
 * @file
 * An HTTP/1.1 server whose handlers are coroutines.
 */

#include "carobtide/transport/connection_counts.hpp"
#include "carobtide/transport/http_types.hpp"
#include "carobtide/transport/memory_hold.hpp"
#include "carobtide/transport/worker_pool.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace carobtide {

/** Bounds on what a client may send, and how slowly. */
struct HttpLimits
{
  /** For requests without a body, of few clients. */
  static HttpLimits ForSmallRequests();

  Bytes mMaxHeaderBytes = 16 * kKiB;
  Bytes mMaxBodyBytes = 8 * kMiB;
  /**
   * Account of what requests hold, from their first byte to the end of their
   * handlers. A request without room gets 503, not run. Null: the server makes
   * one of its own.
   */
  std::shared_ptr<MemoryRoom> mMemory;
  /** What needs no room of the account. */
  Bytes mFreeBodyBytes = 4 * kKiB;
  /** A request must arrive whole within this time from its first byte. */
  Duration mReadTimeout = std::chrono::seconds(30);
  /** An idle connection is closed after this time. */
  Duration mIdleTimeout = std::chrono::seconds(120);
  /** A client that takes no bytes for this long is cut off. */
  Duration mWriteTimeout = std::chrono::seconds(30);
  /**
   * Beyond this a new connection takes the place of the one that has been idle
   * for longest, or is refused at accept if none is idle.
   */
  std::size_t mMaxConnections = 16384;
};

/**
 * One request and the means to answer it. Lives while its handler runs.
 *
 * Thread safety: used by its handler only, on the connection's strand.
 * PeerName and Request may be read at any time.
 */
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& Request() const = 0;
  /** "IP:PORT" of the client. */
  virtual const std::string& PeerName() const = 0;

  /** Sends a whole response. Call at most one of Respond and BeginStream. */
  virtual boost::asio::awaitable<Result<Unit>> Respond(
    HttpResponse aResponse) = 0;

  /** Starts a chunked response. */
  virtual boost::asio::awaitable<Result<Unit>> BeginStream(
    HttpResponseHead aHead) = 0;
  /** Sends one chunk. The bytes must stay valid until it returns. */
  virtual boost::asio::awaitable<Result<Unit>> WriteChunk(
    std::string_view aBytes) = 0;
  /** Sends the last chunk: the answer is whole. */
  virtual boost::asio::awaitable<Result<Unit>> FinishStream() = 0;
  /** Cuts the connection, so that the client sees a broken answer. */
  virtual void Abort() = 0;

  /**
   * Calls back once, on the connection's strand, if the client goes away
   * while the handler runs. Dropped when the handler returns.
   */
  virtual void OnClientGone(std::function<void()> aCallback) = 0;

  /** True if the client is known to be gone at this moment. */
  virtual bool IsClientGone() = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

/**
 * Serves HTTP/1.1 with keep-alive on one address.
 *
 * Thread safety: all methods from any thread. Handlers run concurrently,
 * each on its connection's strand. A handler that returns without answering
 * causes a 500.
 */
class HttpServer
{
public:
  /** Runs every connection on a strand of its own over one executor. */
  HttpServer(const boost::asio::any_io_executor& aExecutor, HttpLimits aLimits,
             HttpHandler aHandler);
  /** Spreads connections over workers. The pool must outlive the server. */
  HttpServer(WorkerPool& aWorkers, HttpLimits aLimits, HttpHandler aHandler);
  ~HttpServer();

  /** Binds and starts to accept. Port 0 takes a free one; see Address(). */
  Result<Unit> Listen(const Endpoint& aAddress);

  /** The bound address. Precondition: Listen succeeded. */
  Endpoint Address() const;

  /**
   * From now on every answer ends its connection. New connections are still
   * accepted, since a balancer may go on sending them for a while.
   */
  void EndConnections();

  /** New connections are refused from now on; open ones stay usable. */
  void StopListening();

  /**
   * Stops listening and closes idle connections; open exchanges go on, and each
   * answer ends its connection. Nothing is read any more once Connections()
   * is 0.
   */
  void StopAccepting();

  /**
   * Exchanges that are open: from the first byte of a request until its answer
   * is written, or until the connection is closed where the answer ends it.
   */
  std::size_t OpenExchanges() const;

  /** Connections that are not closed yet, idle ones too. */
  std::size_t Connections() const;

  /** Bounds connections from now on; idle ones beyond it are closed. */
  void SetMaxConnections(std::size_t aMax);
  ConnectionCounts Counts() const;

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace carobtide
