/**
 * @file
 * Any bytes as an answer: what passes the check of heads is one in the
 * protocol.
 */

#include "../src/http_grammar.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdlib>

namespace {

using namespace carobtide;
namespace http = boost::beast::http;

void Check(bool aHolds)
{
  if (!aHolds) {
    std::abort();
  }
}

void CheckAccepted(const http::header<false>& aHead)
{
  const unsigned status = aHead.result_int();
  Check(status >= 100 && status <= 599);
  for (const auto& field : aHead) {
    for (const char byte : field.name_string()) {
      Check(byte > ' ' && byte < 0x7f && byte != ':');
    }
    for (const char byte : field.value()) {
      Check(byte != '\r' && byte != '\n' && byte != '\0');
    }
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  http::response_parser<http::buffer_body> parser;
  parser.header_limit(65536);
  boost::system::error_code ec;
  const boost::asio::const_buffer bytes(aData, aSize);
  while (!ec && !parser.is_header_done()) {
    if (parser.put(bytes, ec) == 0) {
      return 0;
    }
    break;
  }
  if (!ec && parser.is_header_done() &&
      CheckResponseHead(parser.get(), "fuzz")) {
    CheckAccepted(parser.get());
  }
  return 0;
}
