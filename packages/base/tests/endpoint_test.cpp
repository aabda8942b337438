#include "carobtide/base.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

TEST_CASE("an endpoint is an IP number and a port")
{
  const auto endpoint = ParseEndpoint("127.0.0.1:8080");
  REQUIRE(endpoint.has_value());
  CHECK(endpoint->ToString() == "127.0.0.1:8080");
}

TEST_CASE("other texts are no endpoints")
{
  const auto text =
    GENERATE("", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x",
             "127.0.0.1:65536", "127.0.0.1:-1", "example.org:80");
  CHECK_FALSE(ParseEndpoint(text).has_value());
}
