#include "carobtide/base.hpp"

#include <catch2/catch.hpp>

namespace carobtide {

TEST_CASE("a digest of texts depends on each of them and on their borders")
{
  const Digest one = ComputeDigest({ "host", "POST", "/a", "body" });
  CHECK(one == ComputeDigest({ "host", "POST", "/a", "body" }));
  CHECK(one != ComputeDigest({ "host", "POST", "/a", "other" }));
  CHECK(one != ComputeDigest({ "other", "POST", "/a", "body" }));
  CHECK(one != ComputeDigest({ "host", "POST", "/ab", "ody" }));
  CHECK(one != ComputeDigest({ "host", "POST", "/a", "body", "" }));
}

} // namespace carobtide
