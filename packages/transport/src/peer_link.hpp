#pragma once

/**
 * @file
 * One TCP connection between two daemons, from either side: writes frames
 * from a bounded queue and reads frames until it breaks.
 */

#include "carobtide/transport/peer_channel.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace carobtide {

/** Traffic counters of a network, shared by its links. */
struct PeerCounters
{
  std::atomic<std::uint64_t> mBytesSent{ 0 };
  std::atomic<std::uint64_t> mMessagesSent{ 0 };
};

/** What links need from the network that owns them. */
struct PeerHandlers
{
  PeerCallHandler mCall;
  PeerMessageHandler mMessage;
  PeerCounters mCounters;
};

/**
 * One end of a connection.
 *
 * Thread safety: everything on its executor.
 */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  PeerLink(boost::asio::ip::tcp::socket aSocket,
           std::shared_ptr<PeerHandlers> aHandlers);

  /** Reads and dispatches frames until the connection ends. */
  boost::asio::awaitable<void> ReadLoop();

  /** Queues a frame; dropped if the queue is full or the link is closed. */
  void Enqueue(std::uint16_t aType, std::uint64_t aCorrelation,
               std::string_view aPayload);

  /** Sends a call and waits for its reply. */
  boost::asio::awaitable<Result<std::string>> Call(
    std::uint16_t aType, std::string aPayload, Duration aTimeout,
    const PeerProgressHandler& aOnProgress);

  bool IsOpen() const { return mOpen; }
  void Close();

private:
  /** A call whose reply has not come. */
  struct PendingCall
  {
    boost::asio::steady_timer* mTimer = nullptr;
    const PeerProgressHandler* mOnProgress = nullptr;
    std::optional<std::string> mReply;
    /** When a part of the reply arrived last. */
    std::optional<std::chrono::steady_clock::time_point> mProgressAt;
  };

  boost::asio::awaitable<Result<Frame>> ReadFrame();
  /** A part of a frame has arrived. */
  void NoteProgress(const Frame& aFrame);
  boost::asio::awaitable<void> WriteLoop();
  boost::asio::awaitable<void> AnswerCall(Frame aFrame);
  Result<std::string> FinishCall(PendingCall& aPending) const;
  void Dispatch(Frame aFrame);

  boost::asio::ip::tcp::socket mSocket;
  std::shared_ptr<PeerHandlers> mHandlers;
  std::string mPeerName;
  std::string mQueue;
  bool mWriting = false;
  bool mOpen = true;
  std::uint64_t mNextCorrelation = 1;
  std::unordered_map<std::uint64_t, PendingCall*> mPending;
};

} // namespace carobtide
