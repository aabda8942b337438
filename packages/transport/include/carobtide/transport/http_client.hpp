#pragma once

/**
 * @file
 * An HTTP/1.1 client connection and a pool of idle ones.
 */

#include "carobtide/transport/connection_counts.hpp"
#include "carobtide/transport/http_types.hpp"
#include "carobtide/transport/memory_hold.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobtide {

/** What tells where an answer's body ends. */
enum class BodyFraming : std::uint8_t
{
  /** No head of an answer was read. */
  None,
  /** A length, or a status that has no body. */
  Length,
  Chunks,
  /** The end of the connection: a body that was cut may look whole. */
  Connection,
};

inline constexpr EnumTable<BodyFraming, 4> kBodyFramings{ { {
  { BodyFraming::None, "none" },
  { BodyFraming::Length, "length" },
  { BodyFraming::Chunks, "chunks" },
  { BodyFraming::Connection, "connection" },
} } };

/** What the user of a connection knows of the process at its other end. */
struct PeerProcess
{
  /** Given by the user; 0 if the process is not known. */
  std::uint64_t mId = 0;
  /** The peer said so on this connection. */
  bool mIsProven = false;
};

/**
 * One connection; one request at a time.
 *
 * Errors: ConnectRefused only where no byte of a request was sent;
 * ConnectionLost, Timeout and Malformed afterwards.
 *
 * Thread safety: one coroutine at a time; Cancel from the same executor.
 */
class HttpConnection
{
public:
  virtual ~HttpConnection() = default;

  /**
   * Sends a request with a body in place of its own, and reads the head of the
   * response. The bytes must stay valid until it returns.
   */
  virtual boost::asio::awaitable<Result<HttpResponseHead>> Send(
    const HttpRequest& aRequest, std::string_view aBody, Duration aTimeout) = 0;

  /** Sends a request and reads the head of the response. */
  boost::asio::awaitable<Result<HttpResponseHead>> Send(
    const HttpRequest& aRequest, Duration aTimeout)
  {
    return Send(aRequest, aRequest.mBody, aTimeout);
  }

  /**
   * Answers are held on this account from now on: what has no room there is
   * not read, within the time that each call has. ReleaseMemory ends it.
   */
  virtual void HoldIn(const std::shared_ptr<MemoryRoom>& aRoom,
                      const HoldParties& aParties) = 0;

  /** Gives room back: what was read is not held any more. */
  virtual void ReleaseMemory() = 0;

  /**
   * Reads the head of one more response: the one before belonged to another
   * request. Precondition: its body was read whole.
   */
  virtual boost::asio::awaitable<Result<HttpResponseHead>> ReadHead(
    Duration aTimeout) = 0;

  /**
   * Reads the next bytes of the body into aOut (replaced). True while more
   * may follow, false at the end of a whole body. A body that ends early is
   * ConnectionLost.
   */
  virtual boost::asio::awaitable<Result<bool>> ReadSome(std::string& aOut,
                                                        Duration aTimeout) = 0;

  /** Reads the rest of the body: at most aLimit bytes, within aTimeout. */
  virtual boost::asio::awaitable<Result<std::string>> ReadAll(
    Bytes aLimit, Duration aTimeout) = 0;

  /** Framing of the last answer whose head was read whole. */
  virtual BodyFraming Framing() const = 0;

  /** True if the last body was read whole and the peer keeps it open. */
  virtual bool IsReusable() const = 0;

  /** True if the peer has ended it. Precondition: it is idle. */
  virtual bool HasEnded() const = 0;

  /** How long the peer said that it keeps an idle connection; 0: unsaid. */
  virtual Duration StatedIdleTime() const = 0;

  /**
   * Whether closing the connection drops the bytes that the peer has not taken
   * yet. Otherwise the kernel goes on to deliver them after the close, seconds
   * later where the way to the peer was cut. Off at first. ConnectionLost if
   * the socket has failed.
   */
  virtual Result<Unit> SetDropsUnsent(bool aDrops) = 0;

  /** Ends whatever is under way with ErrorCode::Cancelled. */
  virtual void Cancel() = 0;

