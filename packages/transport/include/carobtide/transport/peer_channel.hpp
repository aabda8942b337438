#pragma once

/**
 * @file
 * Calls and one-way messages between daemons: frames over TCP, datagrams
 * over UDP.
 */

#include "carobtide/transport/frame.hpp"
#include "carobtide/transport/worker_pool.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace carobtide {

/** Handles a call; its result is the reply's payload. */
using PeerCallHandler = std::function<boost::asio::awaitable<std::string>(
  std::uint16_t aType, std::string aPayload, std::string aPeer)>;

/** Handles a one-way frame or a datagram. Must not block. */
using PeerMessageHandler = std::function<void(
  std::uint16_t aType, const std::string& aPayload, const std::string& aPeer)>;

/** Told that a part of a reply has arrived. Must not block. */
using PeerProgressHandler = std::function<void()>;

/**
 * The TCP and UDP side of one daemon towards its peers.
 *
 * A connection per peer address is opened when first needed and again after
 * it breaks. Messages to a peer that cannot be reached are dropped, never
 * queued without bound.
 *
 * Thread safety: all methods from any thread; handlers run concurrently.
 */
class PeerNetwork
{
public:
  /** The pool must outlive the network. */
  PeerNetwork(WorkerPool& aWorkers, PeerCallHandler aCallHandler,
              PeerMessageHandler aMessageHandler);
  ~PeerNetwork();

  /** Binds TCP and UDP to one address. Port 0 takes a free one. */
  Result<Unit> Listen(const Endpoint& aAddress);
  Endpoint Address() const;

  /**
   * Calls a peer and waits for its reply. Errors: ConnectRefused, nothing
   * listens there; Unreachable, no connection for another reason; in both cases
   * nothing was sent. ConnectionLost and Timeout: the peer may have been
   * called. The timeout bounds the time in which nothing of the reply arrives;
   * a long one may take 12 s on the whole. aOnProgress is called on the
   * connection's worker each time a part of a long reply has arrived.
   */
  boost::asio::awaitable<Result<std::string>> Call(
    Endpoint aPeer, std::uint16_t aType, std::string aPayload,
    Duration aTimeout, PeerProgressHandler aOnProgress = {});

  /** Sends a one-way frame over TCP; may be lost. */
  void Send(const Endpoint& aPeer, std::uint16_t aType, std::string aPayload);

  /** Sends a datagram over UDP; may be lost. At most 1,400 bytes. */
  void SendDatagram(const Endpoint& aPeer, std::uint16_t aType,
                    const std::string& aPayload);

  /** Bytes and messages sent so far, for metrics. */
  std::uint64_t BytesSent() const;
  std::uint64_t MessagesSent() const;

  /** Closes everything. */
  void Stop();

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace carobtide
