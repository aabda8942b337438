#include "carobtide/daemon/dialect.hpp"

#include <catch2/catch.hpp>

namespace carobtide {

TEST_CASE("headers of one hop stay there")
{
  HttpHeaders headers;
  headers.Add("Connection", "close, X-Hop");
  headers.Add("X-Hop", "1");
  headers.Add("Transfer-Encoding", "chunked");
  headers.Add("Content-Length", "3");
  headers.Add("X-End", "2");
  headers.Add("Host", "shop.example");
  const HttpHeaders kept = EndToEndHeaders(headers);
  CHECK(kept.All().size() == 2);
  CHECK(kept.Get("X-End") == "2");
  CHECK(kept.Get("host") == "shop.example");
}

} // namespace carobtide
