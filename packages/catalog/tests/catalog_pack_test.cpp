#include "carobtide/base/codec.hpp"
#include "carobtide/catalog.hpp"

#include <catch2/catch.hpp>

namespace carobtide {

namespace {

CatalogText MakeText(std::size_t aRoutes)
{
  CatalogText text{ 7, R"({"version":7,"routes":[)" };
  for (std::size_t n = 0; n < aRoutes; ++n) {
    text.mText += R"({"name":"r-)" + std::to_string(n) +
                  R"(","host":"h.example","pathPrefix":"/p)" +
                  std::to_string(n) + R"(/","timeoutMs":2000,"service":"s"},)";
  }
  text.mText += "]}";
  return text;
}

} // namespace

TEST_CASE("a catalog is read back from a reply of either encoding")
{
  for (const std::size_t routes : { 0U, 1U, 1000U }) {
    const CatalogText text = MakeText(routes);
    for (const auto encoding :
         { CatalogEncoding::Plain, CatalogEncoding::Deflated }) {
      const auto read =
        ReadCatalogReply(EncodeCatalogReply(text, encoding), "peer");
      REQUIRE(read);
      CHECK(*read == text);
    }
  }
}

// Guards against texts that narrow links carry for seconds.
TEST_CASE("a large catalog is a fraction of its size on the way")
{
  const CatalogText text = MakeText(4200);
  CHECK(EncodeCatalogReply(text, CatalogEncoding::Deflated).size() <
        text.mText.size() / 5);
}

TEST_CASE("builds that know of no other encoding get and ask for plain text")
{
  CHECK(EncodeCatalogCall(CatalogEncoding::Plain).empty());
  CHECK(ReadCatalogCall("") == CatalogEncoding::Plain);
  CHECK(ReadCatalogCall("?????") == CatalogEncoding::Plain);
  CHECK(ReadCatalogCall(EncodeCatalogCall(CatalogEncoding::Deflated)) ==
        CatalogEncoding::Deflated);
  const CatalogText text = MakeText(3);
  CHECK(EncodeCatalogReply(text, CatalogEncoding::Plain) == Encode(text));
}

TEST_CASE("a reply that is damaged is malformed")
{
  const std::string sound =
    EncodeCatalogReply(MakeText(10), CatalogEncoding::Deflated);
  for (const std::size_t size : { 0UL, 8UL, 20UL, sound.size() - 1 }) {
    CHECK_FALSE(ReadCatalogReply(sound.substr(0, size), "peer"));
  }
  std::string damaged = sound;
  damaged[damaged.size() / 2] ^= 0x55;
  CHECK_FALSE(ReadCatalogReply(damaged, "peer"));
  // A size that is claimed takes no memory.
  std::string claimed = sound;
  claimed[16 + 6] = '\x7f';
  const auto read = ReadCatalogReply(claimed, "peer");
  REQUIRE_FALSE(read);
  CHECK(read.Code() == ErrorCode::TooLarge);
}

} // namespace carobtide
