#include "carobtide/transport/http_types.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

TEST_CASE("header names compare without case")
{
  HttpHeaders headers;
  headers.Add("Content-Type", "text/plain");
  CHECK(headers.Get("content-type") == "text/plain");
  CHECK(headers.Has("CONTENT-TYPE"));
  CHECK_FALSE(headers.Has("content"));
}

TEST_CASE("path and query parameters are split")
{
  HttpRequest request;
  request.mTarget = "/timeline?since=12&request=7&flag";
  CHECK(request.Path() == "/timeline");
  CHECK(request.Query("since") == "12");
  CHECK(request.Query("request") == "7");
  CHECK(request.Query("flag").empty());
  CHECK(request.Query("absent").empty());
}