  /** As last set; a pool keeps it while the connection lives. */
  const PeerProcess& Peer() const { return mPeer; }
  void SetPeer(const PeerProcess& aPeer) { mPeer = aPeer; }

private:
  PeerProcess mPeer;
};

/**
 * Connects to a target. ConnectRefused where it cannot be reached; no byte
 * was sent in that case.
 */
boost::asio::awaitable<Result<std::unique_ptr<HttpConnection>>> ConnectHttp(
  Endpoint aAddress, Duration aTimeout);

/** How an address answers an attempt to connect. */
enum class ProbeResult : std::uint8_t
{
  Accepted,
  /** Nothing listens there. */
  Refused,
  /** No answer in time, or no way there. */
  Unknown,
};

inline constexpr EnumTable<ProbeResult, 3> kProbeResults{ { {
  { ProbeResult::Accepted, "accepted" },
  { ProbeResult::Refused, "refused" },
  { ProbeResult::Unknown, "unknown" },
} } };

/** Connects and closes. */
boost::asio::awaitable<ProbeResult> ProbeAddress(Endpoint aAddress,
                                                 Duration aTimeout);

/** Bounds of a pool of idle connections. */
struct HttpPoolOptions
{
  std::size_t mMaxIdlePerAddress = 64;
  /** An idle connection is not used again after this time. */
  Duration mMaxIdleTime = std::chrono::hours(1);
  /**
   * How many idle connections to an address are kept beyond mMaxIdleTime, for
   * as long as the peer states less a margin; nothing or none: no more than
   * mMaxIdleTime. Called by Release, on its thread.
   */
  std::function<std::optional<std::size_t>(const Endpoint&)> mIdleToKeep = {};
};

/**
 * Idle connections by address; the one used last is used again first, so that
 * surplus ones age. Thread safety: any thread.
 */
class HttpPool
{
public:
  explicit HttpPool(HttpPoolOptions aOptions = {});
  ~HttpPool();

  /**
   * An idle connection made on the same executor if there is one, else a new
   * one. Connections that the peer has closed are dropped first; one may
   * still break before Send, which then fails with ConnectionLost.
   *
   * aRequestHash is of the id by which the peer's answer is recognized. A
   * connection is used once for each: a peer may write an earlier answer to the
   * same id once more.
   */
  boost::asio::awaitable<Result<std::unique_ptr<HttpConnection>>> Acquire(
    Endpoint aAddress, Duration aTimeout,
    std::optional<std::uint64_t> aRequestHash = std::nullopt);

  /** True if an idle connection to the address may be used again. */
  bool HasIdle(const Endpoint& aAddress) const;

  /** Connections made since construction. */
  std::uint64_t Connects() const;

  /** Idle connections to all addresses. */
  std::size_t IdleCount() const;

  /**
   * Bounds the connections to all addresses from now on, in use or idle;
   * unbounded at first. Beyond it a new connection takes the place of idle
   * ones, or Acquire fails with Overloaded if all are in use.
   */
  void SetMaxOpen(std::size_t aMax);
  ConnectionCounts Counts() const;

  /**
   * Closes idle connections that are over their time or that the peer has
   * ended, also to addresses that are not used again. Call once a second or so.
   */
  void Sweep();

  /** Closes the idle connections to an address. */
  void DropIdle(const Endpoint& aAddress);

  /**
   * The processes (PeerProcess) whose idle connections to the address were
   * found ended, and not by an idle time limit, since the last call. Acquire
   * looks for such connections.
   */
  std::vector<std::uint64_t> TakeEnded(const Endpoint& aAddress);

  /** Takes a connection back; closes it unless it is reusable. */
  void Release(const Endpoint& aAddress,
               std::unique_ptr<HttpConnection> aConnection);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Connects, sends, reads a whole response, closes. */
boost::asio::awaitable<Result<HttpResponse>> FetchOnce(Endpoint aAddress,
                                                       HttpRequest aRequest,
                                                       Duration aTimeout,
                                                       Bytes aLimit = 8 * kMiB);

} // namespace carobtide
