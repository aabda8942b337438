#pragma once

/**
 * @file
 * Reads HTTP messages within bounds, for both sides of a connection.
 */

#include "carobtide/base.hpp"
#include "carobtide/transport/memory_hold.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace carobtide {

/** Bounds on what a reader takes from a peer beside the bodies of messages. */
struct HttpReadBounds
{
  /** Bounds for a largest head that is sound. */
  static HttpReadBounds ForHead(std::size_t aMaxHeadBytes);

  /** Bytes kept until the parser has made sense of them. */
  std::size_t mMaxKept = 0;
  /** A field takes many times its bytes once the head is parsed. */
  std::ptrdiff_t mMaxFields = 256;
  /** Of mMaxKept, what needs no room of an account. */
  std::size_t mFreeBytes = 8 * 1024;
  /** Bytes of one message that are not of its body, for an empty body. */
  std::size_t mMaxOverhead = 0;
  /** What each byte of the body adds to that: short chunks are sound. */
  std::size_t mOverheadPerBodyByte = 16;
};

/**
 * The one way in which bytes of a peer get to an HTTP parser. Whatever the peer
 * writes, no more than mMaxKept bytes are kept outside the message, and no more
 * than the overhead is read of one message: extensions of chunks, trailers and
 * chunk sizes have no bound in the parser.
 *
 * Errors: TooLarge beyond a bound, of which the detail says what was read.
 *
 * Thread safety: none; on the connection's executor.
 */
class HttpReader
{
public:
  HttpReader(boost::beast::tcp_stream& aStream, HttpReadBounds aBounds,
             const std::string& aPeerName)
    : mStream(aStream)
    , mBounds(aBounds)
    , mPeerName(aPeerName)
    , mBuffer(aBounds.mMaxKept)
  {
  }

  /**
   * Takes room of an account for what is kept beyond mFreeBytes. A claim
   * without room waits until the time of SetDeadline, or fails at once.
   */
  void HoldIn(MemoryHold aHold, bool aWaits);
  void SetDeadline(std::chrono::steady_clock::time_point aDeadline)
  {
    mDeadline = aDeadline;
  }
  /** Ends a wait for room. */
  void CancelWait() { mHold.CancelWait(); }
  /** Gives memory back that the messages so far needed. */
  void ReleaseMemory();

  /** The next message begins with the next byte. */
  void BeginMessage();

  /** Reads once if nothing is buffered. The stream's time limit holds. */
  boost::asio::awaitable<Result<Unit>> AwaitBytes(std::string_view aStep);

  /**
   * Feeds the parser until it has taken some bytes, reading as needed.
   * Precondition: the parser is not done. Success with no bytes taken means
   * that the body needs room (buffer_body), or that the peer's close ended it.
   */
  template<bool IsRequest>
  boost::asio::awaitable<Result<Unit>> Advance(
    boost::beast::http::basic_parser<IsRequest>& aParser,
    std::string_view aStep);

  /** Counts an answer that is none, see HttpReadStats. */
  static void CountMalformedResponse();

  /** True if a head of so many fields is within the bounds. */
  bool MayHaveFields(std::ptrdiff_t aFields) const
  {
    return aFields <= mBounds.mMaxFields;
  }

  /** Bytes of the body that were taken from the parser, since BeginMessage. */
  void SetBodyBytes(std::uint64_t aBytes) { mBodyBytes = aBytes; }
  std::uint64_t BodyBytes() const { return mBodyBytes; }

  bool HasBytes() const { return mBuffer.size() != 0; }

private:
  boost::asio::awaitable<boost::beast::error_code> ReadOnce();
  /** Takes room for what is read next. */
  boost::asio::awaitable<Result<Unit>> MakeRoom(std::string_view aStep);
  /**
   * True if what is buffered may be a last chunk that has not arrived whole.
   * Fed again with less than that, the parser's assertions end the process.
   */
  template<bool IsRequest>
  bool IsLastChunkCut(
    const boost::beast::http::basic_parser<IsRequest>& aParser) const;
  bool IsOverheadExceeded() const;
  /** The error of a parser or a socket; counts answers that are none. */
  Error MakeReadError(const boost::beast::error_code& aCode,
                      std::string_view aStep, bool aIsRequest) const;
  Error MakeOverrun(std::string_view aStep, std::string_view aBound,
                    bool aIsRequest) const;

  boost::beast::tcp_stream& mStream;
  const HttpReadBounds mBounds;
  const std::string& mPeerName;
  boost::beast::flat_buffer mBuffer;
  /** Bytes of this message that the parser has taken, its body included. */
  std::uint64_t mTaken = 0;
  std::uint64_t mBodyBytes = 0;
  MemoryHold mHold;
  bool mWaitsForRoom = false;
  std::chrono::steady_clock::time_point mDeadline =
    std::chrono::steady_clock::time_point::max();
};

} // namespace carobtide
