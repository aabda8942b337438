#include "carobtide/bundle.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

namespace {

bool IsIdempotent(std::string_view aMethod, std::string_view aPath)
{
  ServiceSpec service;
  service.mIdempotentPaths = { "GET /stock", "HEAD /stock", "/health/",
                               "PUT /" };
  return IsIdempotentCall(service, aMethod, aPath);
}

} // namespace

TEST_CASE("listed methods and prefixes are idempotent")
{
  CHECK(IsIdempotent("GET", "/stock"));
  CHECK(IsIdempotent("GET", "/stock/"));
  CHECK(IsIdempotent("GET", "/stock/7/lots"));
  CHECK(IsIdempotent("GET", "/stock?lot=../%2f"));
  CHECK(IsIdempotent("HEAD", "/stock"));
  CHECK(IsIdempotent("POST", "/health"));
  CHECK(IsIdempotent("DELETE", "/health/deep"));
  CHECK(IsIdempotent("PUT", "/anything"));
  CHECK(IsIdempotent("PUT", "/"));
}

TEST_CASE("nothing is idempotent unless it is listed")
{
  CHECK_FALSE(IsIdempotent("POST", "/stock"));
  CHECK_FALSE(IsIdempotent("get", "/stock"));
  CHECK_FALSE(IsIdempotent("GET", "/"));
  CHECK_FALSE(IsIdempotent("GET", "/orders"));
  CHECK_FALSE(IsIdempotent("", "/stock"));
  CHECK_FALSE(IsIdempotentCall(ServiceSpec{}, "GET", "/"));
}

TEST_CASE("a prefix covers whole segments only")
{
  CHECK_FALSE(IsIdempotent("GET", "/stockroom"));
  CHECK_FALSE(IsIdempotent("GET", "/stoc"));
  CHECK_FALSE(IsIdempotent("POST", "/healthy"));
}

TEST_CASE("a path that can be read two ways matches nothing")
{
  const auto path =
    GENERATE("/stock/../orders", "/stock/..", "/stock/./7", "/stock/%2e%2e/a",
             "/stock%2f..%2forders", "//stock", "/stock//7", "stock", "",
             "/stock\\..\\orders", "/stock/a b", "/stock/a\tb", "/stock/\x80",
             "/stock;a=b", "/stock#a", "http://h/stock", "/stock/\x7f");
  CHECK_FALSE(IsIdempotent("GET", path));
  CHECK_FALSE(IsIdempotent("PUT", path));
}

TEST_CASE("entries that no bundle may list match nothing")
{
  ServiceSpec service;
  service.mIdempotentPaths = { GENERATE("", " /a", "GET", "GET ", "GET a",
                                        "GET /a/..", "* /a") };
  CHECK_FALSE(IsIdempotentCall(service, "GET", "/a"));
  CHECK_FALSE(IsIdempotentCall(service, "", "/a"));
}
