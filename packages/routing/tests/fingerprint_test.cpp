#include "carobtide/routing/fingerprint.hpp"

#include <catch2/catch.hpp>

namespace carobtide {

TEST_CASE("a fingerprint depends on each text and on their borders")
{
  const Fingerprint one = FingerprintOf({ "host", "POST", "/a", "body" });
  CHECK(one == FingerprintOf({ "host", "POST", "/a", "body" }));
  CHECK(one != FingerprintOf({ "host", "POST", "/a", "other" }));
  CHECK(one != FingerprintOf({ "host", "POST", "/ab", "ody" }));
  CHECK(one != Fingerprint());
  CHECK(ToHex(Fingerprint(0xab)) == "00000000000000ab");
}

} // namespace carobtide
