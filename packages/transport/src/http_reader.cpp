#include "http_reader.hpp"

#include "carobtide/transport/http_read_stats.hpp"
#include "http_errors.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <atomic>

namespace carobtide {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

constexpr std::size_t kMaxReadBytes = 65536;

std::atomic<std::uint64_t> gOversizedRequests{ 0 };
std::atomic<std::uint64_t> gOversizedResponses{ 0 };
std::atomic<std::uint64_t> gMalformedResponses{ 0 };

} // namespace

HttpReadStats GetHttpReadStats()
{
  return { gOversizedRequests, gOversizedResponses, gMalformedResponses };
}

HttpReadBounds HttpReadBounds::ForHead(std::size_t aMaxHeadBytes)
{
  constexpr std::size_t kKeptPerHeadByte = 2;
  constexpr std::size_t kOverheadPerHeadByte = 4;
  HttpReadBounds bounds;
  bounds.mMaxKept = kKeptPerHeadByte * aMaxHeadBytes;
  bounds.mMaxOverhead = kOverheadPerHeadByte * aMaxHeadBytes;
  return bounds;
}

void HttpReader::HoldIn(MemoryHold aHold, bool aWaits)
{
  mHold = std::move(aHold);
  mWaitsForRoom = aWaits;
}

void HttpReader::ReleaseMemory()
{
  if (mBuffer.size() == 0) {
    mBuffer.shrink_to_fit();
    mHold.Release();
  }
}

void HttpReader::BeginMessage()
{
  mTaken = 0;
  mBodyBytes = 0;
}

awaitable<Result<Unit>> HttpReader::MakeRoom(std::string_view aStep)
{
  const auto bytes = static_cast<Bytes>(mBounds.mMaxKept);
  if (mBuffer.size() < mBounds.mFreeBytes || mHold.Size() >= bytes) {
    co_return Success();
  }
  if (!mWaitsForRoom) {
    if (mHold.TryGrow(bytes)) {
      co_return Success();
    }
    const Error error =
      MakeError(ErrorCode::Overloaded, aStep, mPeerName, "no room for a head");
    co_return error;
  }
  const auto left = std::chrono::duration_cast<Duration>(
    mDeadline - std::chrono::steady_clock::now());
  auto growing = mHold.Grow(bytes, std::max(left, Duration(1)));
  auto grown = co_await std::move(growing);
  co_return grown;
}

awaitable<beast::error_code> HttpReader::ReadOnce()
{
  beast::error_code ec;
  const std::size_t size = beast::read_size(mBuffer, kMaxReadBytes);
  const std::size_t n = co_await mStream.async_read_some(
    mBuffer.prepare(size), redirect_error(use_awaitable, ec));
  mBuffer.commit(n);
  co_return ec;
}

awaitable<Result<Unit>> HttpReader::AwaitBytes(std::string_view aStep)
{
  if (HasBytes()) {
    co_return Success();
  }
  auto reading = ReadOnce();
  const beast::error_code ec = co_await std::move(reading);
  if (ec) {
    co_return TransportError(ec, aStep, mPeerName);
  }
  co_return Success();
}

bool HttpReader::IsOverheadExceeded() const
{
  const std::uint64_t overhead = mTaken - std::min(mTaken, mBodyBytes);
  return overhead >
         mBounds.mMaxOverhead + mBounds.mOverheadPerBodyByte * mBodyBytes;
}

void HttpReader::CountMalformedResponse()
{
  ++gMalformedResponses;
}

Error HttpReader::MakeReadError(const beast::error_code& aCode,
                                std::string_view aStep, bool aIsRequest) const
{
  Error error = TransportError(aCode, aStep, mPeerName);
  if (!aIsRequest && error.mCode == ErrorCode::Malformed) {
    CountMalformedResponse();
  }
  return error;
}

Error HttpReader::MakeOverrun(std::string_view aStep, std::string_view aBound,
                              bool aIsRequest) const
{
  ++(aIsRequest ? gOversizedRequests : gOversizedResponses);
  return MakeError(ErrorCode::TooLarge, aStep, mPeerName,
                   std::string(aBound) + ": " + std::to_string(mTaken) +
                     " bytes read, " + std::to_string(mBodyBytes) +
                     " of them body, " + std::to_string(mBuffer.size()) +
                     " kept");
}

template<bool IsRequest>
bool HttpReader::IsLastChunkCut(
  const http::basic_parser<IsRequest>& aParser) const
{
  constexpr std::size_t kLeastBytes = std::string_view("0\r\n\r\n").size();
  return aParser.is_header_done() && aParser.chunked() &&
         mBuffer.size() < kLeastBytes &&
         *static_cast<const char*>(mBuffer.data().data()) == '0';
}

template<bool IsRequest>
awaitable<Result<Unit>> HttpReader::Advance(
  http::basic_parser<IsRequest>& aParser, std::string_view aStep)
{
  if (IsOverheadExceeded()) {
    const Error error = MakeOverrun(aStep, "too little progress", IsRequest);
    co_return error;
  }
  while (true) {
    beast::error_code ec = http::error::need_more;
    std::size_t taken = 0;
    if (HasBytes() && !IsLastChunkCut(aParser)) {
      taken = aParser.put(mBuffer.data(), ec);
      mBuffer.consume(taken);
      mTaken += taken;
    }
    if (ec && ec != http::error::need_more && ec != http::error::need_buffer) {
      const Error error = MakeReadError(ec, aStep, IsRequest);
      co_return error;
    }
    if (taken > 0 || ec != http::error::need_more) {
      co_return Success();
    }
    if (mBuffer.size() >= mBounds.mMaxKept) {
      const Error error = MakeOverrun(aStep, "no end of a line", IsRequest);
      co_return error;
    }
    auto making = MakeRoom(aStep);
    const auto made = co_await std::move(making);
    if (!made) {
      co_return made.GetError();
    }
    auto reading = ReadOnce();
    ec = co_await std::move(reading);
    if (ec == asio::error::eof && aParser.got_some()) {
      ec = {};
      aParser.put_eof(ec);
      if (!ec) {
        co_return Success();
      }
    } else if (ec == asio::error::eof) {
      ec = http::error::end_of_stream;
    }
    if (ec) {
      const Error error = MakeReadError(ec, aStep, IsRequest);
      co_return error;
    }
  }
}

template awaitable<Result<Unit>> HttpReader::Advance<true>(
  http::basic_parser<true>& aParser, std::string_view aStep);
template awaitable<Result<Unit>> HttpReader::Advance<false>(
  http::basic_parser<false>& aParser, std::string_view aStep);

} // namespace carobtide
