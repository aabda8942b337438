#include "carobtide/base.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

TEST_CASE("a result is usable checked and by value")
{
  Result<int> good = 7;
  int out = 0;
  CHECK(Result<int>(7).Get(out) == ErrorCode::Ok);
  CHECK(out == 7);
  CHECK(good);
  CHECK(*good == 7);

  Result<int> bad =
    Error{ ErrorCode::Timeout, "peer.call", "entry-2", "after 3 s" };
  CHECK_FALSE(bad);
  CHECK(bad.Code() == ErrorCode::Timeout);
  CHECK_THROWS_AS(std::move(bad).ValueOrThrow(), ResultError);
}

TEST_CASE("an error names its step and peer")
{
  const Error error{ ErrorCode::Timeout, "peer.call", "entry-2", "after 3 s" };
  CHECK(error.ToString() == "peer.call (entry-2): timed out: after 3 s");
}

TEST_CASE("every error code has a message")
{
  for (int i = 0; i <= static_cast<int>(ErrorCode::Unreachable); ++i) {
    CHECK(ErrorMessage(static_cast<ErrorCode>(i)) != "unknown");
  }
}

TEST_CASE("a digest survives rendering and parsing")
{
  const Digest digest = ComputeDigest("atelier-lm");
  Digest parsed;
  REQUIRE(ParseDigest(digest.ToHex(), parsed));
  CHECK(parsed == digest);
  CHECK_FALSE(ParseDigest("xyz", parsed));
  CHECK(ComputeDigest("order-desk") != digest);
}
