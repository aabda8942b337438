#include "http_errors.hpp"

#include <boost/asio/error.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http/error.hpp>

namespace carobtide {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

ErrorCode ClassifyHttpError(const beast::error_code& aCode)
{
  if (aCode == http::error::body_limit || aCode == http::error::header_limit ||
      aCode == http::error::buffer_overflow) {
    return ErrorCode::TooLarge;
  }
  if (aCode == http::error::end_of_stream ||
      aCode == http::error::partial_message) {
    return ErrorCode::ConnectionLost;
  }
  return ErrorCode::Malformed;
}

ErrorCode Classify(const beast::error_code& aCode)
{
  if (aCode == beast::error::timeout || aCode == asio::error::timed_out) {
    return ErrorCode::Timeout;
  }
  if (aCode == asio::error::operation_aborted) {
    return ErrorCode::Cancelled;
  }
  const auto& httpCategory = http::make_error_code(http::error{}).category();
  if (aCode.category() == httpCategory) {
    return ClassifyHttpError(aCode);
  }
  return ErrorCode::ConnectionLost;
}

} // namespace

Error TransportError(const beast::error_code& aCode, std::string_view aStep,
                     const std::string& aPeer)
{
  return MakeError(Classify(aCode), aStep, aPeer, aCode.message());
}

} // namespace carobtide
